import { type RunContinuation } from '../moves/MovableRun.js'
import { estimateTokens } from '../placement/estimateTokens.js'
import { type TargetUse } from '../placement/TargetUse.js'
import { type Continuation } from '../targets/RelayTargetClient.js'
import { type AttemptVerdict } from '../targets/TargetQuality.js'
import { mayRepeat, readStream, type StreamEnd } from './readStream.js'
import { refuseRequest } from './refuseRequest.js'
import { type RelayContext } from './RelayContext.js'
import { type RelayTools } from './RelayTools.js'
import { StreamRun } from './StreamRun.js'

/** Share of the route's objective, and of the remaining time, that a request may wait for an engine with room. */
const MAX_WAIT_SHARE = 0.5
const MAX_WAIT_OF_REMAINING = 0.25

/** Lowest urgency that engines take. */
const LOWEST_URGENCY = 9

/**
 * Relays a request whose answer is a stream. Its events come from one run: a run goes on at another engine only from its
 * own memory, or, where the route allows it, from the last event that the caller has.
 * @param tools - What the request uses.
 * @param context - The request.
 */
export async function runRelayedStream (tools: RelayTools, context: RelayContext): Promise<void> {
  const run = StreamRun.create(tools, context)
  try {
    await runAttempts(tools, context, run)
  } finally {
    run.close()
  }
}

async function runAttempts (tools: RelayTools, context: RelayContext, run: StreamRun): Promise<void> {
  let use = await takeEngine(tools, context, run)
  let moved: RunContinuation | undefined
  while (use !== undefined) {
    const end = await runAttempt(tools, context, run, use, moved?.continuation)
    if (end === 'complete') return
    const next: RunContinuation | undefined = context.signal.aborted ? undefined : (await run.takeContinuation() ?? returnToSource(tools, run, moved, end))
    if (context.signal.aborted) return finishAtEnd(tools, context, run)
    moved = next
    if (next !== undefined) use = next.use
    else use = mayRepeat(context, run, end) ? await takeEngine(tools, context, run) : undefined
    if (use === undefined) return finishWithout(tools, context, run, end)
  }
  finishUnplaced(tools, context, run)
}

/** A run that its destination did not take goes on at its source, which keeps the memory of a stopped run. */
function returnToSource ({ placer, table }: RelayTools, run: StreamRun, moved: RunContinuation | undefined, end: StreamEnd): RunContinuation | undefined {
  const isRefused = end === 'notExecuted' || end === 'notSent' || end === 'notHere'
  if (moved === undefined || !isRefused || moved.use.target.name === moved.source.name) return undefined
  if (table.getKnown(moved.source.name)?.target.startedAt !== moved.source.startedAt) return undefined
  return { ...moved, use: placer.useTarget(moved.source, run.getTokens()) }
}

async function takeEngine (tools: RelayTools, context: RelayContext, run: StreamRun): Promise<TargetUse | undefined> {
  const { clock, waitingRoom, budget } = tools
  const { service, request, route } = context
  const remainingMs = context.endAtMs - clock.nowMs()
  const waitedMs = clock.nowMs() - request.receivedAtMs
  const use = await waitingRoom.takeTarget({
    need: { service, tokens: estimateTokens(request.size, 0), unread: request.size?.promptTokens ?? 0, excluded: run.excluded },
    priority: context.priority,
    sinceMs: request.receivedAtMs,
    maxWaitMs: Math.min(route.objectiveMs * MAX_WAIT_SHARE, remainingMs * MAX_WAIT_OF_REMAINING) - waitedMs,
    signal: context.signal
  })
  if (use === undefined || run.sent === 0 || budget.takeAttempt(service.name, 'retry')) return use
  use.release()
  return undefined
}

async function runAttempt (tools: RelayTools, context: RelayContext, run: StreamRun, use: TargetUse, continuation: Continuation | undefined): Promise<StreamEnd> {
  const { request, signal, priority } = context
  const abort = new AbortController()
  const forwardAbort = (): void => abort.abort()
  signal.addEventListener('abort', forwardAbort)
  if (run.sent === 0) tools.budget.observeRequest(context.service.name)
  if (continuation === undefined) run.excluded.add(use.target.name)
  run.sent++
  const attempt = tools.client.sendRequest(use.target, {
    request,
    workspace: context.workspace,
    remainingMs: context.endAtMs - tools.clock.nowMs(),
    needsFreshConnection: false,
    urgency: Math.min(LOWEST_URGENCY, priority),
    lastEventId: run.getLastEventId(),
    continuation,
    signal: abort.signal
  })
  run.current = { use, attempt, abort }
  tools.log.recordDecision(request.id, 'sent', {
    route: context.route.name, target: use.target.name, score: use.score, attempt: run.sent, continues: continuation?.handle, afterEvent: run.getLastEventId(), version: context.configuration.version, viewAgeMs: tools.getViewAgeMs()
  })
  tools.mover.addRun(run)
  try {
    const end = await readStream(tools, context, run)
    tools.quality.observeVerdict(use.target.name, VERDICTS[end])
    tools.log.recordDecision(request.id, 'attempt ended', { target: use.target.name, outcome: end, afterEvent: run.getLastEventId(), cause: attempt.getCause() })
    return end
  } finally {
    signal.removeEventListener('abort', forwardAbort)
    run.closeCurrent()
  }
}

const VERDICTS: Record<StreamEnd, AttemptVerdict> = {
  complete: 'success', aborted: 'success', notExecuted: 'success', notSent: 'unreachable', notHere: 'unreachable', lost: 'failure'
}

function finishWithout (tools: RelayTools, context: RelayContext, run: StreamRun, end: StreamEnd): void {
  if (run.hasBegun()) return breakOff(tools, context, run, 'brokenOff')
  refuseRequest(tools, context, run.executed > 0 || end === 'lost' ? 'lost' : 'notExecuted')
}

function finishUnplaced (tools: RelayTools, context: RelayContext, run: StreamRun): void {
  if (context.signal.aborted) return finishAtEnd(tools, context, run)
  if (run.hasBegun()) return breakOff(tools, context, run, 'brokenOff')
  if (run.executed > 0) return refuseRequest(tools, context, 'lost')
  refuseRequest(tools, context, tools.placer.countUsable(context.service) === 0 ? 'noTarget' : 'overloaded')
}

/** The caller has left or the time is over. */
function finishAtEnd (tools: RelayTools, context: RelayContext, run: StreamRun): void {
  if (run.hasBegun()) return breakOff(tools, context, run, context.sink.gone.aborted ? 'callerLeft' : 'timeout')
  refuseRequest(tools, context, run.sent > 0 ? 'timeout' : 'timeoutNotRun')
}

function breakOff ({ metrics, log }: RelayTools, { sink, route, request }: RelayContext, run: StreamRun, outcome: 'brokenOff' | 'callerLeft' | 'timeout'): void {
  sink.breakOff()
  metrics.countOutcome(route.name, outcome)
  log.recordDecision(request.id, 'broken off', { route: route.name, outcome, ...run.describeCourse() })
}
