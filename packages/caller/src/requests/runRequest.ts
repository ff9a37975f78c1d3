import { type SubmitRequest } from '@fescuespoke/schema'
import { type AnswerReason, type AnswerResult } from '../answer/AnswerResult.js'
import { type ExchangeError } from '../http/ExchangeError.js'
import { type RequestSlot } from '../leases/LeaseBook.js'
import { cancelSubmission } from './cancelSubmission.js'
import { computeBackoffMs } from './computeBackoffMs.js'
import { type RequestContext } from './RequestContext.js'
import { Submission } from './Submission.js'
import { type SubmissionEnd } from './SubmissionEnd.js'

const CANCELLED_BEFORE_SENDING: AnswerResult = { outcome: 'cancelled', reason: 'cancelledByCaller', detail: 'nothing was sent' }

/**
 * Runs one request to its result, under a new lease for each submission.
 * @param context - The request.
 */
export async function runRequest (context: RequestContext): Promise<AnswerResult> {
  const { services, cancelSignal } = context
  let replaces: string | undefined
  for (let submissions = 1; ; submissions++) {
    const slot = await services.leases.acquireSlot(context.input.service)
    if (cancelSignal.aborted) return CANCELLED_BEFORE_SENDING
    const end = slot.isOk
      ? await runSubmission(context, slot.value, replaces)
      : refuseWithoutLease(slot.error)
    if (!canSubmitAgain(context, end, submissions)) return end.result
    if (end.sequel === 'startAnew') {
      replaces = context.buffer.getResumeToken() ?? replaces
      context.buffer.restart()
    }
    if (slot.isOk && !isOwnerUsable(end)) services.leases.removeLease(slot.value)
    const waitMs = Math.max(end.retryAfterMs ?? 0, computeBackoffMs(services.random, submissions))
    await services.clock.sleep(waitMs, cancelSignal)
    if (cancelSignal.aborted) return CANCELLED_BEFORE_SENDING
  }
}

async function runSubmission (context: RequestContext, slot: RequestSlot, replaces?: string): Promise<SubmissionEnd> {
  const input: SubmitRequest = replaces === undefined ? context.input : { ...context.input, replaces }
  const submission = Submission.create({ context, slot, input })
  const end = await submission.run()
  if (end !== 'cancelled') return end
  if (!submission.hasLeft()) return { result: CANCELLED_BEFORE_SENDING, sequel: 'none' }
  const cancelled = await cancelSubmission(context, slot)
  if (cancelled !== undefined) return { result: cancelled, sequel: 'none' }
  return await readCompleteAnswer(context, slot, input)
}

/** Reads an answer that was complete before its cancellation arrived. */
async function readCompleteAnswer (context: RequestContext, slot: RequestSlot, input: SubmitRequest): Promise<SubmissionEnd> {
  const neverCancelled = { ...context, cancelSignal: new AbortController().signal }
  const end = await Submission.create({ context: neverCancelled, slot, input }).run()
  if (end === 'cancelled') throw new Error('a submission without a signal was cancelled')
  return { ...end, sequel: 'none' }
}

function canSubmitAgain (context: RequestContext, end: SubmissionEnd, submissions: number): boolean {
  const { services, deadlineAtMs, cancelSignal } = context
  if (end.sequel === 'none' || cancelSignal.aborted) return false
  if (submissions >= services.maxSubmissions) return false
  if (services.clock.nowMs() + (end.retryAfterMs ?? 0) >= deadlineAtMs) return false
  return end.sequel === 'moveOn' || services.budget.takeRetry()
}

/** Reasons that lie with a target, after which the owner still takes requests. */
const TARGET_REASONS: ReadonlySet<AnswerReason> = new Set(['targetLost', 'generationLost', 'viewStale'])

function isOwnerUsable (end: SubmissionEnd): boolean {
  return end.sequel === 'tryLater' || TARGET_REASONS.has(end.result.reason)
}

const LEASE_REASONS: Record<ExchangeError['kind'], AnswerReason> = {
  notSent: 'ownerUnreachable',
  cut: 'ownerUnreachable',
  aborted: 'ownerUnreachable',
  refused: 'internal'
}

function refuseWithoutLease (error: ExchangeError): SubmissionEnd {
  const reason = error.kind === 'refused' ? error.error : LEASE_REASONS[error.kind]
  const isFinal = reason === 'invalidInput' || reason === 'forbidden' || reason === 'notFound'
  const result: AnswerResult = { outcome: 'notRun', reason, detail: `no lease was granted: ${error.detail}` }
  return { result, sequel: isFinal ? 'none' : 'moveOn' }
}
