import { type AccountedBuffer } from '@fescuespoke/common'
import { type TargetReservation } from '../placement/TargetReservation.js'
import { type Attempt } from '../targets/RelayTargetClient.js'
import { type CallAnswer } from './CallAnswer.js'

/** An attempt of a call at one target, and the reservation of the target. */
export interface CallAttempt {
  readonly reservation: TargetReservation
  readonly attempt: Attempt
  readonly abortController: AbortController
  /** Bytes of the answer that are not forwarded yet. */
  readonly buffer: AccountedBuffer
  /** Clock reading at which it was sent. */
  readonly sentAtMs: number
  /** Resolves with the answer once it is complete or the buffer is full. */
  readonly answered: Promise<AnsweredAttempt>
  /** Records the time of a complete answer. */
  readonly recordAnswer: () => void
}

/** An attempt and its answer. */
export interface AnsweredAttempt {
  readonly callAttempt: CallAttempt
  readonly answer: CallAnswer
}

/**
 * Ends an attempt and releases its target.
 * @param callAttempt - The attempt.
 */
export function closeCallAttempt ({ abortController, reservation }: CallAttempt): void {
  abortController.abort()
  reservation.release()
}
