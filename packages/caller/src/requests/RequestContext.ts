import { type Clock, type Random } from '@fescuespoke/common'
import { type SubmitRequest } from '@fescuespoke/schema'
import { type AddressCache } from '../addresses/AddressCache.js'
import { type AnswerBuffer } from '../answer/AnswerBuffer.js'
import { type InstanceClient } from '../http/InstanceClient.js'
import { type LeaseManager } from '../leases/LeaseManager.js'
import { type RetryBudget } from './RetryBudget.js'

/** Whether a request generates tokens or calls a plain service, which may not be idempotent. */
export type RequestKind = 'generation' | 'call'

/** What all requests of one caller share. */
export interface RequestDependencies {
  readonly client: InstanceClient
  readonly addresses: AddressCache
  readonly leases: LeaseManager
  readonly retryBudget: RetryBudget
  readonly clock: Clock
  readonly random: Random
  /** Submissions of one request, each under another id. */
  readonly maxSubmissions: number
  /** Attempts in a row that bring nothing new before a submission is given up. */
  readonly maxAttempts: number
}

/** One request of the application. */
export interface RequestContext {
  readonly dependencies: RequestDependencies
  readonly kind: RequestKind
  readonly input: SubmitRequest
  readonly buffer: AnswerBuffer
  /** Reading of the clock after which the request is not made again. */
  readonly deadlineAtMs: number
  /** Aborted when the application cancels. */
  readonly cancelSignal: AbortSignal
}
