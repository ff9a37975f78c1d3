import { type Clock } from '@fescuespoke/common'

/** Options of a rate limiter. */
export interface RateLimiterOptions {
  readonly clock: Clock
  /** Calls allowed in each interval. */
  readonly limit: number
  /** Length of the interval in milliseconds. */
  readonly intervalMs: number
}

/** Counts calls and allows a number of them in each interval. */
export class RateLimiter {
  /**
   * Creates a limiter.
   * @param options - Options of the limiter.
   */
  static create (options: RateLimiterOptions): RateLimiter {
    return new RateLimiter(options)
  }

  private intervalStartMs: number
  private used = 0
  private calls = 0
  private refused = 0

  /** @internal */
  private constructor (private readonly options: RateLimiterOptions) {
    this.intervalStartMs = options.clock.nowMs()
  }

  /** Counts a call and tells whether it is allowed. */
  acceptCall (): boolean {
    this.calls++
    this.startInterval()
    if (this.used >= this.options.limit) {
      this.refused++
      return false
    }
    this.used++
    return true
  }

  /** Gets the number of calls so far. */
  getCallCount (): number {
    return this.calls
  }

  /** Gets the number of calls refused so far. */
  getRefusedCount (): number {
    return this.refused
  }

  private startInterval (): void {
    const nowMs = this.options.clock.nowMs()
    if (nowMs - this.intervalStartMs < this.options.intervalMs) return
    this.intervalStartMs = nowMs
    this.used = 0
  }
}
