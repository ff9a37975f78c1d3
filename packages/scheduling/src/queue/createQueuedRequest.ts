import { type PlacementRequest } from '../Scheduler.js'
import { type SchedulerComponents } from '../SchedulerComponents.js'
import { type QueuedRequest } from './PlacementQueue.js'

/** Token interval of a lightly loaded target, as a fraction of the planned one. */
const FAST_INTERVAL_FRACTION = 0.5

/** Assumed time from dispatch to the first token, for the estimate of the shortest possible duration. */
const ASSUMED_FIRST_TOKEN_MS = 200

/**
 * Creates the queue's item for a request, with the estimates by which it is queued.
 * @param components - Components of the scheduler.
 * @param request - The request.
 * @param enqueuedAtMs - Clock reading at which it is queued.
 */
export function createQueuedRequest (components: SchedulerComponents, request: PlacementRequest, enqueuedAtMs: number): QueuedRequest {
  const { outputTokens, shortTokens } = estimateOutput(components, request)
  return {
    request,
    workspace: request.workspace,
    priority: request.priority,
    pool: request.service.targets.join(' '),
    weight: request.snapshot.workspaces.get(request.workspace)?.weight ?? 1,
    cost: Math.max(1, request.promptTokens + outputTokens),
    minDurationMs: ASSUMED_FIRST_TOKEN_MS + Math.min(shortTokens, outputTokens) * components.tokenIntervalMs * FAST_INTERVAL_FRACTION,
    enqueuedAtMs
  }
}

/** Estimates the output of a request and the output of a short answer of its service and workspace, in tokens. */
function estimateOutput ({ outputLengths }: SchedulerComponents, { service, workspace, maxTokens }: PlacementRequest): { outputTokens: number, shortTokens: number } {
  if (service.kind === 'call') return { outputTokens: 0, shortTokens: 0 }
  return {
    outputTokens: outputLengths.getDistribution(service.name, workspace).estimateRemaining(0, maxTokens),
    shortTokens: outputLengths.estimateShortLength(service.name, workspace)
  }
}
