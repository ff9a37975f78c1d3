import { type Clock, type Random } from '@fescuespoke/common'
import { type Priority } from '@fescuespoke/schema'
import { type DispatcherFactory } from './http/ConnectionPool.js'

/** Options of a caller. */
export interface CallerOptions {
  /** Base URLs of some instances. The first request for addresses goes to one of them. */
  readonly bootstrapUrls: readonly string[]
  /** Workspace that all requests of the caller belong to. */
  readonly workspace: string
  /**
   * Availability zone whose instances are preferred. By default, the ranking returned by the instances is used
   * unchanged.
   */
  readonly availabilityZone?: string
  /** Clock. Defaults to the monotonic clock of the process. */
  readonly clock?: Clock
  /** Source of random numbers for jitter. Defaults to the random number generator of the operating system. */
  readonly random?: Random
  /** Creates the undici dispatchers that send the requests. It is called again after each failed connection. */
  readonly createDispatcher?: DispatcherFactory
  /**
   * Maximum time without received data before a connection is considered dead, in milliseconds. It should cover at
   * least three heartbeats.
   */
  readonly silenceMs?: number
  /**
   * Maximum time to wait for the first byte of a response, in milliseconds. It applies to requests that an instance
   * answers without contacting other instances; an owner confirms a request immediately.
   */
  readonly firstByteMs?: number
  /** Maximum time to wait for a connection, in milliseconds. */
  readonly connectTimeoutMs?: number
  /**
   * Hedging delay for address and lease requests, in milliseconds. If no response has arrived after it, the request is
   * also sent to another instance.
   */
  readonly hedgeMs?: number
  /** Time for which an instance is ranked last after a failure, in milliseconds. */
  readonly avoidMs?: number
  /**
   * Maximum number of submissions of one request. Each submission has a new request id and starts only after the
   * previous one is known not to have run or is lost.
   */
  readonly maxSubmissions?: number
  /** Maximum number of consecutive attempts under one request id that make no progress. */
  readonly maxAttempts?: number
  /**
   * Number of resubmissions that each request adds to the retry budget, for example 0.1 for one resubmission per ten
   * requests.
   */
  readonly retryRatio?: number
  /** Maximum size of the retry budget, as a number of resubmissions. */
  readonly retryBurst?: number
}

/** Options common to generations and calls. */
export interface RequestOptions {
  /** Name of the service. */
  readonly service: string
  readonly priority?: Priority
  /** Deadline in milliseconds from the start of the request. Defaults to the deadline in the record of the service. */
  readonly deadlineMs?: number
}

/** Options of a generation. */
export interface GenerateOptions extends RequestOptions {
  /** Input of the model. */
  readonly prompt: string
  /** Name of a prefix shared by several prompts. */
  readonly prefix?: string
  readonly maxTokens?: number
}

/** Options of a call to a plain service. */
export interface CallOptions extends RequestOptions {
  /** Any JSON value. */
  readonly body: unknown
}
