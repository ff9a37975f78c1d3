import { type RunContinuation } from '../moves/MovableRun.js'
import { type TargetReservation } from '../placement/TargetReservation.js'
import { createStreamOrigin, isSameOrigin } from '../versions/StreamOrigin.js'
import { readStream } from './readStream.js'
import { type AbortOutcome, findAbortReason, getAbortLineKind, getAbortOutcome, HELD_BACK_REFUSALS } from './abortOutcomes.js'
import { CLOSURE_REFUSALS, refuseRequest } from './refuseRequest.js'
import { type RelayContext } from './RelayContext.js'
import { type RefusalReason } from './RelayRequest.js'
import { type RelayDependencies } from './RelayDependencies.js'
import { type ReservedEngine, reserveEngine } from './reserveEngine.js'
import { canRepeat, findObstacle } from './repeatStream.js'
import { dropReplacement } from './replaceStalledAttempt.js'
import { recordAttemptEnd, startStreamAttempt } from './startStreamAttempt.js'
import { type StreamAttempt, type StreamEnd } from './StreamAttempt.js'
import { StreamRun } from './StreamRun.js'

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

/** Ends of attempts after which the same engine may run the request later. */
const REFUSAL_ENDS: ReadonlySet<StreamEnd> = new Set(['notExecuted', 'notSent'])

/** What the next attempt begins with: a reserved target, the move after which the run continues there, and the attempt itself if it is sent already. */
interface NextAttempt {
  readonly reservation: TargetReservation
  readonly move?: RunContinuation
  readonly sent?: StreamAttempt
}

async function runAttempts (dependencies: RelayDependencies, context: RelayContext, run: StreamRun): Promise<void> {
  let next: NextAttempt | undefined = await reserveEngine(dependencies, context, run)
  while (next !== undefined) {
    if (context.signal.aborted) {
      closeNext(next)
      return finishAborted(dependencies, context, run)
    }
    const obstacle = run.hasStarted() || next.sent !== undefined ? undefined : findObstacle(dependencies, context, next.reservation)
    if (obstacle !== undefined) return refuseReserved(dependencies, context, run, next.reservation, obstacle)
    const end = await runAttempt(dependencies, context, run, next)
    if (end === 'complete') return
    const { move: previousMove }: NextAttempt = next
    next = await findNextAttempt(dependencies, context, run, { previousMove, end })
    if (next === undefined && context.signal.aborted) return finishAborted(dependencies, context, run)
    if (next === undefined) return finishWithoutAttempt(dependencies, context, run, end)
  }
  finishWithoutEngine(dependencies, context, run)
}

function closeNext ({ sent, reservation }: NextAttempt): void {
  if (sent === undefined) reservation.release()
  else sent.close()
}

/** The attempt that has ended: the move after which it began, and its result. */
interface EndedAttempt {
  readonly previousMove: RunContinuation | undefined
  readonly end: StreamEnd
}

/** Returns the attempt with which a run goes on: one elsewhere whose answer has begun, one from the memory of the run, or a repetition. */
async function findNextAttempt (dependencies: RelayDependencies, context: RelayContext, run: StreamRun, ended: EndedAttempt): Promise<NextAttempt | undefined> {
  const begun = run.replacement.takeBegunAttempt()
  if (begun !== undefined) {
    run.dropContinuation()
    return { reservation: begun.reservation, sent: begun }
  }
  const move = await findContinuation(dependencies, context, run, ended)
  if (move !== undefined) return { reservation: move.reservation, move }
  return context.signal.aborted ? undefined : await findRepeat(dependencies, context, run, ended.end)
}

/** Returns the continuation after a move, from a copy, or at the source of a move that its destination refused; undefined once the request is aborted. */
async function findContinuation (dependencies: RelayDependencies, context: RelayContext, run: StreamRun, { previousMove, end }: EndedAttempt): Promise<RunContinuation | undefined> {
  const { signal } = context
  if (signal.aborted) return undefined
  const next = await takeContinuation(dependencies, run, end) ?? continueAtSource(dependencies, run, previousMove, end)
  if (next !== undefined) dropReplacement(dependencies, context, run)
  if (!signal.aborted) return next
  next?.reservation.release()
  return undefined
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

/** Returns the attempt that replaces a silent one, or reserves another engine if the request may be repeated there. */
async function findRepeat (dependencies: RelayDependencies, context: RelayContext, run: StreamRun, end: StreamEnd): Promise<NextAttempt | undefined> {
  const sent = await run.replacement.takeNextAttempt()
  if (sent !== undefined) return { reservation: sent.reservation, sent }
  return await reserveOtherEngine(dependencies, context, run, end)
}

async function reserveOtherEngine (dependencies: RelayDependencies, context: RelayContext, run: StreamRun, end: StreamEnd): Promise<ReservedEngine | undefined> {
  const isRepeatable = canRepeat(context, run, end)
  const mayRepeat = isRepeatable && await run.watch.mayRepeat()
  const engine = mayRepeat ? await reserveEngine(dependencies, context, run) : undefined
  if (engine === undefined) dependencies.log.recordDecision(context.request.id, 'not repeated', { after: end, isRepeatable, mayRepeat, sentAttempts: run.sentAttempts, executedAttempts: run.executedAttempts, afterEvent: run.getLastEventId() }, mayHaveRun(run, end) ? 'failure' : 'ordinary')
  return engine
}

async function runAttempt (dependencies: RelayDependencies, context: RelayContext, run: StreamRun, { reservation, move, sent }: NextAttempt): Promise<StreamEnd> {
  const streamAttempt = sent ?? startStreamAttempt(dependencies, context, run, { reservation, continuation: move?.continuation })
  run.currentAttempt = streamAttempt
  run.watch.startRun(streamAttempt.attempt.head)
  dependencies.mover.addRun(run)
  try {
    const end = await readStream(dependencies, context, run)
    recordAttemptEnd(dependencies, context, run, streamAttempt, end)
    if (REFUSAL_ENDS.has(end)) run.recordRefusal(streamAttempt)
    return end
  } finally {
    run.closeCurrentAttempt()
  }
}

/** Refuses a request for which an engine is reserved; it may have run before. */
function refuseReserved (dependencies: RelayDependencies, context: RelayContext, run: StreamRun, reservation: TargetReservation, reason: RefusalReason): void {
  reservation.release()
  refuseRequest(dependencies, context, run.executedAttempts > 0 ? 'lost' : reason)
}

function finishWithoutAttempt (dependencies: RelayDependencies, context: RelayContext, run: StreamRun, end: StreamEnd): void {
  if (run.hasStarted()) return abortAnswer(dependencies, context, run, 'brokenOff')
  refuseRequest(dependencies, context, mayHaveRun(run, end) ? 'lost' : 'notExecuted')
}

function mayHaveRun (run: StreamRun, end: StreamEnd): boolean {
  return run.executedAttempts > 0 || end === 'lost'
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

/** Breaks off an answer that has begun, or refuses the request if the answer was held back. */
function abortAnswer (dependencies: RelayDependencies, context: RelayContext, run: StreamRun, outcome: AbortOutcome): void {
  const { sink, route, request } = context
  const isHeldBack = sink.mayRefuse()
  dependencies.log.recordDecision(request.id, 'broken off', { route: route.name, outcome, isHeldBack, ...run.describeProgress() }, getAbortLineKind(outcome))
  if (isHeldBack) return refuseRequest(dependencies, context, HELD_BACK_REFUSALS[outcome])
  sink.abort()
  dependencies.metrics.countOutcome(route.name, outcome, request.id)
}
