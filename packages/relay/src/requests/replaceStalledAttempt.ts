import { type TargetReservation } from '../placement/TargetReservation.js'
import { type Attempt, type AttemptError } from '../targets/RelayTargetClient.js'
import { isUsableHead } from './isUsableHead.js'
import { type RelayContext } from './RelayContext.js'
import { type RelayDependencies } from './RelayDependencies.js'
import { findObstacle } from './repeatStream.js'
import { type ReservedEngine, reserveEngine } from './reserveEngine.js'
import { recordAttemptEnd, startStreamAttempt } from './startStreamAttempt.js'
import { type StreamAttempt } from './StreamAttempt.js'
import { type StreamRun } from './StreamRun.js'

/** An attempt whose stream has stalled. */
export interface StalledAttempt {
  readonly attempt: Attempt
  /** Returns whether nothing has arrived since the stall. */
  readonly isStalled: () => boolean
}

/** How another engine answers: it has sent the first bytes of an answer that can be used, it has not answered when the stalled attempt ends, or it does not go on with the run. */
type OtherAnswer = 'begun' | 'pending' | AttemptError

/**
 * Replaces a stalled attempt by one at another engine. The stalled attempt is ended once the other engine has sent the first bytes of its
 * answer; until then it goes on, since its engine may only be silent.
 * @param dependencies - Components that handle the request.
 * @param context - The request.
 * @param run - Run of the request.
 * @param stalled - The attempt.
 */
export async function replaceStalledAttempt (dependencies: RelayDependencies, context: RelayContext, run: StreamRun, stalled: StalledAttempt): Promise<void> {
  const isReplaced = await run.replacement.run(async () => await startOtherAttempt(dependencies, context, run, stalled))
  if (isReplaced) stalled.attempt.markLost()
}

/**
 * Ends the attempt at another engine that is not needed because the run goes on from its memory; it may have run.
 * @param dependencies - Components that handle the request.
 * @param context - The request.
 * @param run - Run of the request.
 */
export async function dropReplacement (dependencies: RelayDependencies, context: RelayContext, run: StreamRun): Promise<void> {
  const other = await run.replacement.takeNextAttempt()
  if (other !== undefined) closeOther(dependencies, context, run, other, 'pending')
}

/** Starts an attempt at another engine; returns undefined when the stalled one goes on. */
async function startOtherAttempt (dependencies: RelayDependencies, context: RelayContext, run: StreamRun, stalled: StalledAttempt): Promise<StreamAttempt | undefined> {
  const reservation = await reserveReplacement(dependencies, context, run, stalled)
  if (reservation === undefined) return undefined
  const other = startStreamAttempt(dependencies, context, run, { reservation })
  const answer = await run.replacement.waitForAnswer(classifyAnswer(run, other))
  const isNeeded = isStillNeeded(run, stalled, other)
  dependencies.log.recordDecision(context.request.id, 'other engine asked', { target: reservation.target.name, answer, isNeeded, afterEvent: other.afterEvent })
  if (isNeeded && (answer === 'begun' || answer === 'pending')) return other
  closeOther(dependencies, context, run, other, answer)
  return undefined
}

/** Reserves another engine if the stalled attempt still waits when one is found. */
async function reserveReplacement (dependencies: RelayDependencies, context: RelayContext, run: StreamRun, stalled: StalledAttempt): Promise<TargetReservation | undefined> {
  const isStillStalled = (): boolean => stalled.isStalled() && run.currentAttempt?.attempt === stalled.attempt
  const engine = maySend(dependencies, context, run) && await run.watch.mayRepeat() ? await reserveEngine(dependencies, context, run, isStillStalled) : undefined
  const isUsable = engine !== undefined && isStillStalled() && maySend(dependencies, context, run, engine.reservation)
  dependencies.log.recordDecision(context.request.id, 'other engine sought', { found: engine?.reservation.target.name, isUsable, afterEvent: run.getLastEventId() })
  if (isUsable) return engine.reservation
  if (engine !== undefined) dropEngine(dependencies, context, engine)
  return undefined
}

/** Releases an engine to which nothing is sent, and returns its attempt to the budget if it was taken from there. */
function dropEngine ({ budget }: RelayDependencies, { service }: RelayContext, { reservation, isFromBudget }: ReservedEngine): void {
  reservation.release()
  if (isFromBudget) budget.returnAttempt(service.name)
}

/** Returns whether nothing keeps a stream from being sent to a second engine; one that has started is continued unless it may crash engines. */
function maySend (dependencies: RelayDependencies, context: RelayContext, run: StreamRun, reservation?: TargetReservation): boolean {
  if (run.watch.isSuspected()) return false
  return run.hasStarted() || findObstacle(dependencies, context, reservation) === undefined
}

/** Waits for the first bytes of another engine's answer; its head alone does not show that it runs the request. */
async function classifyAnswer (run: StreamRun, { attempt }: StreamAttempt): Promise<OtherAnswer> {
  const head = await attempt.head
  if (head.isErr) return head.error
  if (!isUsableHead(run, head.value)) return 'lost'
  const first = await attempt.waitForBytes()
  return first.isErr ? first.error : 'begun'
}

/** Returns whether the caller still needs the other attempt: the stalled one is silent or has ended, and the caller has no further event. */
function isStillNeeded (run: StreamRun, { attempt, isStalled }: StalledAttempt, { afterEvent }: StreamAttempt): boolean {
  const isSilent = run.currentAttempt?.attempt !== attempt || isStalled()
  return isSilent && !run.isClosed() && run.getLastEventId() === afterEvent
}

/** Ends an attempt that is not needed or did not go on with the run; it may have run. */
function closeOther (dependencies: RelayDependencies, context: RelayContext, run: StreamRun, other: StreamAttempt, answer: OtherAnswer): void {
  const end = answer === 'begun' || answer === 'pending' ? 'aborted' : answer
  if (end === 'lost' || (end === 'aborted' && other.attempt.isSent())) run.recordExecuted(other)
  recordAttemptEnd(dependencies, context, run, other, end)
  other.close()
}
