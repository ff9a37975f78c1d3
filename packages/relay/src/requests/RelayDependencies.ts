import { type BufferBudget, type Clock, type Random } from '@fescuespoke/common'
import { type AttemptBudget } from '../budget/AttemptBudget.js'
import { type CrashGuard } from '../crashes/CrashGuard.js'
import { type AnswerDurations } from '../drain/AnswerDurations.js'
import { type DrainAdmission } from '../drain/DrainAdmission.js'
import { type ColdTargets } from '../limits/ColdTargets.js'
import { type TargetLimits } from '../limits/TargetLimits.js'
import { type EngineHolds } from '../holds/EngineHolds.js'
import { type DecisionLog } from '../logs/DecisionLog.js'
import { type RelayMetrics } from '../logs/RelayMetrics.js'
import { type RunMover } from '../moves/RunMover.js'
import { type GenerationTimeEstimator } from '../placement/GenerationTimeEstimator.js'
import { type RelayPlacer } from '../placement/RelayPlacer.js'
import { type AdmissionQueue } from '../placement/AdmissionQueue.js'
import { type PromptPrefixes } from '../prefixes/PromptPrefixes.js'
import { type TargetSpeeds } from '../speeds/TargetSpeeds.js'
import { type TargetGateway } from '../targets/TargetGateway.js'
import { type TargetHealth } from '../targets/TargetHealth.js'
import { type TargetTable } from '../targets/TargetTable.js'
import { type OriginExchange } from '../versions/OriginExchange.js'

/** Components that handle requests. */
export interface RelayDependencies {
  readonly clock: Clock
  readonly random: Random
  readonly gateway: TargetGateway
  readonly table: TargetTable
  readonly health: TargetHealth
  readonly limits: TargetLimits
  readonly coldTargets: ColdTargets
  readonly placer: RelayPlacer
  readonly prefixes: PromptPrefixes
  readonly holds: EngineHolds
  readonly generationTimes: GenerationTimeEstimator
  readonly durations: AnswerDurations
  readonly drain: DrainAdmission
  readonly speeds: TargetSpeeds
  readonly admissionQueue: AdmissionQueue
  readonly budget: AttemptBudget
  readonly crashes: CrashGuard
  readonly mover: RunMover
  readonly origins: OriginExchange
  readonly metrics: RelayMetrics
  readonly log: DecisionLog
  /** Bounds the bytes that the process buffers for all connections together. */
  readonly bufferBudget: BufferBudget
  /** Returns the age of the last answer of the platform's store, in milliseconds. */
  readonly getViewAgeMs: () => number
}
