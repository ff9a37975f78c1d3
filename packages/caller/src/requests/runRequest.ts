import { type SubmitRequest } from '@fescuespoke/schema'
import { type AnswerReason, type AnswerResult } from '../answer/AnswerResult.js'
import { type ExchangeError } from '../http/ExchangeError.js'
import { type RequestId } from '../leases/LeaseManager.js'
import { cancelSubmission } from './cancelSubmission.js'
import { computeBackoffMs } from './computeBackoffMs.js'
import { type RequestContext } from './RequestContext.js'
import { Submission } from './Submission.js'
import { type SubmissionResult } from './SubmissionResult.js'

const CANCELLED_BEFORE_SENDING: AnswerResult = { outcome: 'cancelled', reason: 'cancelledByCaller', detail: 'the request was not sent' }

/**
 * Runs a request until it has a result. Each submission has a new request id.
 * @param context - Context of the request.
 */
export async function runRequest (context: RequestContext): Promise<AnswerResult> {
  const { dependencies, cancelSignal } = context
  let replaces: string | undefined
  for (let submissionCount = 1; ; submissionCount++) {
    const requestId = await dependencies.leases.allocateRequestId(context.input.service)
    if (cancelSignal.aborted) return CANCELLED_BEFORE_SENDING
    const submissionResult = requestId.isOk
      ? await runSubmission(context, requestId.value, replaces)
      : createLeaseFailureResult(requestId.error)
    if (!canSubmitAgain(context, submissionResult, submissionCount)) return submissionResult.answerResult
    if (submissionResult.nextStep === 'restart') {
      replaces = context.buffer.getResumeToken() ?? replaces
      context.buffer.discardGeneration()
    }
    if (requestId.isOk && !isOwnerUsable(submissionResult)) dependencies.leases.removeLease(requestId.value)
    const waitMs = Math.max(submissionResult.retryAfterMs ?? 0, computeBackoffMs(dependencies.random, submissionCount))
    await dependencies.clock.sleep(waitMs, cancelSignal)
    if (cancelSignal.aborted) return CANCELLED_BEFORE_SENDING
  }
}

async function runSubmission (context: RequestContext, requestId: RequestId, replaces?: string): Promise<SubmissionResult> {
  const input: SubmitRequest = replaces === undefined ? context.input : { ...context.input, replaces }
  const submission = Submission.create({ context, requestId, input })
  const submissionResult = await submission.run()
  if (submissionResult !== 'cancelled') return submissionResult
  if (!submission.mayHaveReachedInstance()) return { answerResult: CANCELLED_BEFORE_SENDING, nextStep: 'none' }
  const cancelResult = await cancelSubmission(context, requestId)
  if (cancelResult !== undefined) return { answerResult: cancelResult, nextStep: 'none' }
  return await readCompleteAnswer(context, requestId, input)
}

/** Reads the answer of a request that was complete before its cancellation arrived. */
async function readCompleteAnswer (context: RequestContext, requestId: RequestId, input: SubmitRequest): Promise<SubmissionResult> {
  const uncancellableContext = { ...context, cancelSignal: new AbortController().signal }
  const submissionResult = await Submission.create({ context: uncancellableContext, requestId, input }).run()
  if (submissionResult === 'cancelled') throw new Error('a submission that cannot be cancelled was cancelled')
  return { ...submissionResult, nextStep: 'none' }
}

function canSubmitAgain (context: RequestContext, submissionResult: SubmissionResult, submissionCount: number): boolean {
  const { dependencies, deadlineAtMs, cancelSignal } = context
  if (submissionResult.nextStep === 'none' || cancelSignal.aborted) return false
  if (submissionCount >= dependencies.maxSubmissions) return false
  if (dependencies.clock.nowMs() + (submissionResult.retryAfterMs ?? 0) >= deadlineAtMs) return false
  return submissionResult.nextStep === 'changeOwner' || dependencies.retryBudget.tryConsumeRetry()
}

/** Reasons caused by a target. The owner still accepts requests after them. */
const TARGET_FAILURE_REASONS: ReadonlySet<AnswerReason> = new Set(['targetLost', 'generationLost', 'viewStale'])

function isOwnerUsable (submissionResult: SubmissionResult): boolean {
  return submissionResult.nextStep === 'retryLater' || TARGET_FAILURE_REASONS.has(submissionResult.answerResult.reason)
}

const LEASE_ERROR_REASONS: Record<ExchangeError['kind'], AnswerReason> = {
  notSent: 'ownerUnreachable',
  interrupted: 'ownerUnreachable',
  aborted: 'ownerUnreachable',
  httpError: 'internal'
}

function createLeaseFailureResult (error: ExchangeError): SubmissionResult {
  const reason = error.kind === 'httpError' ? error.error : LEASE_ERROR_REASONS[error.kind]
  const isFinal = reason === 'invalidInput' || reason === 'forbidden' || reason === 'notFound'
  const answerResult: AnswerResult = { outcome: 'notRun', reason, detail: `no lease was granted: ${error.detail}` }
  return { answerResult, nextStep: isFinal ? 'none' : 'changeOwner' }
}
