import { type EndEvent, type Reason } from '@fescuespoke/schema'
import { type AnswerResult } from '../answer/AnswerResult.js'

/** What may be done after one submission of a request has ended. */
export type NextStep =
  /** The result is final. */
  | 'none'
  /** The request has not run, and another owner may take it at once. */
  | 'changeOwner'
  /** The request has not run for want of capacity, and may be made again after a wait. */
  | 'retryLater'
  /** A generation is lost of which the application has got nothing, and may be started anew. */
  | 'restart'

/** How one submission of a request ended. */
export interface SubmissionResult {
  readonly answerResult: AnswerResult
  readonly nextStep: NextStep
  /** Shortest wait before the request is made again, in milliseconds. */
  readonly retryAfterMs?: number
}

/** What an end event says about the owner's part in the request. */
export type EndCategory = 'final' | 'ownerUnreachable' | 'ownerLost' | 'changeOwner' | 'retryLater' | 'generationLost'

/** Reasons of `unknown` that another instance gives in place of the owner. */
const UNKNOWN_CATEGORIES: Partial<Record<Reason, EndCategory>> = {
  ownerUnreachable: 'ownerUnreachable',
  ownerRestarted: 'ownerLost',
  leaseUnknown: 'ownerLost',
  leaseExpired: 'ownerLost'
}

/** Reasons of `failed` after which a generation may be started anew. */
const FAILED_CATEGORIES: Partial<Record<Reason, EndCategory>> = {
  generationLost: 'generationLost',
  targetLost: 'generationLost',
  ownerRestarted: 'generationLost'
}

/** Reasons of `notRun` that do not lie in the request, so that another owner may do better at once. */
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

/** Reasons of `notRun` that invite another try when a waiting time comes with them. */
const OVERLOAD_REASONS: ReadonlySet<Reason> = new Set(['queueFull', 'overloaded', 'noTarget'])

/**
 * Gets what an end event means for the next step.
 * @param end - The end event.
 */
export function classifyEndEvent (end: EndEvent): EndCategory {
  const canRetryLater = end.retryAfterMs !== undefined && OVERLOAD_REASONS.has(end.reason)
  if (end.outcome === 'notRun' && canRetryLater) return 'retryLater'
  return END_CATEGORIES[end.outcome][end.reason] ?? 'final'
}
