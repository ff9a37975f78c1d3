import { findAbortReason } from '../requests/abortOutcomes.js'
import { CLOSURE_REFUSALS, refuseRequest } from '../requests/refuseRequest.js'
import { type RefusalReason } from '../requests/RelayRequest.js'
import { type CallRun } from './CallRun.js'
import { forwardWholeAnswer } from './forwardCallAnswer.js'

/**
 * Finishes a call for which no further attempt is possible.
 * @param run - The call.
 */
export async function finishWithoutAttempt (run: CallRun): Promise<void> {
  const { context, dependencies } = run
  const failedAnswer = run.getFailedAnswer()
  if (failedAnswer !== undefined) return await forwardWholeAnswer(run, failedAnswer)
  refuseRequest(dependencies, context, findRefusalReason(run))
}

/**
 * Finishes a call whose caller has left, whose deadline is reached, or whose process stops.
 * @param run - The call.
 */
export function finishAborted (run: CallRun): void {
  if (run.dependencies.clock.nowMs() >= run.context.deadlineAtMs) run.recordDuration()
  const isSent = run.mayHaveRun || [...run.runningAttempts].some(({ attempt }) => attempt.isSent())
  refuseRequest(run.dependencies, run.context, findAbortReason(run.context, isSent))
}

function findRefusalReason ({ mayHaveRun, sentAttempts, context, dependencies }: CallRun): RefusalReason {
  if (mayHaveRun) return 'lost'
  if (sentAttempts > 0) return 'notExecuted'
  const closure = dependencies.placer.findClosure(context.service, context)
  return closure === undefined ? 'noTarget' : CLOSURE_REFUSALS[closure.reason]
}
