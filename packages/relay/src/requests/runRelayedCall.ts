import { type TargetUse } from '../placement/TargetUse.js'
import { type Attempt, type AttemptError, type AttemptHead, FAILURE_STATUS } from '../targets/RelayTargetClient.js'
import { type AttemptVerdict } from '../targets/TargetQuality.js'
import { refuseRequest } from './refuseRequest.js'
import { type RelayContext } from './RelayContext.js'
import { type RelayTools } from './RelayTools.js'

/** Longest answer that is read whole before its first byte is passed on, in bytes. */
const MAX_HELD_BYTES = 256 * 1024

/** Wait for an idempotent answer, as a share of the route's objective, after which another target is asked as well. */
const HEDGE_SHARE = 1.1

/** Shortest such wait in milliseconds. */
const MIN_HEDGE_MS = 100

/** The beginning of an answer, or all of it. */
interface HeldAnswer {
  readonly head: AttemptHead
  readonly chunks: readonly Buffer[]
}

/** What a target gave for a call. */
type CallAnswer =
  | HeldAnswer & { readonly kind: 'answer', readonly isWhole: boolean }
  | { readonly kind: 'error', readonly error: AttemptError }

/** An attempt on its way. */
interface RunningAttempt {
  readonly use: TargetUse
  readonly attempt: Attempt
  readonly abort: AbortController
  readonly answer: Promise<{ readonly from: RunningAttempt, readonly answer: CallAnswer }>
}

/** What the attempts of one call came to so far. */
interface CallState {
  readonly context: RelayContext
  readonly tools: RelayTools
  readonly excluded: Set<string>
  readonly running: Set<RunningAttempt>
  /** Attempts that ran or may have run. */
  executed: number
  sent: number
  /** Failed answer of a target, kept in case no other target does better. */
  failed?: HeldAnswer
  mayHaveRun: boolean
}

/**
 * Relays a request whose answer comes in one piece. Idempotent ones are repeated on another target within the route's
 * attempts and the budget; others only where nothing was sent or the target states that it did not run them.
 * @param tools - What the request uses.
 * @param context - The request.
 */
export async function runRelayedCall (tools: RelayTools, context: RelayContext): Promise<void> {
  const state: CallState = { context, tools, excluded: new Set(), running: new Set(), executed: 0, sent: 0, mayHaveRun: false }
  try {
    await runAttempts(state)
  } finally {
    for (const { abort, use } of state.running) {
      abort.abort()
      use.release()
    }
  }
}

async function runAttempts (state: CallState): Promise<void> {
  while (!isOver(state)) {
    if (state.running.size === 0 && !startAttempt(state)) return await finishWithout(state)
    const event = await waitForEvent(state)
    if (event === 'ended') break
    if (event === 'hedge') startHedge(state)
    else if (await handleAnswer(state, event.from, event.answer)) return
  }
  finishAtEnd(state)
}

/** Timers may run late after a pause, so the clock decides as well. */
function isOver ({ context, tools }: CallState): boolean {
  return context.signal.aborted || tools.clock.nowMs() >= context.endAtMs
}

/** Starts an attempt on another target; false when there is none or the budget is spent. */
function startAttempt (state: CallState): boolean {
  const { context, tools, excluded } = state
  if (state.sent > 0 && !canRepeat(state)) return false
  const use = tools.placer.takeTarget({ service: context.service, tokens: 0, excluded })
  if (use === undefined) return false
  if (state.sent > 0 && !tools.budget.takeAttempt(context.service.name, 'retry')) {
    use.release()
    return false
  }
  sendAttempt(state, use)
  return true
}

function canRepeat ({ context, executed }: CallState): boolean {
  return executed < context.route.maxAttempts && (executed === 0 || context.route.kind === 'idempotent')
}

function startHedge (state: CallState): void {
  const started = canHedge(state) && startAttempt(state)
  if (started) state.tools.metrics.countRepeat(state.context.service.name, 'slow')
}

function canHedge ({ context, running, executed }: CallState): boolean {
  return context.route.kind === 'idempotent' && executed + running.size < context.route.maxAttempts
}

function sendAttempt (state: CallState, use: TargetUse): void {
  const { context, tools, excluded, running } = state
  const abort = new AbortController()
  excluded.add(use.target.name)
  if (state.sent === 0) tools.budget.observeRequest(context.service.name)
  state.sent++
  const attempt = tools.client.sendRequest(use.target, {
    request: context.request,
    workspace: context.workspace,
    remainingMs: context.endAtMs - tools.clock.nowMs(),
    needsFreshConnection: state.sent > 1 && context.route.kind === 'once',
    signal: abort.signal
  })
  tools.log.recordDecision(context.request.id, 'sent', {
    route: context.route.name, target: use.target.name, score: use.score, attempt: state.sent, version: context.configuration.version, viewAgeMs: tools.getViewAgeMs()
  })
  const item: RunningAttempt = { use, attempt, abort, answer: readAnswer(attempt).then(answer => ({ from: item, answer })) }
  running.add(item)
}

async function readAnswer (attempt: Attempt): Promise<CallAnswer> {
  const head = await attempt.head
  if (head.isErr) return { kind: 'error', error: head.error }
  const chunks: Buffer[] = []
  let held = 0
  while (held < MAX_HELD_BYTES) {
    const next = await attempt.readBytes()
    if (next.isErr) return { kind: 'error', error: next.error }
    if (next.value === undefined) return { kind: 'answer', head: head.value, chunks, isWhole: true }
    chunks.push(next.value)
    held += next.value.length
  }
  return { kind: 'answer', head: head.value, chunks, isWhole: false }
}

