import { type RelayContext } from './RelayContext.js'
import { type RefusalReason, type RelayRefusal } from './RelayRequest.js'
import { type RelayTools } from './RelayTools.js'

/** Statuses of refusals. 503 states that the request has not run and never will; 502 and 504 state nothing. */
const STATUSES: Record<RefusalReason, RelayRefusal['status']> = {
  notConfigured: 503,
  noRoute: 404,
  unknownKey: 401,
  noTarget: 503,
  overloaded: 503,
  stopping: 503,
  notExecuted: 503,
  timeoutNotRun: 503,
  timeout: 504,
  lost: 502
}

/** Shortest and longest times after which a refused caller is invited back, in milliseconds, by reason. */
const RETURN_RANGES_MS: Partial<Record<RefusalReason, readonly [number, number]>> = {
  notConfigured: [500, 1000],
  noTarget: [300, 900],
  overloaded: [500, 2500],
  stopping: [50, 200],
  notExecuted: [200, 600],
  timeoutNotRun: [200, 600]
}

/** Share of the caller's remaining time that the wait until it returns may take; callers wait no longer. */
const MAX_RETURN_SHARE = 1 / 3

/**
 * Gives a request its final answer without a target's.
 * @param tools - What the request uses.
 * @param context - The request.
 * @param reason - Why.
 */
export function refuseRequest (tools: RelayTools, context: RelayContext, reason: RefusalReason): void {
  const { sink, request, route } = context
  if (sink.gone.aborted) {
    tools.metrics.countOutcome(route.name, 'callerLeft')
    tools.log.recordDecision(request.id, 'caller left', { route: route.name, reason })
    return
  }
  const status = STATUSES[reason]
  const retryAfterMs = computeReturn(tools, context, reason)
  tools.metrics.countOutcome(route.name, reason)
  tools.log.recordDecision(request.id, 'refused', {
    route: route.name, reason, status, retryAfterMs, heldMs: Math.round(tools.clock.nowMs() - request.receivedAtMs), version: context.configuration.version, viewAgeMs: tools.getViewAgeMs()
  })
  sink.refuse({ status, reason, retryAfterMs })
}

/** Spreads returns over a range, so that those who were refused together do not come back together. */
function computeReturn ({ clock, random }: RelayTools, { endAtMs }: RelayContext, reason: RefusalReason): number | undefined {
  const range = RETURN_RANGES_MS[reason]
  if (range === undefined) return undefined
  const [shortestMs, longestMs] = range
  const spreadMs = shortestMs + random.nextFloat() * (longestMs - shortestMs)
  return Math.max(0, Math.min(spreadMs, (endAtMs - clock.nowMs()) * MAX_RETURN_SHARE))
}
