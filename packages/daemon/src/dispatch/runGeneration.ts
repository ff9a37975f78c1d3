import { type EngineEvent, type GenerationEvent, type GenerationSpec, type Priority } from '@fescuespoke/schema'
import { type Placement } from '@fescuespoke/scheduling'
import { type RequestEntry } from '../requests/RequestEntry.js'
import { type TargetError } from '../targets/TargetClient.js'
import { acquireOpenPlacement, endCancelled, endOverdue, getModel, MAX_ATTEMPTS, refuseEntry, type RunnerTools } from './RequestRunner.js'
import { MAX_REOPENS, REOPEN_PAUSE_MS } from '../targets/streamRetries.js'

/** Most output tokens of a request that names no bound. */
const DEFAULT_MAX_TOKENS = 32_768

/** Number that the engine gets for each scheduling class. */
const ENGINE_PRIORITIES: Record<Priority, number> = { high: 2, normal: 1, low: 0 }

/** How one generation ended. */
type GenerationEnd = 'complete' | 'cancelled' | 'overdue' | 'withheld' | TargetError

/**
 * Runs a generation. While no token has been delivered, a lost one is replaced by a new one on another target.
 * @param entry - The request.
 * @param tools - What the runner works with.
 */
export async function runGeneration (entry: RequestEntry, tools: RunnerTools): Promise<void> {
  const cancelDeadline = tools.clock.startTimer(entry.options.deadlineMs - tools.clock.nowMs(), () => entry.cancellation.abort())
  try {
    await runAttempts(entry, tools)
  } finally {
    cancelDeadline()
  }
}

async function runAttempts (entry: RequestEntry, tools: RunnerTools): Promise<void> {
  const failedTargets: string[] = []
  for (let attempt = 0; attempt < MAX_ATTEMPTS; attempt++) {
    const placed = await acquireOpenPlacement(entry, tools, failedTargets)
    if (placed.isErr) {
      refuseOrEndOverdue(entry, placed.error)
      return
    }
    const end = await generateOnTarget(entry, placed.value, tools)
    releasePlacement(placed.value, end)
    if (!endEntry(entry, end)) {
      failedTargets.push(placed.value.target.name)
      tools.observer.observeRestart(entry)
      continue
    }
    return
  }
  refuseEntry(entry, { reason: 'targetLost', retryAfterMs: 1000, detail: `${MAX_ATTEMPTS} targets failed` })
}

function refuseOrEndOverdue (entry: RequestEntry, refusal: Parameters<typeof refuseEntry>[1]): void {
  if (entry.isOverdue()) endOverdue(entry)
  else refuseEntry(entry, refusal)
}

async function generateOnTarget (entry: RequestEntry, placement: Placement, tools: RunnerTools): Promise<GenerationEnd> {
  const generation = createGeneration(entry, placement, tools)
  if (!canDispatch(entry, placement, tools)) return 'withheld'
  const sentEarlier = entry.wasDispatched()
  entry.setDispatched()
  entry.setGeneration(generation)
  entry.recordStep('sent', `${placement.target.name} as ${generation.generation}`)
  const end = await pumpGeneration(entry, placement, generation.generation, tools)
  if (isNeverSent(entry, end)) {
    if (!sentEarlier) entry.clearDispatched()
    return end
  }
  if (end !== 'complete') await tools.targetClient.cancelGeneration(placement.target, generation.generation)
  return end
}

function createGeneration (entry: RequestEntry, placement: Placement, tools: RunnerTools): GenerationEvent {
  const generation = tools.createGenerationName()
  const resumeToken = tools.resumeTokens.encodeToken({
    request: entry.options.id,
    generation,
    target: placement.target,
    delivery: entry.getDelivery()
  })
  return { type: 'generation', generation, resumeToken }
}

/** Tells whether a generation may start now. A reader may have taken tokens of a lost one while a target was waited for. */
function canDispatch (entry: RequestEntry, placement: Placement, tools: RunnerTools): boolean {
  if (entry.hasDelivered()) return false
  return !entry.isOverdue() && !entry.cancellation.signal.aborted && tools.targetGate.isOpen(placement.target)
}

/**
 * Reads a generation to its end, opening its stream again where a connection is lost. Once a connection stood, a later
 * failure to connect does not show that nothing of the generation ran.
 */
