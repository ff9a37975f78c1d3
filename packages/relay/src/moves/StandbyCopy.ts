import { type RelayTarget } from '../model/RelayTarget.js'
import { type TargetReservation } from '../placement/TargetReservation.js'

/** Copy of a run's memory at an engine on which the run does not execute. */
export interface StandbyCopy {
  /** Engine from which the copy was made. */
  readonly source: RelayTarget
  /** Reservation of the engine that holds the copy. */
  readonly reservation: TargetReservation
  /** Identifier of the copy. */
  readonly handle: string
}
