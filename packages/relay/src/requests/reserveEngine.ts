import { createAdmissionSubject } from '../admission/AdmissionSubject.js'
import { getTargetPace } from '../drain/TargetPace.js'
import { reserveHeldEngine } from '../holds/reserveHeldEngine.js'
import { type AdmissionRequest } from '../placement/AdmissionQueue.js'
import { type RelayTarget } from '../model/RelayTarget.js'
import { estimateHoldTokens, estimateOutputTokens, estimateTokens } from '../placement/estimateTokens.js'
import { type TargetRequirements } from '../placement/RelayPlacer.js'
import { type TargetReservation } from '../placement/TargetReservation.js'
import { type RelayContext } from './RelayContext.js'
import { type RelayDependencies } from './RelayDependencies.js'
import { type StreamRun } from './StreamRun.js'

/** Maximum time to wait for an engine with free capacity, as a share of the route's latency objective and of the remaining time. */
const MAX_WAIT_OBJECTIVE_SHARE = 0.5
const MAX_WAIT_REMAINING_SHARE = 0.25

/**
 * Reserves an engine for the next attempt at a stream, and takes the attempt from the budget if one was sent before.
 * @param dependencies - Components that handle the request.
 * @param context - The request.
 * @param run - Run of the request.
 * @returns The reservation; undefined when there was no engine with capacity in time, or no attempt in the budget.
 */
export async function reserveEngine (dependencies: RelayDependencies, context: RelayContext, run: StreamRun): Promise<TargetReservation | undefined> {
  const { clock, admissionQueue, holds, budget, log } = dependencies
  const { service, request, route } = context
  const remainingMs = context.deadlineAtMs - clock.nowMs()
  const waitedMs = clock.nowMs() - request.receivedAtMs
  const maxWaitMs = Math.min(route.objectiveMs * MAX_WAIT_OBJECTIVE_SHARE, remainingMs * MAX_WAIT_REMAINING_SHARE) - waitedMs
  const admission: AdmissionRequest = {
    ...createAdmissionSubject(context),
    requirements: createRequirements(dependencies, context, run),
    waitStartedAtMs: request.receivedAtMs,
    maxWaitMs,
    mayWait: () => run.hasStarted() || (dependencies.crashes.getTrialWaitMs(context) === undefined && dependencies.drain.canStillSend(context))
  }
  const reservation = holds.isActive(service)
    ? await reserveHeldEngine(dependencies, { requestId: request.id, admission, tokens: Math.max(estimateHoldTokens(request.size), run.getHeldTokens()), objectiveMs: route.objectiveMs })
    : await admissionQueue.waitForTarget(admission)
  const isRepeat = run.sentAttempts > run.unsentAttempts
  if (reservation !== undefined && (!isRepeat || budget.takeAttempt(service.name, 'retry'))) return reservation
  if (run.sentAttempts > 0) log.recordDecision(request.id, 'no engine reserved', { missing: reservation === undefined ? 'capacity' : 'budget', found: reservation?.target.name, maxWaitMs: Math.round(maxWaitMs), excludedCount: run.excludedTargets.size }, 'failure')
  reservation?.release()
  return undefined
}

function createRequirements (dependencies: RelayDependencies, context: RelayContext, run: StreamRun): TargetRequirements {
  const { service, route, request: { size, promptParts }, allowedRegions } = context
  return {
    service,
    origin: run.getOrigin(),
    allowedRegions,
    tokens: estimateTokens(size, 0),
    pendingPrefillTokens: size?.promptTokens ?? 0,
    promptParts,
    outputTokens: size === undefined ? undefined : estimateOutputTokens(size),
    excludedTargets: run.excludedTargets,
    maySelect: target => run.hasStarted() || endsInTimeAt(dependencies, context, target),
    maxGapMs: route.maxGapMs
  }
}

/** Returns whether a stream ends in time at an engine; a stopping instance passes over engines that are too slow. */
function endsInTimeAt ({ drain, speeds }: RelayDependencies, context: RelayContext, target: RelayTarget): boolean {
  return !drain.hasStarted() || drain.canStillSend({ ...context, pace: getTargetPace(speeds, target) })
}
