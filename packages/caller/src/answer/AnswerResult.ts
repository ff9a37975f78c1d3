import { type Reason } from '@fescuespoke/schema'

/** Why a request ended: a reason given by the owner, or one of an HTTP error. */
export type AnswerReason = Reason | 'invalidInput' | 'tooLarge' | 'notFound' | 'conflict' | 'notReady' | 'forbidden' | 'internal'

/** Reply of a plain service. */
export interface Reply {
  readonly status: number
  /** Any JSON value. */
  readonly body?: unknown
}

interface ResultBase {
  readonly reason: AnswerReason
  /** Id of the request for operators, once an owner has accepted it. */
  readonly request?: string
}

/** The whole answer has arrived. */
export interface CompleteResult extends ResultBase {
  readonly outcome: 'complete'
  /** All tokens of a generation; empty for a call. */
  readonly tokens: readonly string[]
  /** Present for a call. */
  readonly reply?: Reply
}

/** The request has not run and cannot run any more; it may be made again. */
export interface NotRunResult extends ResultBase {
  readonly outcome: 'notRun'
  readonly detail: string
  /** When it may be made again, in milliseconds. */
  readonly retryAfterMs?: number
}

/** Nobody can know whether the request ran. */
export interface UnknownResult extends ResultBase {
  readonly outcome: 'unknown'
  readonly detail: string
}

/** The request ran and its answer is lost or incomplete; tokens that were delivered before are to be thrown away. */
export interface FailedResult extends ResultBase {
  readonly outcome: 'failed'
  readonly detail: string
}

/** The request was cancelled; a call may have run in part. */
export interface CancelledResult extends ResultBase {
  readonly outcome: 'cancelled'
  readonly detail: string
}

/** How a request ended. */
export type AnswerResult = CompleteResult | NotRunResult | UnknownResult | FailedResult | CancelledResult
