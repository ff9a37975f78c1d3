import { type Clock, type ModelReference, type Target } from '@fescuespoke/common'
import { type Reason } from '@fescuespoke/schema'
import { type Placement, type PlacementRefusal, type PlacementRequest, type Scheduler } from '@fescuespoke/scheduling'
import { type Ok, Result } from 'true-myth/result'
import { type HarmfulRequests } from '../crashes/HarmfulRequests.js'
import { type RequestEntry } from '../requests/RequestEntry.js'
import { type ResumeTokenCodec } from '../resume/ResumeTokenCodec.js'
import { type TargetClient } from '../targets/TargetClient.js'

/** Decides from recent state reports whether a target may receive new work. */
export interface TargetReadiness {
  /**
   * Returns whether a recent report says that the target accepts new work.
   * @param target - The target.
   */
  isReady(target: Target): boolean
  /**
   * Requests new reports about a target and returns whether it accepts new work.
   * @param target - The target.
   */
  confirmReady(target: Target): Promise<boolean>
}

/** Receives lifecycle events of requests. */
export interface RequestObserver {
  /**
   * Observes that a request was placed on a target.
   * @param entry - The request.
   */
  observePlacement(entry: RequestEntry): void
  /**
   * Observes tokens received from a target.
   * @param entry - The request.
   * @param tokens - Number of tokens.
   * @param gapMs - Time since the previous tokens, or since the request arrived for the first tokens, in milliseconds.
   * @param isFirst - Whether these are the first tokens of the request.
   */
  observeTokens(entry: RequestEntry, tokens: number, gapMs: number, isFirst: boolean): void
  /**
   * Observes a preemption reported by a target.
   * @param entry - The request.
   */
  observePreemption(entry: RequestEntry): void
  /**
   * Observes that a failed generation is restarted on another target.
   * @param entry - The request.
   */
  observeRestart(entry: RequestEntry): void
  /**
   * Observes the outcome of a request.
   * @param entry - The request.
   */
  observeEnd(entry: RequestEntry): void
}

/** Dependencies of request runners. */
export interface RunnerDependencies {
  readonly clock: Clock
  readonly scheduler: Scheduler
  readonly targetClient: TargetClient
  readonly targetReadiness: TargetReadiness
  readonly harmfulRequests: Pick<HarmfulRequests, 'findRefusal' | 'watchWait' | 'recordLoss' | 'recordCompletion'>
  readonly resumeTokenCodec: ResumeTokenCodec
  readonly observer: RequestObserver
  /** Creates a generation id that is unique across processes. */
  readonly createGenerationId: () => string
  /** Maximum number of unread tokens buffered per streamed request before the target's stream is paused. */
  readonly maxBufferedTokens: number
}

/** Runs one request from placement to outcome. */
export type RequestRunner = (entry: RequestEntry, dependencies: RunnerDependencies) => Promise<void>

/** Maximum number of targets that one request is sent to. */
export const MAX_ATTEMPTS = 3

/** Estimated number of characters per prompt token. */
const CHARACTERS_PER_TOKEN = 4

/**
 * Waits for a placement on a target that is confirmed to accept new work.
 * @param entry - The request.
 * @param dependencies - Dependencies of the runner.
 * @param failedTargets - Targets that have already failed. Targets that could not be confirmed are appended.
 * @returns The placement, or why the request could not be placed.
 */
export async function acquireConfirmedPlacement (
  entry: RequestEntry, dependencies: RunnerDependencies, failedTargets: string[]
): Promise<Result<Placement, PlacementRefusal>> {
  while (true) {
    const refusal = dependencies.harmfulRequests.findRefusal(entry)
    if (refusal !== undefined) return Result.err(refusal)
    const placementResult = await acquirePlacement(entry, dependencies, failedTargets)
    if (placementResult === 'harmful') continue
    if (placementResult.isErr) return placementResult
    const { target, detail } = placementResult.value
    dependencies.observer.observePlacement(entry)
    entry.recordStep('placed', `${target.name}: ${detail}`)
    if (dependencies.targetReadiness.isReady(target) || await dependencies.targetReadiness.confirmReady(target)) return refuseHarmful(entry, dependencies, placementResult)
    entry.recordStep('closed', `${target.name} takes no new work or cannot be confirmed`)
    placementResult.value.release('rejected')
    failedTargets.push(target.name)
    if (failedTargets.length >= entry.options.service.targets.length) return Result.err(STALE_VIEW_REFUSAL)
  }
}

/** Waits for a placement, until the request is found to be harmful. */
async function acquirePlacement (
  entry: RequestEntry, { scheduler, harmfulRequests }: RunnerDependencies, failedTargets: readonly string[]
): Promise<Result<Placement, PlacementRefusal> | 'harmful'> {
  const watch = harmfulRequests.watchWait(entry)
  const signal = AbortSignal.any([entry.cancellation.signal, watch.signal])
  const placementResult = await scheduler.acquirePlacement(createPlacementRequest(entry, failedTargets, signal))
  watch.stop()
  const isHarmful = placementResult.isErr && watch.signal.aborted && !entry.cancellation.signal.aborted
  return isHarmful ? 'harmful' : placementResult
}

/** Gives up a placement if the request was found to be harmful while it waited. */
function refuseHarmful (entry: RequestEntry, { harmfulRequests }: RunnerDependencies, placed: Ok<Placement, PlacementRefusal>): Result<Placement, PlacementRefusal> {
  const refusal = harmfulRequests.findRefusal(entry)
  if (refusal === undefined) return placed
  placed.value.release('cancelled')
  return Result.err(refusal)
}

const STALE_VIEW_REFUSAL: PlacementRefusal = {
  reason: 'viewStale',
  retryAfterMs: 1000,
  detail: 'no target could be confirmed to take new work'
}

/**
 * Ends a request that could not be placed. The outcome is `notRun` only when no earlier attempt was dispatched.
 * @param entry - The request.
 * @param refusal - Why the request could not be placed.
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
 * Ends a request that its caller cancelled.
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
 * Returns the model that serves a request, with the overrides of its workspace applied.
 * @param entry - The request.
 * @returns The model, or `undefined` for calls.
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

function createPlacementRequest (entry: RequestEntry, failedTargets: readonly string[], signal: AbortSignal): PlacementRequest {
  const { id, workspace, service, snapshot, priority, body, deadlineMs } = entry.options
  return {
    requestId: id,
    workspace,
    service,
    modelReference: getModel(entry),
    snapshot,
    priority,
    promptTokens: Math.ceil((body.prompt ?? '').length / CHARACTERS_PER_TOKEN),
    maxTokens: body.maxTokens,
    prefix: body.prefix,
    deadlineMs,
    failedTargets,
    signal
  }
}
