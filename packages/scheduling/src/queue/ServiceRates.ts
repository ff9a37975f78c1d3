import { type Clock } from '@fescuespoke/common'

/** Span over which the rate of a service is measured. */
const WINDOW_MS = 5000
const BUCKET_MS = 500
const BUCKETS = WINDOW_MS / BUCKET_MS

interface Window {
  readonly startedMs: number
  readonly buckets: Float64Array
  latest: number
}

/** Measures the work placed for each service over the last seconds. */
export class ServiceRates {
  /**
   * Creates empty rates.
   * @param clock - Clock of the instance.
   */
  static create (clock: Clock): ServiceRates {
    return new ServiceRates(clock)
  }

  private readonly windows = new Map<string, Window>()

  /** @internal */
  private constructor (private readonly clock: Clock) {}

  /**
   * Observes work that was placed.
   * @param service - Name of the service.
   * @param cost - Its work in tokens.
   */
  observeServed (service: string, cost: number): void {
    const window = this.getWindow(service)
    const index = window.latest % BUCKETS
    window.buckets[index] = (window.buckets[index] as number) + cost
  }

  /**
   * Gets the work placed for each millisecond; Infinity before any was measured long enough.
   * @param service - Name of the service.
   */
  getCostPerMs (service: string): number {
    const window = this.getWindow(service)
    const spanMs = Math.min(WINDOW_MS, this.clock.nowMs() - window.startedMs)
    const sum = window.buckets.reduce((total, cost) => total + cost, 0)
    return spanMs < WINDOW_MS / 2 || sum === 0 ? Infinity : sum / spanMs
  }

  private getWindow (service: string): Window {
    const bucket = Math.floor(this.clock.nowMs() / BUCKET_MS)
    const known = this.windows.get(service)
    if (known === undefined) {
      const window = { startedMs: this.clock.nowMs(), buckets: new Float64Array(BUCKETS), latest: bucket }
      this.windows.set(service, window)
      return window
    }
    const passed = Math.min(BUCKETS, bucket - known.latest)
    for (let step = 1; step <= passed; step++) known.buckets[(bucket - passed + step) % BUCKETS] = 0
    known.latest = bucket
    return known
  }
}
