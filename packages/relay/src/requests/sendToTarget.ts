import { type TargetReservation } from '../placement/TargetReservation.js'
import { type Attempt, type AttemptOptions } from '../targets/RelayTargetClient.js'
import { type RelayDependencies } from './RelayDependencies.js'

/**
 * Sends a request to a reserved target, and records the limit that its answer names.
 * @param dependencies - Components that handle the request.
 * @param reservation - Reservation of the target.
 * @param options - Options of the attempt.
 */
export function sendToTarget ({ gateway, clock, limits, coldTargets }: RelayDependencies, { target }: TargetReservation, options: AttemptOptions): Attempt {
  const sentAtMs = clock.nowMs()
  // The turn of a moved run was taken when its copy began, which may be seconds ago.
  if (options.continuation !== undefined) coldTargets.recordRequest(target)
  const attempt = gateway.sendRequest(target, options)
  attempt.head.then(() => limits.recordAnswer(target, attempt.getNamedLimit(), sentAtMs))
  return attempt
}
