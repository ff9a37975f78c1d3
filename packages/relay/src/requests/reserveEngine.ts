import { createAdmissionSubject } from '../admission/AdmissionSubject.js'
import { type AttemptPurpose } from '../budget/AttemptBudget.js'
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

/** Interval at which a started stream checks the retry budget while it has no attempt left, in milliseconds. */
const BUDGET_CHECK_INTERVAL_MS = 50

/** An engine that is reserved for an attempt. */
export interface ReservedEngine {
  readonly reservation: TargetReservation
  /** Whether the attempt was taken from the retry budget. */
  readonly isFromBudget: boolean
}

/**
 * Reserves an engine for the next attempt at a stream, and takes the attempt from the budget if one was sent before. A stream that has
 * started goes before others, and waits for an engine and an attempt as long as its time allows.
 * @param dependencies - Components that handle the request.
 * @param context - The request.
 * @param run - Run of the request.
 * @param isNeeded - Returns whether the engine is still needed; by default it is.
 * @returns The reservation; undefined when there was no engine with capacity in time, or no attempt in the budget.
 */
export async function reserveEngine (dependencies: RelayDependencies, context: RelayContext, run: StreamRun, isNeeded: () => boolean = () => true): Promise<ReservedEngine | undefined> {
  const mayWait = (): boolean => isNeeded() && !context.signal.aborted && !run.isClosed()
  let reservation: TargetReservation | undefined
  do {
    if (run.hasStarted()) await waitForBudget(dependencies, context, run, mayWait)
    const maxWaitMs = computeMaxWaitMs(dependencies, context, run)
    reservation = await waitForEngine(dependencies, context, run, { maxWaitMs, mayWait })
    const isFromBudget = isRepeat(run)
    if (reservation !== undefined && (!isFromBudget || dependencies.budget.takeAttempt(context.service.name, getPurpose(run)))) return { reservation, isFromBudget }
    recordFailure(dependencies, context, run, { reservation, maxWaitMs })
    reservation?.release()
  } while (reservation !== undefined && run.hasStarted() && mayWait())
  return undefined
}

/** Returns whether the next attempt is one beyond the first that was sent. */
function isRepeat ({ sentAttempts, unsentAttempts }: StreamRun): boolean {
  return sentAttempts > unsentAttempts
}

function getPurpose (run: StreamRun): AttemptPurpose {
  return run.hasStarted() ? 'resume' : 'retry'
}

async function waitForBudget ({ clock, budget }: RelayDependencies, { service, signal }: RelayContext, run: StreamRun, mayWait: () => boolean): Promise<void> {
  while (mayWait() && isRepeat(run) && !budget.hasAttempt(service.name, getPurpose(run))) await clock.sleep(BUDGET_CHECK_INTERVAL_MS, signal)
}

function computeMaxWaitMs ({ clock }: RelayDependencies, { deadlineAtMs, request, route }: RelayContext, run: StreamRun): number {
  const remainingMs = deadlineAtMs - clock.nowMs()
  if (run.hasStarted()) return remainingMs
  const waitedMs = clock.nowMs() - request.receivedAtMs
  return Math.min(route.objectiveMs * MAX_WAIT_OBJECTIVE_SHARE, remainingMs * MAX_WAIT_REMAINING_SHARE) - waitedMs
}

/** How long a stream may wait for an engine. */
interface EngineWait {
  readonly maxWaitMs: number
  readonly mayWait: () => boolean
}

async function waitForEngine (dependencies: RelayDependencies, context: RelayContext, run: StreamRun, { maxWaitMs, mayWait }: EngineWait): Promise<TargetReservation | undefined> {
  const { admissionQueue, crashes, drain, holds } = dependencies
  const { service, request, route: { objectiveMs } } = context
  const canBegin = (): boolean => crashes.getTrialWaitMs(context) === undefined && drain.canStillSend(context)
  const admission: AdmissionRequest = {
    ...createAdmissionSubject(context),
    requirements: createRequirements(dependencies, context, run),
    waitStartedAtMs: request.receivedAtMs,
    maxWaitMs,
    mayWait: () => mayWait() && (run.hasStarted() || canBegin()),
    hasStarted: run.hasStarted()
  }
  if (!holds.isActive(service)) return await admissionQueue.waitForTarget(admission)
  return await reserveHeldEngine(dependencies, { requestId: request.id, admission, tokens: Math.max(estimateHoldTokens(request.size), run.getHeldTokens()), objectiveMs })
}

/** Why there is no engine for a stream that was sent before: none in time, or one without an attempt in the budget. */
interface EngineFailure {
  readonly reservation: TargetReservation | undefined
  readonly maxWaitMs: number
}

function recordFailure ({ log }: RelayDependencies, { request }: RelayContext, run: StreamRun, { reservation, maxWaitMs }: EngineFailure): void {
  if (run.sentAttempts === 0) return
  log.recordDecision(request.id, 'no engine reserved', { missing: reservation === undefined ? 'capacity' : 'budget', found: reservation?.target.name, maxWaitMs: Math.round(maxWaitMs), excludedCount: run.excludedTargets.size }, 'failure')
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
    maySelect: target => run.hasStarted() ? run.refusedTargets.mayAsk(target.name) : endsInTimeAt(dependencies, context, target),
    maxGapMs: route.maxGapMs
  }
}

/** Returns whether a stream ends in time at an engine; a stopping instance passes over engines that are too slow. */
function endsInTimeAt ({ drain, speeds }: RelayDependencies, context: RelayContext, target: RelayTarget): boolean {
  return !drain.hasStarted() || drain.canStillSend({ ...context, pace: getTargetPace(speeds, target) })
}
