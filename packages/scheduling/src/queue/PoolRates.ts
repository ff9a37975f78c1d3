import { type Clock } from '@fescuespoke/common'

/** Span over which the rate of a pool is measured. */
const WINDOW_MS = 5000
const BUCKET_MS = 500
const BUCKETS = WINDOW_MS / BUCKET_MS

interface Window {
  readonly startedMs: number
  readonly buckets: Float64Array
  latest: number
}

/** Measures the work placed in each pool of targets over the last seconds. */
export class PoolRates {
  /**
   * Creates empty rates.
   * @param clock - Clock of the instance.
   */
  static create (clock: Clock): PoolRates {
    return new PoolRates(clock)
  }

  private readonly windows = new Map<string, Window>()

  /** @internal */
  private constructor (private readonly clock: Clock) {}

  /**
   * Observes work that was placed.
   * @param pool - Name of the pool.
   * @param cost - Its work in tokens.
   */
  observeServed (pool: string, cost: number): void {
    const window = this.getWindow(pool)
    const index = window.latest % BUCKETS
    window.buckets[index] = (window.buckets[index] as number) + cost
  }

  /**
   * Gets the work placed for each millisecond; Infinity before any was measured long enough.
   * @param pool - Name of the pool.
   */
  getCostPerMs (pool: string): number {
    const window = this.getWindow(pool)
    const spanMs = Math.min(WINDOW_MS, this.clock.nowMs() - window.startedMs)
    const sum = window.buckets.reduce((total, cost) => total + cost, 0)
    return spanMs < WINDOW_MS / 2 || sum === 0 ? Infinity : sum / spanMs
  }

  private getWindow (pool: string): Window {
    const bucket = Math.floor(this.clock.nowMs() / BUCKET_MS)
    const known = this.windows.get(pool)
    if (known === undefined) {
      const window = { startedMs: this.clock.nowMs(), buckets: new Float64Array(BUCKETS), latest: bucket }
      this.windows.set(pool, window)
      return window
    }
    const passed = Math.min(BUCKETS, bucket - known.latest)
    for (let step = 1; step <= passed; step++) known.buckets[(bucket - passed + step) % BUCKETS] = 0
    known.latest = bucket
    return known
  }
}
