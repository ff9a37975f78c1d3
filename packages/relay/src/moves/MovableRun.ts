import { type TargetReservation } from '../placement/TargetReservation.js'
import { type RelayTarget } from '../model/RelayTarget.js'
import { type ServiceProfile } from '../model/RelayConfiguration.js'
import { type Continuation } from '../targets/RelayTargetClient.js'

/** Where a run goes on after a move. */
export interface RunContinuation {
  readonly reservation: TargetReservation
  readonly continuation: Continuation
  /** Engine that ran it before and keeps its memory for a while; the run may go on there when the destination refuses it. */
  readonly source: RelayTarget
  /** Events that the run had produced when it was stopped. */
  readonly createdEvents: number
}

/** A running generation that can be moved to another engine. */
export interface MovableRun {
  readonly requestId: string
  readonly service: ServiceProfile
  /** Memory that it is expected to need, in tokens. */
  getExpectedTokens(): number
  /** Memory that it holds now, in tokens. */
  getHeldTokens(): number
  /** Whether the caller was sent anything. */
  hasStarted(): boolean
  /** What its answer is worth against others, by the size that the caller stated. */
  getCompletionValue(): number
  /** Name of the target that runs it; absent while it has none. */
  getTargetName(): string | undefined
  /** Whether it needs no move any more, because it has ended or its caller has left. */
  isClosed(): boolean
  /**
   * Sets where the run goes on; it was stopped at its source.
   * @param next - Where.
   */
  continueAt(next: RunContinuation): void
}