async function pumpGeneration (
  entry: RequestEntry, placement: Placement, generation: string, tools: RunnerTools
): Promise<GenerationEnd> {
  let end = await readStream(entry, placement, generation, tools, createSpec(entry, placement))
  const mayRun = isReopenable(entry, end)
  for (let reopened = 0; isReopenable(entry, end) && reopened < MAX_REOPENS; reopened++) {
    entry.recordStep('reopened', `${placement.target.name}: ${end}`)
    await tools.clock.sleep(REOPEN_PAUSE_MS, entry.cancellation.signal)
    const before = entry.tokens.getEndOffset()
    end = await readStream(entry, placement, generation, tools, before === 0 ? createSpec(entry, placement) : undefined)
    if (entry.tokens.getEndOffset() > before) reopened = 0
  }
  return mayRun && isNeverSent(entry, end) ? 'cut' : end
}

async function readStream (
  entry: RequestEntry, placement: Placement, generation: string, tools: RunnerTools, spec: GenerationSpec | undefined
): Promise<GenerationEnd> {
  const signal = entry.cancellation.signal
  const events = tools.targetClient.openGeneration(placement.target, { generation, spec, offset: entry.tokens.getEndOffset(), signal })
  const meter = createTokenMeter(entry, placement, tools)
  for await (const event of events) {
    if (event.isErr) return event.error === 'aborted' ? describeAbort(entry) : event.error
    const end = ENGINE_EVENT_HANDLERS[event.value.type](entry, event.value as never, meter)
    if (end !== undefined) return end
    await waitForReaders(entry, tools)
  }
  return describeAbort(entry)
}

interface TokenMeter {
  observe(tokens: number): void
  observePreemption(): void
}

function createTokenMeter (entry: RequestEntry, placement: Placement, tools: RunnerTools): TokenMeter {
  let lastMs = entry.tokens.getEndOffset() === 0 ? entry.getArrivedMs() : tools.clock.nowMs()
  return {
    observe: tokens => {
      const nowMs = tools.clock.nowMs()
      tools.observer.observeTokens(entry, tokens, nowMs - lastMs, lastMs === entry.getArrivedMs())
      lastMs = nowMs
      placement.observeTokens(entry.tokens.getEndOffset())
    },
    observePreemption: () => {
      placement.observePreemption()
      tools.observer.observePreemption(entry)
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
    meter.observe(event.tokens.length)
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

/** Holds the target's stream back while no reader of a streamed answer takes tokens. */
async function waitForReaders (entry: RequestEntry, tools: RunnerTools): Promise<void> {
  if (entry.getDelivery() === 'whole') return
  while (entry.countUnreadTokens() > tools.maxBufferedTokens && !entry.cancellation.signal.aborted) {
    await entry.waitForChange()
  }
  entry.pruneTokens(tools.maxBufferedTokens)
}

function isReopenable (entry: RequestEntry, end: GenerationEnd): boolean {
  return end === 'cut' || end === 'silent' || (end === 'unreachable' && entry.tokens.getEndOffset() > 0)
}

/** Tells whether the target was never connected or turned the generation down, so that nothing of it ran. */
function isNeverSent (entry: RequestEntry, end: GenerationEnd): boolean {
  return (end === 'unreachable' || end === 'refused') && entry.tokens.getEndOffset() === 0
}

function describeAbort (entry: RequestEntry): GenerationEnd {
  return entry.isOverdue() ? 'overdue' : 'cancelled'
}

/** Ends the request unless another target may be tried; tells whether it has ended. */
function endEntry (entry: RequestEntry, end: GenerationEnd): boolean {
  if (end === 'complete') entry.setEnd({ outcome: 'complete', reason: 'finished', tokens: entry.tokens.getEndOffset() })
  else if (end === 'overdue' || entry.isOverdue()) endOverdue(entry)
  else if (end === 'cancelled' || entry.cancellation.signal.aborted) endCancelled(entry)
  else if (entry.hasDelivered()) entry.setEnd({ outcome: 'failed', reason: 'targetLost', retryAfterMs: 0, detail: `the target was lost: ${end}` })
  if (!entry.isEnded()) entry.recordStep('lost', end)
  return entry.isEnded()
}

function releasePlacement (placement: Placement, end: GenerationEnd): void {
  placement.release(PLACEMENT_ENDS[end] ?? 'targetFailed')
}

const PLACEMENT_ENDS: Partial<Record<GenerationEnd, Parameters<Placement['release']>[0]>> = {
  complete: 'complete',
  cancelled: 'cancelled',
  overdue: 'cancelled',
  aborted: 'cancelled',
  withheld: 'rejected',
  refused: 'rejected',
  unreachable: 'targetUnreachable'
}

function createSpec (entry: RequestEntry, { runs }: Placement): GenerationSpec {
  const { body, priority } = entry.options
  return {
    model: '',
    ...(runs ?? getModel(entry)),
    prompt: body.prompt ?? '',
    prefix: body.prefix,
    maxTokens: body.maxTokens ?? DEFAULT_MAX_TOKENS,
    priority: ENGINE_PRIORITIES[priority]
  }
}
