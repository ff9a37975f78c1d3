import { type LogFields } from '../logs/DecisionLog.js'
import { type RunContinuation } from '../moves/MovableRun.js'
import { recordPrefixUse } from '../prefixes/recordPrefixUse.js'
import { type TargetReservation } from '../placement/TargetReservation.js'
import { type Continuation } from '../targets/RelayTargetClient.js'
import { type AttemptOutcome } from '../targets/TargetHealth.js'
import { createStreamOrigin, isSameOrigin } from '../versions/StreamOrigin.js'
import { readStream } from './readStream.js'
import { type AbortOutcome, findAbortReason, getAbortOutcome } from './abortOutcomes.js'
import { CLOSURE_REFUSALS, refuseRequest } from './refuseRequest.js'
import { type RelayContext } from './RelayContext.js'
import { type RefusalReason } from './RelayRequest.js'
import { type RelayDependencies } from './RelayDependencies.js'
import { reserveEngine } from './reserveEngine.js'
import { canRepeat, findObstacle, type StreamEnd } from './repeatStream.js'
import { sendToTarget } from './sendToTarget.js'
import { StreamRun } from './StreamRun.js'

/** Lowest urgency that engines accept. */
const LOWEST_URGENCY = 9

/** Urgency of all generations where engines reserve capacity; the queue of this instance orders them, and no engine preempts one for another. */
const HELD_URGENCY = 5

/**
 * Relays a request whose answer is a stream. All events come from one run. A run continues at another engine only from its
 * own memory or, where the route allows it, from the last event that the caller received.
 * @param dependencies - Components that handle the request.
 * @param context - The request.
 */
export async function runRelayedStream (dependencies: RelayDependencies, context: RelayContext): Promise<void> {
  const run = StreamRun.create(dependencies, context)
  try {
    await runAttempts(dependencies, context, run)
  } finally {
    run.close()
  }
}

async function runAttempts (dependencies: RelayDependencies, context: RelayContext, run: StreamRun): Promise<void> {
  let reservation = await reserveEngine(dependencies, context, run)
  let previousMove: RunContinuation | undefined
  while (reservation !== undefined) {
    if (context.signal.aborted) {
      reservation.release()
      return finishAborted(dependencies, context, run)
    }
    const obstacle = run.hasStarted() ? undefined : findObstacle(dependencies, context, reservation)
    if (obstacle !== undefined) return refuseReserved(dependencies, context, run, reservation, obstacle)
    const end = await runAttempt(dependencies, context, run, reservation, previousMove?.continuation)
    if (end === 'complete') return
    const next = context.signal.aborted ? undefined : await findContinuation(dependencies, run, previousMove, end)
    if (context.signal.aborted) return finishAborted(dependencies, context, run)
    previousMove = next
    reservation = next?.reservation ?? await reserveRepeat(dependencies, context, run, end)
    if (reservation === undefined) return finishWithoutAttempt(dependencies, context, run, end)
  }
  finishWithoutEngine(dependencies, context, run)
}

/** Returns the continuation after a move, from a copy, or at the source of a move that its destination refused. */
async function findContinuation (dependencies: RelayDependencies, run: StreamRun, previousMove: RunContinuation | undefined, end: StreamEnd): Promise<RunContinuation | undefined> {
  const next = await takeContinuation(dependencies, run, end) ?? continueAtSource(dependencies, run, previousMove, end)
  if (next !== undefined) run.takeNextReservation()?.release()
  return next
}

/** Returns the continuation after a move, or from a copy if the stream was interrupted. */
async function takeContinuation ({ mover }: RelayDependencies, run: StreamRun, end: StreamEnd): Promise<RunContinuation | undefined> {
  const next = await run.takeContinuation()
  if (next !== undefined || end !== 'lost') return next
  await mover.recoverRun(run)
  return await run.takeContinuation()
}

