import { createAdmissionSubject } from '../admission/AdmissionSubject.js'
import { type RetryAdvice } from '../admission/FairAdmission.js'
import { type ClosureReason } from '../targets/TargetAvailability.js'
import { type RelayContext } from './RelayContext.js'
import { type RefusalReason, type RelayRefusal } from './RelayRequest.js'
import { type RelayDependencies } from './RelayDependencies.js'

/** Statuses of refusals. 503 guarantees that the request did not run and will not run; 502 and 504 guarantee nothing. */
const STATUSES: Record<RefusalReason, RelayRefusal['status']> = {
  notConfigured: 503,
  noRoute: 404,
  unknownKey: 401,
  notConfirmed: 503,
  noTarget: 503,
  unknownOrigin: 503,
  limited: 503,
  backoff: 503,
  evacuated: 503,
  warming: 503,
  crashesEngines: 503,
  overloaded: 503,
  stopping: 503,
  notExecuted: 503,
  timeoutNotRun: 503,
  timeout: 504,
  lost: 502
}

/** Statuses after which a caller does not know whether its request has run. */
const UNSURE_STATUSES: ReadonlySet<number> = new Set([502, 504])

/** Reasons of refusals while all targets of a service are closed, by reason of the closure. */
export const CLOSURE_REFUSALS: Record<ClosureReason, RefusalReason> = { backoff: 'backoff', limited: 'limited', evacuated: 'evacuated', warming: 'warming', full: 'overloaded' }

/** Minimum and maximum delay after which a refused caller should retry, in milliseconds, by reason. */
const RETRY_AFTER_RANGES_MS: Partial<Record<RefusalReason, readonly [number, number]>> = {
  notConfigured: [500, 1000],
  notConfirmed: [500, 1000],
  noTarget: [300, 900],
  unknownOrigin: [200, 600],
  limited: [50, 200],
  backoff: [50, 200],
  evacuated: [300, 900],
  warming: [50, 200],
  crashesEngines: [2000, 4000],
  overloaded: [500, 2500],
  stopping: [50, 200],
  notExecuted: [200, 600],
  timeoutNotRun: [200, 600]
}

/** Reasons for which a caller is told to return when a target opens, if all targets of its service are closed. */
const CLOSURE_REASONS: ReadonlySet<RefusalReason> = new Set(['limited', 'backoff', 'evacuated', 'warming', 'notExecuted'])

/** Delay for a caller refused because of a limit when this instance leaves the targets to other instances, in milliseconds. */
const LIMITED_RETRY_AFTER_MS = 1000

/** Maximum retry delay as a share of the caller's remaining time, since callers wait no longer than that. */
const MAX_RETRY_AFTER_SHARE = 1 / 3

/**
 * Answers a request without the answer of a target.
 * @param dependencies - Components that handle the request.
 * @param context - The request.
 * @param reason - Reason of the refusal.
 */
export function refuseRequest (dependencies: RelayDependencies, context: RelayContext, reason: RefusalReason): void {
  const { sink, request, route } = context
  if (sink.callerSignal.aborted) {
    dependencies.metrics.countOutcome(route.name, 'callerLeft', request.id)
    dependencies.log.recordDecision(request.id, 'caller left', { route: route.name, reason })
    return
  }
  const status = STATUSES[reason]
  const advice = reason === 'overloaded' ? scheduleReturn(dependencies, context) : undefined
  const retryAfterMs = advice?.retryAfterMs ?? computeRetryAfterMs(dependencies, context, reason)
  dependencies.metrics.countOutcome(route.name, reason, request.id)
  dependencies.log.recordDecision(request.id, 'refused', {
    route: route.name, reason, status, retryAfterMs, heldMs: Math.round(dependencies.clock.nowMs() - request.receivedAtMs), version: context.configuration.version, viewAgeMs: dependencies.getViewAgeMs(), ...advice?.inputs
  }, UNSURE_STATUSES.has(status) ? 'failure' : 'ordinary')
  sink.refuse({ status, reason, retryAfterMs })
}

/** Schedules the return of a caller that was refused because there is no capacity; undefined when the time at which there will be some is not known. */
function scheduleReturn ({ admissionQueue, clock }: RelayDependencies, context: RelayContext): RetryAdvice | undefined {
  return admissionQueue.scheduleReturn(createAdmissionSubject(context), context.deadlineAtMs - clock.nowMs())
}

/** Computes a random delay in the range of the reason, so that callers refused at the same time do not retry at the same time. */
function computeRetryAfterMs (dependencies: RelayDependencies, context: RelayContext, reason: RefusalReason): number | undefined {
  const { clock, random } = dependencies
  const { deadlineAtMs } = context
  const range = findWaitRangeMs(dependencies, context, reason) ?? RETRY_AFTER_RANGES_MS[reason]
  if (range === undefined) return undefined
  const [shortestMs, longestMs] = range
  const randomMs = shortestMs + random.nextFloat() * (longestMs - shortestMs)
  return Math.max(0, Math.min(randomMs, (deadlineAtMs - clock.nowMs()) * MAX_RETRY_AFTER_SHARE))
}

/** Finds the range in which a caller may be served, where that is known. */
function findWaitRangeMs (dependencies: RelayDependencies, context: RelayContext, reason: RefusalReason): readonly [number, number] | undefined {
  if (reason === 'crashesEngines') return computeTrialRangeMs(dependencies, context)
  return CLOSURE_REASONS.has(reason) ? computeOpeningRangeMs(dependencies, context) : undefined
}

/** Computes the range from the time at which a request with the same parts may try again to twice that time; undefined when one may now. */
function computeTrialRangeMs ({ crashes }: RelayDependencies, context: RelayContext): readonly [number, number] | undefined {
  const waitMs = crashes.getTrialWaitMs(context) ?? 0
  return waitMs > 0 ? [waitMs, 2 * waitMs] : undefined
}

/** Computes the range from the time at which a target opens to twice that time; undefined when one is open. */
function computeOpeningRangeMs ({ placer }: RelayDependencies, context: RelayContext): readonly [number, number] | undefined {
  const waitMs = placer.findClosure(context.service, context)?.waitMs
  if (waitMs === undefined) return undefined
  const shortestMs = Number.isFinite(waitMs) ? waitMs : LIMITED_RETRY_AFTER_MS
  return [shortestMs, 2 * shortestMs]
}
