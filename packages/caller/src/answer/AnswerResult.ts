import { type Reason } from '@fescuespoke/schema'

/** Reason for the end of a request, taken from an end event or from an HTTP error. */
export type AnswerReason = Reason | 'invalidInput' | 'tooLarge' | 'notFound' | 'conflict' | 'notReady' | 'forbidden' | 'internal'

/** Reply of a plain service. */
export interface Reply {
  readonly status: number
  /** Any JSON value. */
  readonly body?: unknown
}

interface ResultBase {
  readonly reason: AnswerReason
  /** Id under which operators find the request. Undefined if no owner has accepted the request. */
  readonly request?: string
}

/** The complete answer has arrived. */
export interface CompleteResult extends ResultBase {
  readonly outcome: 'complete'
  /** All tokens of a generation. Empty for a call. */
  readonly tokens: readonly string[]
  /** Reply of the service. Present only for a call. */
  readonly reply?: Reply
}

/** The request has not run and will not run. It is safe to repeat it as a new request. */
export interface NotRunResult extends ResultBase {
  readonly outcome: 'notRun'
  readonly detail: string
  /** Minimum time to wait before repeating the request, in milliseconds. */
  readonly retryAfterMs?: number
}

/** It cannot be determined whether the request ran. */
export interface UnknownResult extends ResultBase {
  readonly outcome: 'unknown'
  readonly detail: string
}

/** The request ran, but its answer is lost or incomplete. Discard the tokens that have already been delivered. */
export interface FailedResult extends ResultBase {
  readonly outcome: 'failed'
  readonly detail: string
}

/** The request was cancelled. A call may have run partially. */
export interface CancelledResult extends ResultBase {
  readonly outcome: 'cancelled'
  readonly detail: string
}

/** Result of a request. */
export type AnswerResult = CompleteResult | NotRunResult | UnknownResult | FailedResult | CancelledResult
