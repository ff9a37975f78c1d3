import { type EndEvent, type Reason } from '@fescuespoke/schema'
import { type AnswerResult } from '../answer/AnswerResult.js'

/** What may be done after one submission of a request has ended. */
export type Sequel =
  /** The result is final. */
  | 'none'
  /** The request has not run, and may be made again under a new lease. */
  | 'resubmit'
  /** A generation is lost of which the application has got nothing, and may be started anew. */
  | 'startAnew'

/** How one submission of a request ended. */
export interface SubmissionEnd {
  readonly result: AnswerResult
  readonly sequel: Sequel
  /** Shortest wait before the request is made again, in milliseconds. */
  readonly retryAfterMs?: number
}

/** What an end event says about the owner's part in the request. */
export type EndMeaning = 'final' | 'ownerUnreachable' | 'ownerGone' | 'notRun' | 'generationLost'

/** Reasons of `unknown` that another instance gives in place of the owner. */
const UNKNOWN_MEANINGS: Partial<Record<Reason, EndMeaning>> = {
  ownerUnreachable: 'ownerUnreachable',
  ownerRestarted: 'ownerGone',
  leaseUnknown: 'ownerGone',
  leaseExpired: 'ownerGone'
}

/** Reasons of `failed` after which a generation may be started anew. */
const FAILED_MEANINGS: Partial<Record<Reason, EndMeaning>> = {
  generationLost: 'generationLost',
  targetLost: 'generationLost',
  ownerRestarted: 'generationLost'
}

/** Reasons of `notRun` that do not lie in the request, so that another owner may do better at once. */
const NOT_RUN_MEANINGS: Partial<Record<Reason, EndMeaning>> = {
  draining: 'notRun',
  leaseExpired: 'notRun',
  leaseUnknown: 'notRun',
  ownerRestarted: 'notRun',
  ownerUnreachable: 'notRun',
  targetLost: 'notRun',
  viewStale: 'notRun'
}

const MEANINGS: Record<EndEvent['outcome'], Partial<Record<Reason, EndMeaning>>> = {
  complete: {},
  cancelled: {},
  notRun: NOT_RUN_MEANINGS,
  unknown: UNKNOWN_MEANINGS,
  failed: FAILED_MEANINGS
}

/**
 * Gets what an end event means for the next step. An overloaded owner that names a waiting time invites another try.
 * @param end - The end event.
 */
export function getEndMeaning (end: EndEvent): EndMeaning {
  if (end.outcome === 'notRun' && end.retryAfterMs !== undefined) return 'notRun'
  return MEANINGS[end.outcome][end.reason] ?? 'final'
}
