import { type EngineEvent, type GenerationEvent, type GenerationSpec, type Priority } from '@fescuespoke/schema'
import { type Placement } from '@fescuespoke/scheduling'
import { type RequestEntry } from '../requests/RequestEntry.js'
import { type TargetError } from '../targets/TargetClient.js'
import { acquireConfirmedPlacement, endCancelled, endDeadlineExceeded, getModel, MAX_ATTEMPTS, endUnplaced, type RunnerDependencies } from './RequestRunner.js'
import { MAX_CONSECUTIVE_REOPENS, REOPEN_DELAY_MS } from '../targets/streamRetries.js'

/** Maximum number of output tokens of a request that sets no limit. */
const DEFAULT_MAX_TOKENS = 32_768

/** Engine priority of each scheduling class. */
const ENGINE_PRIORITIES: Record<Priority, number> = { high: 2, normal: 1, low: 0 }

/** How one attempt to generate ended; `crashed` if its target crashed before it sent a token. */
type GenerationEnd = 'complete' | 'cancelled' | 'deadlineExceeded' | 'withheld' | 'crashed' | TargetError

/**
 * Runs a generation. A lost generation is restarted on another target as long as none of its tokens have been delivered.
 * @param entry - The request.
 * @param dependencies - Dependencies of the runner.
 */
export async function runGeneration (entry: RequestEntry, dependencies: RunnerDependencies): Promise<void> {
  const cancelDeadline = dependencies.clock.startTimer(entry.options.deadlineMs - dependencies.clock.nowMs(), () => entry.cancellation.abort())
  try {
    await runAttempts(entry, dependencies)
  } finally {
    cancelDeadline()
  }
}

async function runAttempts (entry: RequestEntry, dependencies: RunnerDependencies): Promise<void> {
  const failedTargets: string[] = []
  for (let attempt = 0; attempt < MAX_ATTEMPTS; attempt++) {
    const placementResult = await acquireConfirmedPlacement(entry, dependencies, failedTargets)
    if (placementResult.isErr) {
      endAfterFailedPlacement(entry, placementResult.error)
      return
    }
    const end = await generateOnTarget(entry, placementResult.value, dependencies)
    releasePlacement(placementResult.value, end)
    if (!endUnlessRetryable(entry, end)) {
      failedTargets.push(placementResult.value.target.name)
      dependencies.observer.observeRestart(entry)
      continue
    }
    return
  }
  endUnplaced(entry, { reason: 'targetLost', retryAfterMs: 1000, detail: `${MAX_ATTEMPTS} targets failed` })
}

function endAfterFailedPlacement (entry: RequestEntry, refusal: Parameters<typeof endUnplaced>[1]): void {
  if (entry.isDeadlineExceeded()) endDeadlineExceeded(entry)
  else endUnplaced(entry, refusal)
}

async function generateOnTarget (entry: RequestEntry, placement: Placement, dependencies: RunnerDependencies): Promise<GenerationEnd> {
  const generation = createGenerationEvent(entry, placement, dependencies)
  if (!canDispatch(entry, placement, dependencies)) return 'withheld'
  const wasDispatchedBefore = entry.wasDispatched()
  entry.setDispatched()
  entry.setGeneration(generation)
  entry.recordStep('sent', `${placement.target.name} as ${generation.generation}`)
  const end = await readGeneration(entry, placement, generation.generation, dependencies)
  if (wasNeverStarted(entry, end)) {
    if (!wasDispatchedBefore) entry.clearDispatched()
    return end
  }
  if (end !== 'complete') await dependencies.targetClient.cancelGeneration(placement.target, generation.generation)
  return end
}

function createGenerationEvent (entry: RequestEntry, placement: Placement, dependencies: RunnerDependencies): GenerationEvent {
  const generation = dependencies.createGenerationId()
  const resumeToken = dependencies.resumeTokenCodec.encodeToken({
    request: entry.options.id,
    generation,
    target: placement.target,
    delivery: entry.getDeliveryMode()
  })
  return { type: 'generation', generation, resumeToken }
}

