import { type EndEvent, type Reason } from '@fescuespoke/schema'
import { type AnswerResult } from '../answer/AnswerResult.js'

/** What may be done after one submission of a request has ended. */
export type Sequel =
  /** The result is final. */
  | 'none'
  /** The request has not run, and another owner may take it at once. */
  | 'moveOn'
  /** The request has not run for want of capacity, and may be made again after a wait. */
  | 'tryLater'
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
export type EndMeaning = 'final' | 'ownerUnreachable' | 'ownerGone' | 'moveOn' | 'tryLater' | 'generationLost'

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
  draining: 'moveOn',
  leaseExpired: 'moveOn',
  leaseUnknown: 'moveOn',
  ownerRestarted: 'moveOn',
  ownerUnreachable: 'moveOn',
  targetLost: 'moveOn',
  viewStale: 'moveOn'
}

const MEANINGS: Record<EndEvent['outcome'], Partial<Record<Reason, EndMeaning>>> = {
  complete: {},
  cancelled: {},
  notRun: NOT_RUN_MEANINGS,
  unknown: UNKNOWN_MEANINGS,
  failed: FAILED_MEANINGS
}

/** Reasons of `notRun` that invite another try when a waiting time comes with them. */
const LOAD_REASONS: ReadonlySet<Reason> = new Set(['queueFull', 'overloaded', 'noTarget'])

/**
 * Gets what an end event means for the next step.
 * @param end - The end event.
 */
export function getEndMeaning (end: EndEvent): EndMeaning {
  const isInvited = end.retryAfterMs !== undefined && LOAD_REASONS.has(end.reason)
  if (end.outcome === 'notRun' && isInvited) return 'tryLater'
  return MEANINGS[end.outcome][end.reason] ?? 'final'
}
