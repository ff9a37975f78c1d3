import { type Clock } from '@fescuespoke/common'

/** Options of a rate limiter. */
export interface RateLimiterOptions {
  readonly clock: Clock
  /** Maximum number of calls in each interval. */
  readonly limit: number
  /** Length of the interval in milliseconds. */
  readonly intervalMs: number
}

/** Limits the number of calls in fixed time intervals and counts accepted and rejected calls. */
export class RateLimiter {
  /**
   * Creates a limiter.
   * @param options - Options of the limiter.
   */
  static create (options: RateLimiterOptions): RateLimiter {
    return new RateLimiter(options)
  }

  private intervalStartMs: number
  private usedInInterval = 0
  private callCount = 0
  private rejectedCount = 0

  /** @internal */
  private constructor (private readonly options: RateLimiterOptions) {
    this.intervalStartMs = options.clock.nowMs()
  }

  /** Counts a call and returns whether it is within the limit. */
  tryAcquire (): boolean {
    this.callCount++
    this.startInterval()
    if (this.usedInInterval >= this.options.limit) {
      this.rejectedCount++
      return false
    }
    this.usedInInterval++
    return true
  }

  /** Returns the number of calls so far. */
  getCallCount (): number {
    return this.callCount
  }

  /** Returns the number of calls rejected so far. */
  getRejectedCount (): number {
    return this.rejectedCount
  }

  private startInterval (): void {
    const nowMs = this.options.clock.nowMs()
    if (nowMs - this.intervalStartMs < this.options.intervalMs) return
    this.intervalStartMs = nowMs
    this.usedInInterval = 0
  }
}
