import { AccountedBuffer, BUFFER_BUDGET_CAUSE } from '@fescuespoke/common'
import { type TargetReservation } from '../placement/TargetReservation.js'
import { sendToTarget } from '../requests/sendToTarget.js'
import { type Attempt } from '../targets/RelayTargetClient.js'
import { readCallAnswer } from './CallAnswer.js'
import { type CallAttempt } from './CallAttempt.js'
import { type CallRun } from './CallRun.js'

/**
 * Starts an attempt of a call at another target.
 * @param run - The call.
 * @returns False when there is no target, when no repeat is allowed or would end in time, or when the budget is used up.
 */
export function startCallAttempt (run: CallRun): boolean {
  if (run.sentAttempts > 0 && !mayRepeat(run)) return false
  const reservation = reserveTarget(run)
  if (reservation === undefined) return false
  sendCallAttempt(run, reservation)
  return true
}

/**
 * Starts an attempt of a call beside those in progress, if the call allows it.
 * @param run - The call.
 */
export function startHedge (run: CallRun): void {
  const isStarted = run.canHedge() && startCallAttempt(run)
  if (isStarted) run.dependencies.metrics.countRepeat(run.context.service.name, 'slow')
}

/** Returns whether the call may be sent to a further target now. */
function mayRepeat (run: CallRun): boolean {
  const mayRunTwice = run.runningAttempts.size > 0 || run.executedAttempts > 0
  return run.canRepeat() && run.dependencies.drain.maySend(run.context) && (!mayRunTwice || run.watch.mayRepeat())
}

/** Reserves another target, and takes the attempt from the budget if a target was reached before. */
function reserveTarget (run: CallRun): TargetReservation | undefined {
  const { context: { service, allowedRegions }, dependencies: { placer, budget } } = run
  const reservation = placer.reserveBestTarget({ service, allowedRegions, tokens: 0, excludedTargets: run.excludedTargets })
  if (reservation === undefined || run.sentAttempts === run.unsentAttempts || budget.takeAttempt(service.name, 'retry')) return reservation
  reservation.release()
  return undefined
}

function sendCallAttempt (run: CallRun, reservation: TargetReservation): void {
  const { context, dependencies } = run
  const abortController = new AbortController()
  run.excludedTargets.add(reservation.target.name)
  if (run.sentAttempts === 0) dependencies.budget.recordRequest(context.service.name)
  run.recordSent()
  const sentAtMs = dependencies.clock.nowMs()
  const recordAnswer = dependencies.speeds.startCall(reservation.target)
  const attempt = sendRequest(run, reservation, abortController.signal)
  recordSent(run, reservation)
  const buffer = createAnswerBuffer(run, reservation, attempt)
  const answered = readCallAnswer(attempt, buffer).then(answer => ({ callAttempt, answer }))
  const callAttempt: CallAttempt = { reservation, attempt, abortController, buffer, sentAtMs, answered, recordAnswer }
  run.runningAttempts.add(callAttempt)
}

/** Creates the buffer of an answer; the attempt is lost if too many bytes are in it. */
function createAnswerBuffer ({ context, dependencies }: CallRun, { target }: TargetReservation, attempt: Attempt): AccountedBuffer {
  return AccountedBuffer.create({
    bufferBudget: dependencies.bufferBudget,
    owner: { kind: 'targetAnswer', request: context.request.id, peer: target.name },
    handleDrop: () => attempt.markLost(BUFFER_BUDGET_CAUSE)
  })
}

function sendRequest ({ context, dependencies, sentAttempts }: CallRun, reservation: TargetReservation, signal: AbortSignal): Attempt {
  return sendToTarget(dependencies, reservation, {
    request: context.request,
    workspace: context.workspace,
    remainingMs: context.deadlineAtMs - dependencies.clock.nowMs(),
    needsFreshConnection: sentAttempts > 1 && context.route.kind === 'once',
    signal
  })
}

function recordSent ({ context, dependencies, sentAttempts }: CallRun, { target, score }: TargetReservation): void {
  dependencies.log.recordDecision(context.request.id, 'sent', {
    route: context.route.name, target: target.name, softwareVersion: target.softwareVersion, score, speed: dependencies.speeds.getSpeed(target), attempt: sentAttempts, version: context.configuration.version, viewAgeMs: dependencies.getViewAgeMs()
  })
}
