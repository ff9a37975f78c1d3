import { type Clock, type Random } from '@fescuespoke/common'
import { type AttemptBudget } from '../budget/AttemptBudget.js'
import { type DecisionLog } from '../logs/DecisionLog.js'
import { type RelayMetrics } from '../logs/RelayMetrics.js'
import { type RunMover } from '../moves/RunMover.js'
import { type GenerationPace } from '../placement/GenerationPace.js'
import { type RelayPlacer } from '../placement/RelayPlacer.js'
import { type WaitingRoom } from '../placement/WaitingRoom.js'
import { type RelayTargetClient } from '../targets/RelayTargetClient.js'
import { type TargetQuality } from '../targets/TargetQuality.js'
import { type TargetTable } from '../targets/TargetTable.js'

/** What every request on its way uses. */
export interface RelayTools {
  readonly clock: Clock
  readonly random: Random
  readonly client: RelayTargetClient
  readonly table: TargetTable
  readonly quality: TargetQuality
  readonly placer: RelayPlacer
  readonly pace: GenerationPace
  readonly waitingRoom: WaitingRoom
  readonly budget: AttemptBudget
  readonly mover: RunMover
  readonly metrics: RelayMetrics
  readonly log: DecisionLog
  /** Gets the age in milliseconds of the last answer of the platform's store. */
  readonly getViewAgeMs: () => number
}
