import { type Clock } from '@fescuespoke/common'
import { Result } from 'true-myth'
import { type WeightSource } from '../engine/EngineOptions.js'
import { type ErrorResponse } from '../http/ErrorResponse.js'
import { RateLimiter } from '../limits/RateLimiter.js'

/** Options of the weight store. */
export interface WeightStoreCoreOptions {
  readonly clock: Clock
  /** Maximum number of fetches per minute over all engines. */
  readonly fetchesPerMinute?: number
}

const DEFAULT_FETCHES_PER_MINUTE = 6
const RATE_INTERVAL_MS = 60_000

/** Rate-limited store of model weights, independent of HTTP. */
export class WeightStoreCore implements WeightSource {
  /**
   * Creates a store that contains the weights of every model.
   * @param options - Options of the store.
   */
  static create (options: WeightStoreCoreOptions): WeightStoreCore {
    return new WeightStoreCore(options)
  }

  private readonly limiter: RateLimiter
  private readonly fetchedModels: string[] = []
  private isDown = false

  /** @internal */
  private constructor (options: WeightStoreCoreOptions) {
    const limit = options.fetchesPerMinute ?? DEFAULT_FETCHES_PER_MINUTE
    this.limiter = RateLimiter.create({ clock: options.clock, limit, intervalMs: RATE_INTERVAL_MS })
  }

  /** Returns the models whose weights have been fetched, in order. */
  listFetchedModels (): readonly string[] {
    return this.fetchedModels
  }

  /** Returns the number of fetches rejected by the rate limit. */
  getRejectedCount (): number {
    return this.limiter.getRejectedCount()
  }

  /**
   * Makes the store unavailable or available again. While it is unavailable, it rejects all fetches.
   * @param isDown - Whether the store is unavailable.
   */
  setDown (isDown: boolean): void {
    this.isDown = isDown
  }

  /**
   * Fetches the weights of a model.
   * @param model - Name of the model.
   * @returns An empty result, or the error response if the fetch is rejected.
   */
  async fetchWeights (model: string): Promise<Result<void, ErrorResponse>> {
    if (this.isDown) return Result.err({ status: 503, error: 'down' })
    if (!this.limiter.tryAcquire()) return Result.err({ status: 429, error: 'tooManyFetches' })
    this.fetchedModels.push(model)
    return Result.ok(undefined)
  }
}
