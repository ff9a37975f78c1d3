import { type TargetReservation } from '../placement/TargetReservation.js'
import { type RelayTarget } from '../model/RelayTarget.js'
import { type AllowedRegions } from '../places/RegionMap.js'
import { type ServiceProfile } from '../model/RelayConfiguration.js'
import { type Continuation } from '../targets/RelayTargetClient.js'

/** Engine and memory copy with which a run continues after a move. */
export interface RunContinuation {
  readonly reservation: TargetReservation
  readonly continuation: Continuation
  /** Previous engine, which keeps the memory of the run for a while; the run may continue there when the destination refuses it. */
  readonly source: RelayTarget
  /** Number of events that the run had produced when it was stopped. */
  readonly producedEvents: number
}

/** A running generation that can be moved to another engine. */
export interface MovableRun {
  readonly requestId: string
  readonly service: ServiceProfile
  /** Regions in which the run may be executed; absent when all are allowed. */
  readonly allowedRegions?: AllowedRegions
  /** Returns the memory that the run is expected to need, in tokens. */
  getExpectedTokens(): number
  /** Returns the memory that the run holds now, in tokens. */
  getHeldTokens(): number
  /** Returns whether any part of the answer was sent to the caller. */
  hasStarted(): boolean
  /** Returns the relative value of completing the answer, based on the sizes that the caller stated. */
  getCompletionValue(): number
  /** Returns the target that executes the run; undefined while there is none. */
  getTarget(): RelayTarget | undefined
  /** Returns whether the run was stopped because it continues at another engine. */
  isContinuing(): boolean
  /** Returns whether the run needs no more moves because it has ended or its caller has left. */
  isClosed(): boolean
  /** Records that its engine is asked to stop the run. */
  recordStopRequest(): void
  /**
   * Sets the engine on which the run continues after it was stopped at its source.
   * @param next - Engine and memory copy with which the run continues.
   */
  continueAt(next: RunContinuation): void
}
