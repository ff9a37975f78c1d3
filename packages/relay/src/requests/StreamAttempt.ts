import { type TargetReservation } from '../placement/TargetReservation.js'
import { type AttemptError } from '../targets/RelayTargetClient.js'
import { type PeekedAttempt } from './PeekedAttempt.js'

/** Result of one attempt at a stream. */
export type StreamEnd = 'complete' | AttemptError

/** An attempt of a stream at one target. */
export interface StreamAttempt {
  readonly reservation: TargetReservation
  readonly attempt: PeekedAttempt
  readonly abortController: AbortController
  /** Clock reading at which it was sent. */
  readonly sentAtMs: number
  /** Whether it goes on from the memory of an earlier attempt, with which it counts as one run. */
  readonly isContinuation: boolean
  /** Id of the last event that the caller had received when the attempt was sent. */
  readonly afterEvent: string | undefined
  /** Ends the attempt and releases its target. */
  readonly close: () => void
}