async function waitForEvent (state: CallState): Promise<{ from: RunningAttempt, answer: CallAnswer } | 'hedge' | 'ended'> {
  const { context, tools, running } = state
  const waiting = new AbortController()
  const ended = new Promise<'ended'>(resolve => {
    if (context.signal.aborted) resolve('ended')
    context.signal.addEventListener('abort', () => resolve('ended'), { signal: waiting.signal })
  })
  const hedgeMs = Math.max(MIN_HEDGE_MS, context.route.objectiveMs * HEDGE_SHARE)
  const hedge = canHedge(state)
    ? [tools.clock.sleep(hedgeMs, waiting.signal).then(() => 'hedge' as const)]
    : []
  try {
    return await Promise.race([ended, ...hedge, ...[...running].map(({ answer }) => answer)])
  } finally {
    waiting.abort()
  }
}

/** Takes an attempt's answer in; true when the request has its final answer. */
async function handleAnswer (state: CallState, from: RunningAttempt, answer: CallAnswer): Promise<boolean> {
  state.running.delete(from)
  const usable = judgeAnswer(answer)
  state.tools.quality.observeVerdict(from.use.target.name, VERDICTS[usable])
  state.tools.log.recordDecision(state.context.request.id, 'attempt ended', describeAnswer(from, answer, usable))
  try {
    return await ANSWER_HANDLERS[usable](state, from, answer)
  } finally {
    from.use.release()
  }
}

/** What a target's answer is worth. */
type AnswerWorth = 'good' | 'failed' | AttemptError

const VERDICTS: Record<AnswerWorth, AttemptVerdict> = {
  good: 'success', failed: 'failure', notSent: 'unreachable', notExecuted: 'success', notHere: 'unreachable', lost: 'failure', aborted: 'success'
}

function judgeAnswer (answer: CallAnswer): AnswerWorth {
  if (answer.kind === 'error') return answer.error
  if (answer.head.status >= FAILURE_STATUS) return 'failed'
  const isUnsignedSuccess = answer.head.status < 300 && !answer.head.isSigned
  return isUnsignedSuccess ? 'lost' : 'good'
}

type AnswerHandler = (state: CallState, from: RunningAttempt, answer: CallAnswer) => boolean | Promise<boolean>

const ANSWER_HANDLERS: Record<AnswerWorth, AnswerHandler> = {
  good: async (state, from, answer) => await deliverAnswer(state, from, answer),
  failed: async (state, from, answer) => {
    state.executed++
    if (answer.kind === 'answer' && answer.isWhole) state.failed = answer
    if (state.running.size > 0 || mayStartAnother(state)) return false
    return await deliverAnswer(state, from, answer)
  },
  notSent: () => false,
  notExecuted: () => false,
  notHere: () => false,
  lost: state => countLost(state),
  aborted: state => countLost(state)
}

function countLost (state: CallState): boolean {
  state.executed++
  state.mayHaveRun = true
  return false
}

/** Tells whether a failed answer is worth another attempt: the next turn of the loop starts it. */
function mayStartAnother (state: CallState): boolean {
  return canRepeat(state) && state.tools.placer.countUsable(state.context.service) > state.excluded.size
}

async function deliverAnswer (state: CallState, from: RunningAttempt, answer: CallAnswer): Promise<boolean> {
  if (answer.kind === 'error') return false
  await passBeginning(state, answer)
  if (!answer.isWhole) return await passRest(state.context, from.attempt)
  finishAnswer(state, answer)
  return true
}

async function passBeginning ({ context: { sink } }: CallState, { head, chunks }: HeldAnswer): Promise<void> {
  sink.writeHead(head)
  for (const chunk of chunks) await sink.writeBytes(chunk)
}

function finishAnswer ({ context, tools }: CallState, { head }: HeldAnswer): void {
  context.sink.end()
  tools.metrics.countOutcome(context.route.name, head.status >= FAILURE_STATUS ? 'targetFailed' : 'answered')
  tools.metrics.observeAnswer(context.route.name, tools.clock.nowMs() - context.request.receivedAtMs)
}

async function passRest ({ sink, signal }: RelayContext, attempt: Attempt): Promise<boolean> {
  while (!signal.aborted) {
    const next = await attempt.readBytes()
    if (next.isErr) break
    if (next.value === undefined) {
      sink.end()
      return true
    }
    await sink.writeBytes(next.value)
  }
  sink.breakOff()
  return true
}

/** No further attempt can be made. */
async function finishWithout (state: CallState): Promise<void> {
  const { context, tools } = state
  if (state.failed !== undefined) {
    await passBeginning(state, state.failed)
    return finishAnswer(state, state.failed)
  }
  if (state.mayHaveRun) refuseRequest(tools, context, 'lost')
  else refuseRequest(tools, context, state.sent > 0 ? 'notExecuted' : 'noTarget')
}

/** The caller has left or the time is over. */
function finishAtEnd (state: CallState): void {
  const { context, tools, running } = state
  const isSent = state.mayHaveRun || state.failed !== undefined || [...running].some(({ attempt }) => attempt.isSent())
  refuseRequest(tools, context, isSent ? 'timeout' : 'timeoutNotRun')
}

function describeAnswer ({ use, attempt }: RunningAttempt, answer: CallAnswer, worth: AnswerWorth): Record<string, unknown> {
  return { target: use.target.name, outcome: worth, status: answer.kind === 'answer' ? answer.head.status : undefined, cause: attempt.getCause() }
}