/** Returns whether a generation may start. A reader may have received tokens of a lost generation while the request waited for a target. */
function canDispatch (entry: RequestEntry, placement: Placement, dependencies: RunnerDependencies): boolean {
  if (entry.hasDeliveredTokens()) return false
  return !entry.isDeadlineExceeded() && !entry.cancellation.signal.aborted && dependencies.targetReadiness.isReady(placement.target)
}

/**
 * Reads a generation to its end and reopens its stream when the connection is lost. Once a connection has been
 * established, a later connection failure no longer proves that the generation never started.
 */
async function readGeneration (
  entry: RequestEntry, placement: Placement, generation: string, dependencies: RunnerDependencies
): Promise<GenerationEnd> {
  let end = await readWatchedStream(entry, placement, generation, dependencies, createGenerationSpec(entry, placement))
  const mayHaveStarted = isReopenable(entry, end)
  for (let reopenCount = 0; isReopenable(entry, end) && reopenCount < MAX_CONSECUTIVE_REOPENS; reopenCount++) {
    if (entry.tokens.getEndOffset() === 0 && dependencies.harmfulRequests.findRefusal(entry) !== undefined) break
    entry.recordStep('reopened', `${placement.target.name}: ${end}`)
    await dependencies.clock.sleep(REOPEN_DELAY_MS, entry.cancellation.signal)
    const previousEndOffset = entry.tokens.getEndOffset()
    end = await readWatchedStream(entry, placement, generation, dependencies, previousEndOffset === 0 ? createGenerationSpec(entry, placement) : undefined)
    if (entry.tokens.getEndOffset() > previousEndOffset) reopenCount = 0
  }
  return mayHaveStarted && wasNeverStarted(entry, end) ? 'cut' : end
}

/** Reads a stream, and records what its end tells of whether the request crashes targets. */
async function readWatchedStream (
  entry: RequestEntry, placement: Placement, generation: string, dependencies: RunnerDependencies, spec: GenerationSpec | undefined
): Promise<GenerationEnd> {
  const { harmfulRequests, clock } = dependencies
  const startedAtMs = clock.nowMs()
  const end = await readStream(entry, placement, generation, dependencies, spec)
  if (end === 'complete') harmfulRequests.recordCompletion(entry)
  if (end !== 'cut' && end !== 'silent') return end
  const hasCrashed = await harmfulRequests.recordLoss(entry, { target: placement.target, kind: end === 'cut' ? 'closed' : 'silent', startedAtMs })
  return hasCrashed && entry.tokens.getEndOffset() === 0 ? 'crashed' : end
}

async function readStream (
  entry: RequestEntry, placement: Placement, generation: string, dependencies: RunnerDependencies, spec: GenerationSpec | undefined
): Promise<GenerationEnd> {
  const signal = entry.cancellation.signal
  const events = dependencies.targetClient.openGeneration(placement.target, { generation, spec, offset: entry.tokens.getEndOffset(), signal })
  const meter = createTokenMeter(entry, placement, dependencies)
  for await (const event of events) {
    if (event.isErr) return event.error === 'aborted' ? classifyAbort(entry) : event.error
    const end = ENGINE_EVENT_HANDLERS[event.value.type](entry, event.value as never, meter)
    if (end !== undefined) return end
    await waitForReaders(entry, dependencies)
  }
  return classifyAbort(entry)
}

interface TokenMeter {
  observeTokens(tokens: number): void
  observePreemption(): void
}

function createTokenMeter (entry: RequestEntry, placement: Placement, dependencies: RunnerDependencies): TokenMeter {
  let lastMs = entry.tokens.getEndOffset() === 0 ? entry.getArrivalMs() : dependencies.clock.nowMs()
  return {
    observeTokens: tokens => {
      const nowMs = dependencies.clock.nowMs()
      dependencies.observer.observeTokens(entry, tokens, nowMs - lastMs, lastMs === entry.getArrivalMs())
      lastMs = nowMs
      placement.observeTokens(entry.tokens.getEndOffset())
    },
    observePreemption: () => {
      placement.observePreemption()
      dependencies.observer.observePreemption(entry)
    }
  }
}

