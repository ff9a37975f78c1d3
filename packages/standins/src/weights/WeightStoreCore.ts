import { type Clock } from '@fescuespoke/common'
import { Result } from 'true-myth'
import { type WeightSource } from '../engine/EngineOptions.js'
import { type ErrorResponse } from '../http/ErrorResponse.js'
import { RateLimiter } from '../limits/RateLimiter.js'

/** Options of the weight store. */
export interface WeightStoreCoreOptions {
  readonly clock: Clock
  /** Fetches allowed in each minute over all engines. */
  readonly fetchesPerMinute?: number
}

const DEFAULT_FETCHES_PER_MINUTE = 6
const RATE_INTERVAL_MS = 60_000

/** A rate-limited store of model weights. */
export class WeightStoreCore implements WeightSource {
  /**
   * Creates a store that has every model.
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

  /** Lists the models whose weights have been fetched, in order. */
  listFetchedModels (): readonly string[] {
    return this.fetchedModels
  }

  /** Gets the number of fetches refused because of the rate. */
  getRejectedCount (): number {
    return this.limiter.getRejectedCount()
  }

  /**
   * Refuses all fetches, or serves them again.
   * @param isDown - Whether it is down.
   */
  setDown (isDown: boolean): void {
    this.isDown = isDown
  }

  /**
   * Fetches the weights of a model.
   * @param model - Name of the model.
   */
  async fetchWeights (model: string): Promise<Result<void, ErrorResponse>> {
    if (this.isDown) return Result.err({ status: 503, error: 'down' })
    if (!this.limiter.tryAcquire()) return Result.err({ status: 429, error: 'tooManyFetches' })
    this.fetchedModels.push(model)
    return Result.ok(undefined)
  }
}
