import { getTargetPace } from '../drain/TargetPace.js'
import { type TargetReservation } from '../placement/TargetReservation.js'
import { type RelayContext } from './RelayContext.js'
import { type RelayDependencies } from './RelayDependencies.js'
import { type RefusalReason } from './RelayRequest.js'
import { type StreamEnd } from './StreamAttempt.js'
import { type StreamRun } from './StreamRun.js'

/**
 * Maximum number of attempts that are sent for one request while it has not started or its engine is only silent, apart from those that
 * go on from the memory of an earlier one.
 */
const MAX_SENT_ATTEMPTS = 4

/**
 * Returns whether a request may be sent to another target after an attempt that was not moved.
 * @param context - The request.
 * @param run - Run of the request.
 * @param end - Result of the attempt.
 */
export function canRepeat ({ route }: RelayContext, run: StreamRun, end: StreamEnd): boolean {
  const hasStartedWithoutEvents = run.getFirstHead()?.isEventStream === false
  if ((!run.hasStarted() && isLimitReached(run)) || hasStartedWithoutEvents) return false
  const hasRun = end === 'lost' || end === 'aborted' || run.executedAttempts > 0
  return !hasRun || (route.isResumable && run.runTargets.count() < route.maxAttempts)
}

/**
 * Returns whether a request may be sent to another target instead of the one whose stream has stalled.
 * @param context - The request.
 * @param run - Run of the request.
 */
export function canRepeatAfterStall (context: RelayContext, run: StreamRun): boolean {
  const { route } = context
  return route.isResumable && run.countPossibleRunTargets() < route.maxAttempts && !isLimitReached(run) && canRepeat(context, run, 'lost')
}

/**
 * Returns the reason for which a request must not be sent although an engine is reserved for it: time has passed while it waited.
 * @param dependencies - Components that handle the request.
 * @param context - The request.
 * @param reservation - Reservation of the engine; undefined while there is none.
 */
export function findObstacle ({ crashes, drain, speeds }: RelayDependencies, context: RelayContext, reservation?: TargetReservation): RefusalReason | undefined {
  if (crashes.mustRefuse(context)) return 'crashesEngines'
  const pace = reservation === undefined ? undefined : getTargetPace(speeds, reservation.target)
  return drain.maySend({ ...context, pace }) ? undefined : 'stopping'
}

function isLimitReached ({ sentAttempts, continuedAttempts }: StreamRun): boolean {
  return sentAttempts - continuedAttempts >= MAX_SENT_ATTEMPTS
}
