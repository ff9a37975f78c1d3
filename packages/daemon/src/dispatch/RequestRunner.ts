import { type Clock, type ModelReference, type Target } from '@fescuespoke/common'
import { type Reason } from '@fescuespoke/schema'
import { type Placement, type PlacementRefusal, type PlacementRequest, type Scheduler } from '@fescuespoke/scheduling'
import { Result } from 'true-myth'
import { type RequestEntry } from '../requests/RequestEntry.js'
import { type ResumeTokens } from '../resume/ResumeTokenCodec.js'
import { type TargetClient } from '../targets/TargetClient.js'

/** Tells whether a target may get new work, from evidence that has an age. */
export interface TargetReadiness {
  /**
   * Tells whether recent evidence says that the target takes work.
   * @param target - The target.
   */
  isOpen(target: Target): boolean
  /**
   * Renews the evidence of a target and tells whether it takes work.
   * @param target - The target.
   */
  confirmOpen(target: Target): Promise<boolean>
}

/** Receives what happens to requests. */
export interface RequestObserver {
  /**
   * Observes that a target was chosen.
   * @param entry - The request.
   */
  observePlacement(entry: RequestEntry): void
  /**
   * Observes tokens as they arrive from a target.
   * @param entry - The request.
   * @param tokens - Number of tokens.
   * @param gapMs - Time since the tokens before them, or since arrival for the first ones, in milliseconds.
   * @param isFirst - Whether they are the first ones.
   */
  observeTokens(entry: RequestEntry, tokens: number, gapMs: number, isFirst: boolean): void
  /**
   * Observes a preemption reported by a target.
   * @param entry - The request.
   */
  observePreemption(entry: RequestEntry): void
  /**
   * Observes that a generation is replaced by a new one.
   * @param entry - The request.
   */
  observeRestart(entry: RequestEntry): void
  /**
   * Observes the outcome of a request.
   * @param entry - The request.
   */
  observeEnd(entry: RequestEntry): void
}

/** What runners of requests work with. */
export interface RunnerTools {
  readonly clock: Clock
  readonly scheduler: Scheduler
  readonly targetClient: TargetClient
  readonly targetGate: TargetReadiness
  readonly resumeTokens: ResumeTokens
  readonly observer: RequestObserver
  /** Makes a name for a generation that no other process uses. */
  readonly createGenerationName: () => string
  /** Tokens that are held for each streamed request before the target is slowed down. */
  readonly maxBufferedTokens: number
}

/** Runs one request from placement to outcome. */
export type RequestRunner = (entry: RequestEntry, dependencies: RunnerTools) => Promise<void>

/** Most targets that one request is sent to. */
export const MAX_ATTEMPTS = 3

/** Characters in one token of a prompt, for estimates. */
const CHARACTERS_PER_TOKEN = 4

/**
 * Waits for a target whose evidence is recent.
 * @param entry - The request.
 * @param dependencies - What the runner works with.
 * @param failedTargets - Targets that already failed; those found closed are added.
 */
export async function acquireConfirmedPlacement (
  entry: RequestEntry, dependencies: RunnerTools, failedTargets: string[]
): Promise<Result<Placement, PlacementRefusal>> {
  while (true) {
    const placed = await dependencies.scheduler.acquirePlacement(createPlacementRequest(entry, failedTargets))
    if (placed.isErr) return placed
    const { target, detail } = placed.value
    dependencies.observer.observePlacement(entry)
    entry.recordStep('placed', `${target.name}: ${detail}`)
    if (dependencies.targetGate.isOpen(target) || await dependencies.targetGate.confirmOpen(target)) return placed
    entry.recordStep('closed', `${target.name} takes no new work or cannot be confirmed`)
    placed.value.release('rejected')
    failedTargets.push(target.name)
    if (failedTargets.length >= entry.options.service.targets.length) return Result.err(STALE_VIEW_REFUSAL)
  }
}

const STALE_VIEW_REFUSAL: PlacementRefusal = {
  reason: 'viewStale',
  retryAfterMs: 1000,
  detail: 'no target could be confirmed to take new work'
}

/**
 * Ends a request that was not placed. It is `notRun` only when no earlier attempt was dispatched.
 * @param entry - The request.
 * @param refusal - Why it was not placed.
 */
export function endUnplaced (entry: RequestEntry, refusal: PlacementRefusal): void {
  if (entry.cancellation.signal.aborted) {
    endCancelled(entry)
    return
  }
  entry.setEnd({
    outcome: entry.wasDispatched() ? 'failed' : 'notRun',
    reason: refusal.reason,
    retryAfterMs: refusal.retryAfterMs,
    detail: refusal.detail
  })
}

/**
 * Ends a request that its caller has cancelled.
 * @param entry - The request.
 */
export function endCancelled (entry: RequestEntry): void {
  entry.setEnd({ outcome: entry.wasDispatched() ? 'cancelled' : 'notRun', reason: 'cancelledByCaller' })
}

/**
 * Ends a request whose deadline has passed.
 * @param entry - The request.
 */
export function endDeadlineExceeded (entry: RequestEntry): void {
  const reason: Reason = 'deadlineExceeded'
  entry.setEnd({ outcome: entry.wasDispatched() ? 'failed' : 'notRun', reason })
}

/**
 * Gets the model that serves a request, with what its workspace gets otherwise; nothing for calls.
 * @param entry - The request.
 */
export function getModel ({ options }: RequestEntry): ModelReference | undefined {
  const { service, workspace } = options
  if (service.runs === undefined) return undefined
  const override = service.overrides.get(workspace)
  return {
    model: service.runs.model,
    adapter: override?.adapter ?? service.runs.adapter,
    version: override?.version ?? service.runs.version
  }
}

function createPlacementRequest (entry: RequestEntry, failedTargets: readonly string[]): PlacementRequest {
  const { id, workspace, service, snapshot, priority, body, deadlineMs } = entry.options
  return {
    request: id,
    workspace,
    service,
    runs: getModel(entry),
    snapshot,
    priority,
    promptTokens: Math.ceil((body.prompt ?? '').length / CHARACTERS_PER_TOKEN),
    maxTokens: body.maxTokens,
    prefix: body.prefix,
    deadlineMs,
    failedTargets,
    signal: entry.cancellation.signal
  }
}