type EngineEventHandlers = {
  [T in EngineEvent['type']]: (entry: RequestEntry, event: Extract<EngineEvent, { type: T }>, meter: TokenMeter) => GenerationEnd | undefined
}

const ENGINE_EVENT_HANDLERS: EngineEventHandlers = {
  tokens: (entry, event, meter) => {
    if (event.offset > entry.tokens.getEndOffset()) return 'malformed'
    entry.addTokens(event.offset, event.tokens)
    meter.observeTokens(event.tokens.length)
    return undefined
  },
  preempted: (entry, _event, meter) => {
    entry.recordStep('preempted', 'the target took back the cache memory')
    meter.observePreemption()
    return undefined
  },
  heartbeat: () => undefined,
  end: (entry, event) => {
    if (event.reason === 'failed' || event.tokens !== entry.tokens.getEndOffset()) return 'malformed'
    return event.reason === 'cancelled' ? 'cut' : 'complete'
  }
}

/** Pauses the target's stream while the readers of a streamed answer fall behind (backpressure). */
async function waitForReaders (entry: RequestEntry, dependencies: RunnerDependencies): Promise<void> {
  if (entry.getDeliveryMode() === 'whole') return
  while (entry.countUnreadTokens() > dependencies.maxBufferedTokens && !entry.cancellation.signal.aborted) {
    await entry.waitForChange()
  }
  entry.pruneTokens(dependencies.maxBufferedTokens)
}

function isReopenable (entry: RequestEntry, end: GenerationEnd): boolean {
  return end === 'cut' || end === 'silent' || (end === 'unreachable' && entry.tokens.getEndOffset() > 0)
}

/** Returns whether the connection failed or the target rejected the generation, so that none of it ran. */
function wasNeverStarted (entry: RequestEntry, end: GenerationEnd): boolean {
  return (end === 'unreachable' || end === 'refused') && entry.tokens.getEndOffset() === 0
}

function classifyAbort (entry: RequestEntry): GenerationEnd {
  return entry.isDeadlineExceeded() ? 'deadlineExceeded' : 'cancelled'
}

/** Ends the request unless it can be retried on another target. Returns whether the request has ended. */
function endUnlessRetryable (entry: RequestEntry, end: GenerationEnd): boolean {
  if (end === 'complete') entry.setEnd({ outcome: 'complete', reason: 'finished', tokens: entry.tokens.getEndOffset() })
  else if (end === 'deadlineExceeded' || entry.isDeadlineExceeded()) endDeadlineExceeded(entry)
  else if (end === 'cancelled' || entry.cancellation.signal.aborted) endCancelled(entry)
  else if (entry.hasDeliveredTokens()) entry.setEnd({ outcome: 'failed', reason: 'targetLost', retryAfterMs: 0, detail: `the target was lost: ${end}` })
  if (!entry.isEnded()) entry.recordStep('lost', end)
  return entry.isEnded()
}

function releasePlacement (placement: Placement, end: GenerationEnd): void {
  placement.release(PLACEMENT_OUTCOMES[end] ?? 'targetFailed')
}

const PLACEMENT_OUTCOMES: Partial<Record<GenerationEnd, Parameters<Placement['release']>[0]>> = {
  complete: 'complete',
  cancelled: 'cancelled',
  deadlineExceeded: 'cancelled',
  aborted: 'cancelled',
  withheld: 'rejected',
  refused: 'rejected',
  unreachable: 'targetUnreachable'
}

function createGenerationSpec (entry: RequestEntry, { modelReference }: Placement): GenerationSpec {
  const { body, priority } = entry.options
  return {
    model: '',
    ...(modelReference ?? getModel(entry)),
    prompt: body.prompt ?? '',
    prefix: body.prefix,
    maxTokens: body.maxTokens ?? DEFAULT_MAX_TOKENS,
    priority: ENGINE_PRIORITIES[priority]
  }
}
