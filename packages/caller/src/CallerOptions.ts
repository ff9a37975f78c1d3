import { type Clock, type Random } from '@fescuespoke/common'
import { type Priority } from '@fescuespoke/schema'
import { type DispatcherFactory } from './http/ConnectionPool.js'

/** Options of a caller. */
export interface CallerOptions {
  /** Base URLs of some instances, asked first for the addresses to use. */
  readonly bootstrapUrls: readonly string[]
  /** Workspace that the requests belong to. */
  readonly workspace: string
  /** Availability zone whose instances go first; by default the instances' own ranking holds. */
  readonly availabilityZone?: string
  /** Clock; by default the monotonic clock of the process. */
  readonly clock?: Clock
  /** Random numbers for jitter; by default those of the operating system. */
  readonly random?: Random
  /** Makes the dispatchers of undici that requests go through; a new one after each failed connection. */
  readonly createDispatcher?: DispatcherFactory
  /** Silence after which a connection is given up, in milliseconds; three heartbeats or more. */
  readonly silenceMs?: number
  /** Longest wait for the first byte of an instance's answer, in milliseconds; owners confirm a request at once. */
  readonly firstByteMs?: number
  /** Longest wait for a connection in milliseconds. */
  readonly connectTimeoutMs?: number
  /** Time without an answer after which another instance is asked for addresses or a lease as well, in milliseconds. */
  readonly hedgeMs?: number
  /** How long an instance that failed is ranked last, in milliseconds. */
  readonly avoidMs?: number
  /** Submissions of one request, each under a new id and only after the one before has certainly not run or is lost. */
  readonly maxSubmissions?: number
  /** Attempts in a row under one id that bring nothing new. */
  readonly maxAttempts?: number
  /** Further submissions allowed for each request, as a share of requests. */
  readonly retryRatio?: number
  /** Further submissions allowed at once. */
  readonly retryBurst?: number
}

/** Options that requests of both kinds have. */
export interface RequestOptions {
  /** Name of the service. */
  readonly service: string
  readonly priority?: Priority
  /** Time until the answer is of no more use, in milliseconds; by default that of the service's record. */
  readonly deadlineMs?: number
}

/** Options of a generation. */
export interface GenerateOptions extends RequestOptions {
  /** Input of the model. */
  readonly prompt: string
  /** Name of the prompt prefix that several prompts share. */
  readonly prefix?: string
  readonly maxTokens?: number
}

/** Options of a call to a plain service. */
export interface CallOptions extends RequestOptions {
  /** Any JSON value. */
  readonly body: unknown
}