/** Returns the continuation at the source, which keeps the memory of a stopped run, if the destination refused the run. */
function continueAtSource ({ placer, table }: RelayDependencies, run: StreamRun, previousMove: RunContinuation | undefined, end: StreamEnd): RunContinuation | undefined {
  const isRefused = end === 'notExecuted' || end === 'notSent' || end === 'notHere'
  if (previousMove === undefined || !isRefused || previousMove.reservation.target.name === previousMove.source.name) return undefined
  const { source } = previousMove
  const origin = run.getOrigin() ?? createStreamOrigin(source)
  const tracked = table.getTracked(source.name)
  if (tracked?.target.startedAtMs !== source.startedAtMs || !isSameOrigin(tracked.target, origin)) return undefined
  return { ...previousMove, reservation: placer.reserveTarget(source, run.getExpectedTokens()) }
}

/** Reserves another engine if the request may be repeated there, unless one was reserved after a stall. */
async function reserveRepeat (dependencies: RelayDependencies, context: RelayContext, run: StreamRun, end: StreamEnd): Promise<TargetReservation | undefined> {
  const reserved = run.takeNextReservation()
  if (reserved !== undefined) return reserved
  return canRepeat(context, run, end) && await run.watch.mayRepeat() ? await reserveEngine(dependencies, context, run) : undefined
}

async function runAttempt (dependencies: RelayDependencies, context: RelayContext, run: StreamRun, reservation: TargetReservation, continuation: Continuation | undefined): Promise<StreamEnd> {
  const { request, signal, priority, service } = context
  const hold = reservation.getHold()
  const abortController = new AbortController()
  const forwardAbort = (): void => abortController.abort()
  signal.addEventListener('abort', forwardAbort)
  if (run.sentAttempts === 0) dependencies.budget.recordRequest(context.service.name)
  if (continuation === undefined) run.excludedTargets.add(reservation.target.name)
  run.sentAttempts++
  const attempt = sendToTarget(dependencies, reservation, {
    request,
    workspace: context.workspace,
    remainingMs: context.deadlineAtMs - dependencies.clock.nowMs(),
    // A copy of an earlier answer to this request would be taken for the answer to this attempt.
    needsFreshConnection: run.sentTargets.has(reservation.target.name),
    urgency: hold !== undefined || dependencies.holds.isActive(service) ? HELD_URGENCY : Math.min(LOWEST_URGENCY, priority),
    lastEventId: run.getLastEventId(),
    continuation,
    hold: hold?.id,
    signal: abortController.signal
  })
  run.sentTargets.add(reservation.target.name)
  run.currentAttempt = { reservation, attempt, abortController }
  run.watch.startRun(attempt.head)
  const endPrefixUse = recordPrefixUse(dependencies.prefixes, { target: reservation.target, request, attempt, isContinuation: continuation !== undefined })
  dependencies.log.recordDecision(request.id, 'sent', {
    route: context.route.name, target: reservation.target.name, softwareVersion: reservation.target.softwareVersion, score: reservation.score, ...describeSpeed(dependencies, context, reservation), hold: hold?.id, attempt: run.sentAttempts, waitedMs: Math.round(dependencies.clock.nowMs() - request.receivedAtMs), continues: continuation?.handle, afterEvent: run.getLastEventId(), resumes: request.resumedId, sharedParts: request.sharedParts, heldPrefixTokens: reservation.heldPrefixTokens, version: context.configuration.version, viewAgeMs: dependencies.getViewAgeMs()
  })
  dependencies.mover.addRun(run)
  try {
    const end = await readStream(dependencies, context, run)
    if (attempt.isSent() && !NOT_RUN_ENDS.has(end)) recordRun(dependencies, reservation)
    if (end === 'notSent') run.unsentAttempts++
    run.watch.endRun(reservation.target, end, attempt.isBrokenOff())
    dependencies.health.recordOutcome(reservation.target.name, run.isContinuing() ? 'success' : ATTEMPT_OUTCOMES[end])
    dependencies.log.recordDecision(request.id, 'attempt ended', { target: reservation.target.name, outcome: end, afterEvent: run.getLastEventId(), sharedParts: request.sharedParts, cause: attempt.getCause() })
    return end
  } finally {
    endPrefixUse()
    signal.removeEventListener('abort', forwardAbort)
    run.closeCurrentAttempt()
  }
}

