import { getTargetPace } from '../drain/TargetPace.js'
import { type TargetReservation } from '../placement/TargetReservation.js'
import { type Attempt, type AttemptError } from '../targets/RelayTargetClient.js'
import { type RelayContext } from './RelayContext.js'
import { type RelayDependencies } from './RelayDependencies.js'
import { type RefusalReason } from './RelayRequest.js'
import { reserveEngine } from './reserveEngine.js'
import { type StreamRun } from './StreamRun.js'

/** Maximum number of attempts that are sent for one request. */
const MAX_SENT_ATTEMPTS = 4

/** Result of one attempt at a stream. */
export type StreamEnd = 'complete' | AttemptError

/** An attempt whose stream has stalled. */
export interface StalledAttempt {
  readonly attempt: Attempt
  /** Returns whether nothing has arrived since the stall. */
  readonly isStalled: () => boolean
}

/**
 * Returns whether a request may be sent to another target after an attempt that was not moved.
 * @param context - The request.
 * @param run - Run of the request.
 * @param end - Result of the attempt.
 */
export function canRepeat ({ route }: RelayContext, run: StreamRun, end: StreamEnd): boolean {
  const hasStartedWithoutEvents = run.getFirstHead()?.isEventStream === false
  if (run.sentAttempts >= MAX_SENT_ATTEMPTS || hasStartedWithoutEvents) return false
  const hasRun = end === 'lost' || end === 'aborted' || run.executedAttempts > 0
  return !hasRun || (route.isResumable && run.executedAttempts < route.maxAttempts)
}

/**
 * Returns whether a request may be sent to another target instead of the one whose stream has stalled.
 * @param context - The request.
 * @param run - Run of the request.
 */
export function canRepeatAfterStall (context: RelayContext, run: StreamRun): boolean {
  const { route } = context
  return route.isResumable && run.executedAttempts + (run.hasStarted() ? 0 : 1) < route.maxAttempts && canRepeat(context, run, 'lost')
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

/**
 * Ends a stalled attempt once another engine is reserved for the run. Until then the attempt goes on, since the engine may only be silent.
 * @param dependencies - Components that handle the request.
 * @param context - The request.
 * @param run - Run of the request.
 * @param stalled - The attempt.
 */
export async function replaceStalledAttempt (dependencies: RelayDependencies, context: RelayContext, run: StreamRun, { attempt, isStalled }: StalledAttempt): Promise<void> {
  if (!run.startRepeatSearch()) return
  const next = maySend(dependencies, context, run) && await run.watch.mayRepeat() ? await reserveEngine(dependencies, context, run) : undefined
  run.endRepeatSearch()
  const isUsable = next !== undefined && isStalled() && run.currentAttempt?.attempt === attempt && maySend(dependencies, context, run, next)
  dependencies.log.recordDecision(context.request.id, 'other engine sought', { found: next?.target.name, isUsable, afterEvent: run.getLastEventId() })
  if (!isUsable) return next?.release()
  run.setNextReservation(next)
  attempt.markLost()
}

/** Returns whether nothing keeps a stream from being sent; one that has started is continued in any case. */
function maySend (dependencies: RelayDependencies, context: RelayContext, run: StreamRun, reservation?: TargetReservation): boolean {
  return run.hasStarted() || findObstacle(dependencies, context, reservation) === undefined
}
