import { type RawHeaders } from '../model/RawHeaders.js'
import { type PromptPart } from '../prefixes/PromptPart.js'

/** Sizes of a generation as stated by the caller. */
export interface GenerationSize {
  readonly promptTokens: number
  readonly maxOutputTokens: number
  /** Estimated output, often far off; absent when the caller gave no estimate. */
  readonly expectedOutputTokens?: number
}

/** A request that was received completely. */
export interface RelayRequest {
  /** Id of this request; each attempt of a caller has its own id. */
  readonly id: string
  readonly method: string
  readonly host: string
  /** Path with query, as sent by the caller. */
  readonly path: string
  /** Headers that are forwarded to the target; excludes the headers that the system sets. */
  readonly headers: RawHeaders
  readonly body: Buffer
  readonly key?: string
  /** Time for which the caller waits after `receivedAtMs`, in milliseconds. */
  readonly remainingMs?: number
  /** Clock reading at which the head of the request was received. */
  readonly receivedAtMs: number
  readonly size?: GenerationSize
  /** Ids of the parts of the prompt that other requests may have as well, in order; absent when the caller names none. */
  readonly sharedParts?: readonly string[]
  /** Parts of the prompt in order; the last one belongs to the request or its session. Absent when the caller names none. */
  readonly promptParts?: readonly PromptPart[]
  /** Id of the last event that the caller received, to resume a stream. */
  readonly lastEventId?: string
  /** Id of the request that brought the caller the first event of the stream that it resumes. */
  readonly resumedId?: string
}

/** Reason for which a request was answered without the answer of a target. */
export type RefusalReason =
  'notConfigured' | 'noRoute' | 'unknownKey' | 'notConfirmed' | 'noTarget' | 'unknownOrigin' | 'limited' | 'backoff' | 'evacuated' | 'warming' | 'crashesEngines' | 'overloaded' | 'stopping' | 'timeoutNotRun' | 'timeout' | 'lost' | 'notExecuted'

/** An answer that does not come from a target. */
export interface RelayRefusal {
  readonly status: 401 | 404 | 502 | 503 | 504
  readonly reason: RefusalReason
  /** Delay after which the caller may retry, in milliseconds; absent when the request may have run. */
  readonly retryAfterMs?: number
}
