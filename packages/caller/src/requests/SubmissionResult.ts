import { type EndEvent, type Reason } from '@fescuespoke/schema'
import { type AnswerReason, type AnswerResult } from '../answer/AnswerResult.js'

/** Next step after the end of a submission. */
export type NextStep =
  /** The result is final. */
  | 'none'
  /** The request has not run and can be submitted to another owner immediately. */
  | 'changeOwner'
  /** The request has not run because capacity was lacking, and can be submitted again after a delay. */
  | 'retryLater'
  /** The generation is lost before any token was delivered to the application, and can be restarted. */
  | 'restart'

/** Result of one submission of a request. */
export interface SubmissionResult {
  readonly answerResult: AnswerResult
  readonly nextStep: NextStep
  /** Minimum delay before the request is submitted again, in milliseconds. */
  readonly retryAfterMs?: number
}

/** Category of an end event, which determines how the submission proceeds. */
export type EndCategory = 'final' | 'ownerUnreachable' | 'ownerLost' | 'changeOwner' | 'retryLater' | 'generationLost'

/** Categories of the `unknown` reasons that another instance reports in place of the owner. */
const UNKNOWN_CATEGORIES: Partial<Record<Reason, EndCategory>> = {
  ownerUnreachable: 'ownerUnreachable',
  ownerRestarted: 'ownerLost',
  leaseUnknown: 'ownerLost',
  leaseExpired: 'ownerLost'
}

/** Categories of the `failed` reasons after which a generation can be restarted. */
const FAILED_CATEGORIES: Partial<Record<Reason, EndCategory>> = {
  generationLost: 'generationLost',
  targetLost: 'generationLost',
  ownerRestarted: 'generationLost'
}

/**
 * Categories of the `notRun` reasons that are not caused by the request itself, so that another owner may accept it
 * immediately.
 */
const NOT_RUN_CATEGORIES: Partial<Record<Reason, EndCategory>> = {
  draining: 'changeOwner',
  leaseExpired: 'changeOwner',
  leaseUnknown: 'changeOwner',
  ownerRestarted: 'changeOwner',
  ownerUnreachable: 'changeOwner',
  targetLost: 'changeOwner',
  viewStale: 'changeOwner'
}

const END_CATEGORIES: Record<EndEvent['outcome'], Partial<Record<Reason, EndCategory>>> = {
  complete: {},
  cancelled: {},
  notRun: NOT_RUN_CATEGORIES,
  unknown: UNKNOWN_CATEGORIES,
  failed: FAILED_CATEGORIES
}

/** Reasons of `notRun` after which a request can be submitted again if the end event states a retry delay. */
const OVERLOAD_REASONS: ReadonlySet<Reason> = new Set(['queueFull', 'overloaded', 'noTarget'])

/**
 * Returns the category of an end event.
 * @param end - The end event.
 */
export function classifyEndEvent (end: EndEvent): EndCategory {
  const canRetryLater = end.retryAfterMs !== undefined && OVERLOAD_REASONS.has(end.reason)
  if (end.outcome === 'notRun' && canRetryLater) return 'retryLater'
  return END_CATEGORIES[end.outcome][end.reason] ?? 'final'
}

/**
 * Creates the result of a submission that has not run.
 * @param nextStep - Next step after the end of the submission.
 * @param reason - Reason for which it has not run.
 * @param detail - Description for people.
 * @param retryAfterMs - Minimum delay before the request is submitted again, in milliseconds.
 */
export function createNotRunResult (nextStep: NextStep, reason: AnswerReason, detail: string, retryAfterMs?: number): SubmissionResult {
  return { answerResult: { outcome: 'notRun', reason, detail, retryAfterMs }, nextStep, retryAfterMs }
}

/**
 * Creates the final result of a submission that has failed.
 * @param reason - Reason of the failure.
 * @param detail - Description for people.
 */
export function createFailedResult (reason: AnswerReason, detail: string): SubmissionResult {
  return { answerResult: { outcome: 'failed', reason, detail }, nextStep: 'none' }
}
