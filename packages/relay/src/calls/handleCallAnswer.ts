import { type LineKind } from '../logs/LineQuota.js'
import { MIN_NON_SUCCESS_STATUS } from '../targets/RelayTargetClient.js'
import { type AttemptOutcome } from '../targets/TargetHealth.js'
import { type CallAnswer } from './CallAnswer.js'
import { type AnsweredAttempt, type CallAttempt } from './CallAttempt.js'
import { type CallRun } from './CallRun.js'
import { type CallAnswerClass, classifyCallAnswer } from './classifyCallAnswer.js'
import { forwardCallAnswer } from './forwardCallAnswer.js'
import { startCallAttempt } from './startCallAttempt.js'

/** What an answer says about the health of its target. */
const ATTEMPT_OUTCOMES: Record<CallAnswerClass, AttemptOutcome> = {
  good: 'success', failed: 'failure', notSent: 'unreachable', notExecuted: 'success', notHere: 'unreachable', lost: 'failure', aborted: 'success'
}

/** Kinds of the lines about answers; a call whose attempt did not run may still be served. */
const LINE_KINDS: Record<CallAnswerClass, LineKind> = {
  good: 'ordinary', failed: 'failure', notSent: 'ordinary', notExecuted: 'ordinary', notHere: 'ordinary', lost: 'failure', aborted: 'ordinary'
}

/** Handles the answer of an attempt; returns whether the caller has its final answer. */
type AnswerHandler = (run: CallRun, answered: AnsweredAttempt) => boolean | Promise<boolean>

const ANSWER_HANDLERS: Record<CallAnswerClass, AnswerHandler> = {
  good: async (run, answered) => await deliverAnswer(run, answered),
  failed: async (run, answered) => {
    const { answer } = answered
    run.executedAttempts++
    if (answer.kind === 'answer') run.keepFailedAnswer(answer)
    // An attempt is started before this answer is given up.
    if (run.runningAttempts.size > 0 || startCallAttempt(run)) return false
    return await deliverAnswer(run, answered)
  },
  notSent: run => {
    run.unsentAttempts++
    return false
  },
  notExecuted: () => false,
  notHere: () => false,
  lost: run => handleLostAttempt(run),
  aborted: run => handleLostAttempt(run)
}

/**
 * Handles the answer of an attempt, and ends the attempt.
 * @param run - The call.
 * @param answered - The attempt and its answer.
 * @returns Whether the caller has its final answer.
 */
export async function handleCallAnswer (run: CallRun, answered: AnsweredAttempt): Promise<boolean> {
  const { callAttempt, answer } = answered
  const { context, dependencies } = run
  const answerClass = classifyCallAnswer(answer)
  run.runningAttempts.delete(callAttempt)
  if (answerClass === 'good' && isWholeSuccess(answer) && context.service.engine === undefined) callAttempt.recordAnswer()
  watchAnswer(run, answered, answerClass)
  dependencies.health.recordOutcome(callAttempt.reservation.target.name, ATTEMPT_OUTCOMES[answerClass])
  dependencies.log.recordDecision(context.request.id, 'attempt ended', describeAnswer(run, callAttempt, answer, answerClass), LINE_KINDS[answerClass])
  try {
    return await ANSWER_HANDLERS[answerClass](run, answered)
  } finally {
    run.closeAttempt(callAttempt)
  }
}

/** Records what an answer tells of whether the call crashes its targets. */
function watchAnswer ({ watch }: CallRun, { callAttempt: { attempt, reservation, sentAtMs }, answer }: AnsweredAttempt, answerClass: CallAnswerClass): void {
  if (answerClass === 'good' && answer.kind === 'answer' && answer.isComplete) watch.recordAnswer(sentAtMs)
  else if (attempt.isBrokenOff()) watch.recordLoss(reservation.target, false)
}

/** Returns whether the time of an answer tells the speed of its target; refusals are quick, and large answers depend on links. */
function isWholeSuccess (answer: CallAnswer): boolean {
  return answer.kind === 'answer' && answer.isComplete && answer.head.status < MIN_NON_SUCCESS_STATUS
}

async function deliverAnswer (run: CallRun, { callAttempt, answer }: AnsweredAttempt): Promise<boolean> {
  if (answer.kind === 'error') return false
  await forwardCallAnswer(run, callAttempt, answer)
  return true
}

function handleLostAttempt (run: CallRun): boolean {
  run.recordLostAttempt()
  return false
}

function describeAnswer ({ watch }: CallRun, { reservation, attempt }: CallAttempt, answer: CallAnswer, answerClass: CallAnswerClass): Record<string, unknown> {
  const fingerprint = attempt.isBrokenOff() ? watch.getFingerprint() : undefined
  return { target: reservation.target.name, outcome: answerClass, status: answer.kind === 'answer' ? answer.head.status : undefined, cause: attempt.getCause(), fingerprint }
}
