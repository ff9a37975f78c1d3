import { type LogFields } from '../logs/DecisionLog.js'
import { type TargetReservation } from '../placement/TargetReservation.js'
import { recordPrefixUse } from '../prefixes/recordPrefixUse.js'
import { type Attempt, type Continuation } from '../targets/RelayTargetClient.js'
import { type AttemptOutcome } from '../targets/TargetHealth.js'
import { PeekedAttempt } from './PeekedAttempt.js'
import { type RelayContext } from './RelayContext.js'
import { type RelayDependencies } from './RelayDependencies.js'
import { sendToTarget } from './sendToTarget.js'
import { type StreamAttempt, type StreamEnd } from './StreamAttempt.js'
import { type StreamRun } from './StreamRun.js'

/** Options of a new attempt. */
export interface StreamAttemptOptions {
  readonly reservation: TargetReservation
  /** Memory copy with which the run continues; absent when there is none. */
  readonly continuation?: Continuation
}

/** Lowest urgency that engines accept. */
const LOWEST_URGENCY = 9

/** Urgency of all generations where engines reserve capacity; the queue of this instance orders them, and no engine preempts one for another. */
const HELD_URGENCY = 5

/** Ends of attempts that the engine did not run. */
const NOT_RUN_ENDS: ReadonlySet<StreamEnd> = new Set(['notExecuted', 'notSent', 'notHere'])

const ATTEMPT_OUTCOMES: Record<StreamEnd, AttemptOutcome> = {
  complete: 'success', aborted: 'success', notExecuted: 'success', notSent: 'unreachable', notHere: 'unreachable', lost: 'failure'
}

/**
 * Sends a stream to a reserved target.
 * @param dependencies - Components that handle the request.
 * @param context - The request.
 * @param run - Run of the request.
 * @param options - The reservation, and the copy with which the run continues.
 */
export function startStreamAttempt (dependencies: RelayDependencies, context: RelayContext, run: StreamRun, { reservation, continuation }: StreamAttemptOptions): StreamAttempt {
  const { request, signal } = context
  const abortController = new AbortController()
  const forwardAbort = (): void => abortController.abort()
  signal.addEventListener('abort', forwardAbort)
  if (run.sentAttempts === 0) dependencies.budget.recordRequest(context.service.name)
  if (continuation === undefined) run.excludedTargets.add(reservation.target.name)
  run.sentAttempts++
  if (continuation !== undefined) run.continuedAttempts++
  const attempt = PeekedAttempt.create(sendStream(dependencies, context, run, { reservation, continuation }, abortController.signal))
  run.sentTargets.add(reservation.target.name)
  const endPrefixUse = recordPrefixUse(dependencies.prefixes, { target: reservation.target, request, attempt, isContinuation: continuation !== undefined })
  recordSent(dependencies, context, run, { reservation, continuation })
  const close = (): void => {
    endPrefixUse()
    signal.removeEventListener('abort', forwardAbort)
    abortController.abort()
    reservation.release()
  }
  return { reservation, attempt, abortController, sentAtMs: dependencies.clock.nowMs(), isContinuation: continuation !== undefined, afterEvent: run.getLastEventId(), close }
}

/**
 * Records the end of an attempt: what it tells about its target, and whether it may have run.
 * @param dependencies - Components that handle the request.
 * @param context - The request.
 * @param run - Run of the request.
 * @param streamAttempt - The attempt.
 * @param end - Its result.
 */
export function recordAttemptEnd (dependencies: RelayDependencies, { request }: RelayContext, run: StreamRun, { attempt, reservation }: StreamAttempt, end: StreamEnd): void {
  if (attempt.isSent() && !NOT_RUN_ENDS.has(end)) recordRun(dependencies, reservation)
  if (end === 'notSent') run.unsentAttempts++
  if (end === 'lost' && attempt.isBrokenOff()) run.runTargets.recordBrokenConnection(reservation.target)
  run.watch.endRun(reservation.target, end, attempt.isBrokenOff())
  dependencies.health.recordOutcome(reservation.target.name, run.isContinuing() ? 'success' : ATTEMPT_OUTCOMES[end])
  dependencies.log.recordDecision(request.id, 'attempt ended', { target: reservation.target.name, outcome: end, afterEvent: run.getLastEventId(), sharedParts: request.sharedParts, cause: attempt.getCause() }, end === 'lost' ? 'failure' : 'ordinary')
}

function sendStream (dependencies: RelayDependencies, context: RelayContext, run: StreamRun, { reservation, continuation }: StreamAttemptOptions, signal: AbortSignal): Attempt {
  const { request, priority, service, workspace, deadlineAtMs } = context
  const hold = reservation.getHold()
  return sendToTarget(dependencies, reservation, {
    request,
    workspace,
    remainingMs: deadlineAtMs - dependencies.clock.nowMs(),
    // A copy of an earlier answer to this request would be taken for the answer to this attempt.
    needsFreshConnection: run.sentTargets.has(reservation.target.name),
    urgency: hold !== undefined || dependencies.holds.isActive(service) ? HELD_URGENCY : Math.min(LOWEST_URGENCY, priority),
    lastEventId: run.getLastEventId(),
    continuation,
    hold: hold?.id,
    signal
  })
}

function recordSent (dependencies: RelayDependencies, context: RelayContext, run: StreamRun, { reservation, continuation }: StreamAttemptOptions): void {
  const { request, route, configuration } = context
  const { target, score, heldPrefixTokens } = reservation
  dependencies.log.recordDecision(request.id, 'sent', {
    route: route.name, target: target.name, softwareVersion: target.softwareVersion, score, ...describeSpeed(dependencies, context, reservation), hold: reservation.getHold()?.id, attempt: run.sentAttempts, waitedMs: Math.round(dependencies.clock.nowMs() - request.receivedAtMs), continues: continuation?.handle, afterEvent: run.getLastEventId(), resumes: request.resumedId, sharedParts: request.sharedParts, heldPrefixTokens, version: configuration.version, viewAgeMs: dependencies.getViewAgeMs()
  })
}

/** Returns log fields about the speed of an engine and the expected duration there. */
function describeSpeed ({ speeds, generationTimes }: RelayDependencies, { service, request }: RelayContext, { target }: TargetReservation): LogFields {
  const speed = speeds.getSpeed(target)
  return { speed, expectedMs: Math.round(generationTimes.estimateDurationMs(service.name, request.size, speed)) }
}

/** Records that a generation used its reservation at the engine, which has capacity again after it. */
function recordRun ({ holds }: RelayDependencies, reservation: TargetReservation): void {
  reservation.getHold()?.recordUse()
  holds.recordEnd(reservation.target)
}
