import { type Clock } from '@fescuespoke/common'
import { getTargetPace } from '../drain/TargetPace.js'
import { type TargetReservation } from '../placement/TargetReservation.js'
import { type Attempt, type AttemptError } from '../targets/RelayTargetClient.js'
import { isUsableHead } from './isUsableHead.js'
import { type RelayContext } from './RelayContext.js'
import { type RelayDependencies } from './RelayDependencies.js'
import { findObstacle } from './repeatStream.js'
import { reserveEngine } from './reserveEngine.js'
import { recordAttemptEnd, startStreamAttempt, type StreamAttempt } from './StreamAttempt.js'
import { type StreamRun } from './StreamRun.js'

/** An attempt whose stream has stalled. */
export interface StalledAttempt {
  /** Name of its engine. */
  readonly target: string
  readonly attempt: Attempt
  /** Returns whether nothing has arrived since the stall. */
  readonly isStalled: () => boolean
}

/** How another engine answers: it has begun an answer that can be used, it has not answered in time, or it does not go on with the run. */
type OtherAnswer = 'begun' | 'pending' | AttemptError

/** Time for which a run may be sent to two engines, in milliseconds. */
const OVERLAP_MS = 300

/**
 * Replaces a stalled attempt by one at another engine. The stalled attempt is ended once the other engine has begun to answer, or has
 * not refused for a while; until then it goes on, since its engine may only be silent.
 * @param dependencies - Components that handle the request.
 * @param context - The request.
 * @param run - Run of the request.
 * @param stalled - The attempt.
 */
export async function replaceStalledAttempt (dependencies: RelayDependencies, context: RelayContext, run: StreamRun, stalled: StalledAttempt): Promise<void> {
  const isReplaced = await run.replacement.run(async () => await startOtherAttempt(dependencies, context, run, stalled))
  if (isReplaced) stalled.attempt.markLost()
}

/** Starts an attempt at another engine; returns undefined when the stalled one goes on. */
async function startOtherAttempt (dependencies: RelayDependencies, context: RelayContext, run: StreamRun, stalled: StalledAttempt): Promise<StreamAttempt | undefined> {
  const reservation = await reserveOtherEngine(dependencies, context, run, stalled)
  if (reservation === undefined) return undefined
  const other = startStreamAttempt(dependencies, context, run, { reservation })
  const answer = await waitForAnswer(dependencies.clock, run, other)
  const isNeeded = isStillNeeded(run, stalled, other)
  const goesOn = isNeeded && (answer === 'begun' || (answer === 'pending' && likelyEnds(dependencies, context, other)))
  dependencies.log.recordDecision(context.request.id, 'other engine asked', { target: reservation.target.name, answer, isNeeded, goesOn, afterEvent: other.afterEvent })
  if (!goesOn) return closeOther(dependencies, context, run, other, answer)
  if (answer === 'pending') run.replacement.recordSilentTarget(stalled.target)
  return other
}

/** Reserves another engine if the stalled attempt still waits when one is found. */
async function reserveOtherEngine (dependencies: RelayDependencies, context: RelayContext, run: StreamRun, stalled: StalledAttempt): Promise<TargetReservation | undefined> {
  const reservation = maySend(dependencies, context, run) && await run.watch.mayRepeat() ? await reserveEngine(dependencies, context, run) : undefined
  const isUsable = reservation !== undefined && stalled.isStalled() && run.currentAttempt?.attempt === stalled.attempt && maySend(dependencies, context, run, reservation)
  dependencies.log.recordDecision(context.request.id, 'other engine sought', { found: reservation?.target.name, isUsable, afterEvent: run.getLastEventId() })
  if (isUsable) return reservation
  if (reservation === undefined) return undefined
  reservation.release()
  dependencies.budget.returnAttempt(context.service.name)
  return undefined
}

/** Returns whether nothing keeps a stream from being sent; one that has started is continued in any case. */
function maySend (dependencies: RelayDependencies, context: RelayContext, run: StreamRun, reservation?: TargetReservation): boolean {
  return run.hasStarted() || findObstacle(dependencies, context, reservation) === undefined
}

/** Returns whether a run likely ends at another engine before this instance does. */
function likelyEnds ({ drain, speeds }: RelayDependencies, context: RelayContext, { reservation: { target } }: StreamAttempt): boolean {
  return drain.likelyEnds({ ...context, pace: getTargetPace(speeds, target) })
}

/** Waits until another engine answers, for a limited time. */
async function waitForAnswer (clock: Clock, run: StreamRun, { attempt }: StreamAttempt): Promise<OtherAnswer> {
  const waitController = new AbortController()
  const pending = clock.sleep(OVERLAP_MS, waitController.signal).then((): OtherAnswer => 'pending')
  const answered = attempt.head.then((head): OtherAnswer => head.isErr ? head.error : isUsableHead(run, head.value) ? 'begun' : 'lost')
  const answer = await Promise.race([answered, pending])
  waitController.abort()
  return answer
}

/** Returns whether the caller still needs the other attempt: the stalled one is silent or has ended, and the caller has no further event. */
function isStillNeeded (run: StreamRun, { attempt, isStalled }: StalledAttempt, { afterEvent }: StreamAttempt): boolean {
  const isSilent = run.currentAttempt?.attempt !== attempt || isStalled()
  return isSilent && !run.isClosed() && run.getLastEventId() === afterEvent
}

/** Ends an attempt that is not needed or did not go on with the run; it may have run. */
function closeOther (dependencies: RelayDependencies, context: RelayContext, run: StreamRun, other: StreamAttempt, answer: OtherAnswer): undefined {
  const end = answer === 'begun' || answer === 'pending' ? 'aborted' : answer
  if (end === 'lost' || (end === 'aborted' && other.attempt.isSent())) run.executedAttempts++
  recordAttemptEnd(dependencies, context, run, other, end)
  other.close()
  return undefined
}