/** Returns log fields about the speed of an engine and the expected duration there. */
function describeSpeed ({ speeds, generationTimes }: RelayDependencies, { service, request }: RelayContext, { target }: TargetReservation): LogFields {
  const speed = speeds.getSpeed(target)
  return { speed, expectedMs: Math.round(generationTimes.estimateDurationMs(service.name, request.size, speed)) }
}

/** Ends of attempts that the engine did not run. */
const NOT_RUN_ENDS: ReadonlySet<StreamEnd> = new Set(['notExecuted', 'notSent', 'notHere'])

/** Records that a generation used its reservation at the engine, which has capacity again after it. */
function recordRun ({ holds }: RelayDependencies, reservation: TargetReservation): void {
  reservation.getHold()?.recordUse()
  holds.recordEnd(reservation.target)
}

const ATTEMPT_OUTCOMES: Record<StreamEnd, AttemptOutcome> = {
  complete: 'success', aborted: 'success', notExecuted: 'success', notSent: 'unreachable', notHere: 'unreachable', lost: 'failure'
}

/** Refuses a request for which an engine is reserved; it may have run before. */
function refuseReserved (dependencies: RelayDependencies, context: RelayContext, run: StreamRun, reservation: TargetReservation, reason: RefusalReason): void {
  reservation.release()
  refuseRequest(dependencies, context, run.executedAttempts > 0 ? 'lost' : reason)
}

function finishWithoutAttempt (dependencies: RelayDependencies, context: RelayContext, run: StreamRun, end: StreamEnd): void {
  if (run.hasStarted()) return abortAnswer(dependencies, context, run, 'brokenOff')
  refuseRequest(dependencies, context, run.executedAttempts > 0 || end === 'lost' ? 'lost' : 'notExecuted')
}

function finishWithoutEngine (dependencies: RelayDependencies, context: RelayContext, run: StreamRun): void {
  if (context.signal.aborted) return finishAborted(dependencies, context, run)
  if (run.hasStarted()) return abortAnswer(dependencies, context, run, 'brokenOff')
  if (run.executedAttempts > 0) return refuseRequest(dependencies, context, 'lost')
  refuseRequest(dependencies, context, findUnplacedReason(dependencies, context))
}

function findUnplacedReason ({ placer, crashes, drain }: RelayDependencies, context: RelayContext): RefusalReason {
  const { service } = context
  if (crashes.getTrialWaitMs(context) !== undefined) return 'crashesEngines'
  if (!drain.canStillSend(context)) return 'stopping'
  if (placer.countUsable(service, context) === 0) return 'noTarget'
  const closure = placer.findClosure(service, context)
  return closure === undefined ? 'overloaded' : CLOSURE_REFUSALS[closure.reason]
}

/** Finishes a stream whose caller has left, whose deadline is reached, or whose process stops. */
function finishAborted (dependencies: RelayDependencies, context: RelayContext, run: StreamRun): void {
  if (run.hasStarted()) return abortAnswer(dependencies, context, run, getAbortOutcome(context))
  refuseRequest(dependencies, context, findAbortReason(context, run.sentAttempts > 0))
}

function abortAnswer ({ metrics, log }: RelayDependencies, { sink, route, request }: RelayContext, run: StreamRun, outcome: AbortOutcome): void {
  sink.abort()
  metrics.countOutcome(route.name, outcome)
  log.recordDecision(request.id, 'broken off', { route: route.name, outcome, ...run.describeProgress() })
}
