import { SystemClock, SystemRandom } from '@fescuespoke/common'
import { type SubmitRequest } from '@fescuespoke/schema'
import { AddressCache } from './addresses/AddressCache.js'
import { Answer } from './answer/Answer.js'
import { type AnswerResult } from './answer/AnswerResult.js'
import { AnswerBuffer } from './answer/AnswerBuffer.js'
import { type CallerOptions, type CallOptions, type GenerateOptions } from './CallerOptions.js'
import { ConnectionPool } from './http/ConnectionPool.js'
import { InstanceClient } from './http/InstanceClient.js'
import { LeaseManager } from './leases/LeaseManager.js'
import { type RequestContext, type RequestKind, type RequestDependencies } from './requests/RequestContext.js'
import { RetryBudget } from './requests/RetryBudget.js'
import { runRequest } from './requests/runRequest.js'

const DEFAULT_OPTIONS = {
  silenceMs: 3000,
  firstByteMs: 800,
  connectTimeoutMs: 500,
  hedgeMs: 200,
  avoidMs: 10_000,
  maxSubmissions: 4,
  maxAttempts: 12,
  retryRatio: 0.1,
  retryBurst: 20
}

/** Sends requests for one workspace and retries them until their outcome is known. */
export class Caller {
  /**
   * Creates a caller. No connection is opened before the first request.
   * @param options - Options of the caller.
   */
  static create (options: CallerOptions): Caller {
    return new Caller(options)
  }

  private readonly pool: ConnectionPool
  private readonly dependencies: RequestDependencies

  /** @internal */
  private constructor (options: CallerOptions) {
    const resolvedOptions = { ...DEFAULT_OPTIONS, clock: SystemClock.create(), random: SystemRandom.create(), ...options }
    this.pool = ConnectionPool.create(resolvedOptions)
    const client = InstanceClient.create({ ...resolvedOptions, pool: this.pool })
    const addresses = AddressCache.create({ ...resolvedOptions, client })
    const leases = LeaseManager.create({ ...resolvedOptions, client, addresses })
    const retryBudget = RetryBudget.create({ ratio: resolvedOptions.retryRatio, burst: resolvedOptions.retryBurst })
    this.dependencies = { ...resolvedOptions, client, addresses, leases, retryBudget }
  }

  /**
   * Starts a generation. A lost generation is restarted as long as no token has been delivered to the application.
   * @param options - Options of the generation.
   */
  generate (options: GenerateOptions): Answer {
    return this.startRequest('generation', options)
  }

  /**
   * Starts a call of a plain service. The call runs at most once.
   * @param options - Options of the call.
   */
  call (options: CallOptions): Answer {
    return this.startRequest('call', options)
  }

  /** Closes all connections immediately. Await or cancel requests in progress before calling this method. */
  async close (): Promise<void> {
    await this.pool.close()
  }

  private startRequest (kind: RequestKind, input: SubmitRequest): Answer {
    const { retryBudget, clock } = this.dependencies
    const buffer = AnswerBuffer.create()
    const cancelController = new AbortController()
    const deadlineAtMs = input.deadlineMs === undefined ? Number.POSITIVE_INFINITY : clock.nowMs() + input.deadlineMs
    const context: RequestContext = { dependencies: this.dependencies, kind, input, buffer, deadlineAtMs, cancelSignal: cancelController.signal }
    retryBudget.recordRequest()
    const result = settleRequest(context)
    return Answer.create({ buffer, result, cancel: () => cancelController.abort() })
  }
}

async function settleRequest (context: RequestContext): Promise<AnswerResult> {
  const result = await runRequest(context)
  const settledResult = { ...result, request: context.buffer.getRequest() }
  context.buffer.settle(settledResult)
  return settledResult
}
