import { type Clock, type Random } from '@fescuespoke/common'
import { type SubmitRequest } from '@fescuespoke/schema'
import { type AddressCache } from '../addresses/AddressCache.js'
import { type AnswerBuffer } from '../answer/AnswerBuffer.js'
import { type InstanceClient } from '../http/InstanceClient.js'
import { type LeaseManager } from '../leases/LeaseManager.js'
import { type RetryBudget } from './RetryBudget.js'

/** Kind of a request: a generation of tokens or a call of a plain service. A call is not necessarily idempotent. */
export type RequestKind = 'generation' | 'call'

/** Dependencies and limits shared by all requests of a caller. */
export interface RequestDependencies {
  readonly client: InstanceClient
  readonly addresses: AddressCache
  readonly leases: LeaseManager
  readonly retryBudget: RetryBudget
  readonly clock: Clock
  readonly random: Random
  /** Maximum number of submissions of one request, each with its own request id. */
  readonly maxSubmissions: number
  /** Maximum number of consecutive attempts without progress in one submission. */
  readonly maxAttempts: number
}

/** Context of one request of the application. */
export interface RequestContext {
  readonly dependencies: RequestDependencies
  readonly kind: RequestKind
  readonly input: SubmitRequest
  readonly buffer: AnswerBuffer
  /**
   * Clock time after which the request is not retried, in milliseconds. Infinity if the request has no deadline of its
   * own.
   */
  readonly deadlineAtMs: number
  /** Aborted when the application cancels the request. */
  readonly cancelSignal: AbortSignal
}
