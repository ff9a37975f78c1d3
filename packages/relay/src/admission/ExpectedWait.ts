import { type Clock } from '@fescuespoke/common'
import { PoolThroughput } from '@fescuespoke/scheduling'

/** Time without a backlog after which the measured rate of a pool is dropped, in milliseconds. */
const RATE_RETENTION_MS = 30_000

/** Expected waits when requests exceed capacity, from the work ahead and the rate at which capacity opens while requests wait. */
export class ExpectedWait {
  /**
   * Creates an estimate without measured rates.
   * @param clock - Clock of the instance.
   */
  static create (clock: Clock): ExpectedWait {
    return new ExpectedWait(clock)
  }

  private readonly throughput: PoolThroughput
  /** Clock readings at which requests waited last, by pool. */
  private readonly backloggedAtMs = new Map<string, number>()

  /** @internal */
  private constructor (private readonly clock: Clock) {
    this.throughput = PoolThroughput.create(clock)
  }

  /**
   * Records that work was placed or that the backlog of a pool may have changed.
   * @param pool - Key of the pool.
   * @param isBacklogged - Whether requests wait from now on.
   * @param cost - Work that was placed, in tokens; negative for work that was placed in vain.
   */
  observePool (pool: string, isBacklogged: boolean, cost = 0): void {
    const nowMs = this.clock.nowMs()
    if (nowMs - (this.backloggedAtMs.get(pool) ?? nowMs) > RATE_RETENTION_MS) this.dropPool(pool)
    if (!isBacklogged && !this.backloggedAtMs.has(pool)) return
    this.throughput.observePool(pool, isBacklogged, cost)
    if (isBacklogged) this.backloggedAtMs.set(pool, nowMs)
  }

  /**
   * Returns the rate at which capacity opens in tokens of work per millisecond; Infinity while it is not known.
   * @param pool - Key of the pool.
   * @param cost - Work of the next request; it counts as placed now, so that a backlog that has just begun is not taken for a standstill.
   */
  getCostPerMs (pool: string, cost: number): number {
    return this.backloggedAtMs.has(pool) ? this.throughput.getCostPerMs(pool, cost) : Infinity
  }

  /**
   * Estimates the time until work has been placed, in milliseconds; 0 while the rate is not known.
   * @param pool - Key of the pool.
   * @param costAhead - The work, in tokens.
   * @param cost - Work of the request that waits for it.
   */
  estimateMs (pool: string, costAhead: number, cost: number): number {
    return costAhead <= 0 ? 0 : costAhead / this.getCostPerMs(pool, cost)
  }

  /** Drops all measured rates. */
  clear (): void {
    this.throughput.clear()
    this.backloggedAtMs.clear()
  }

  private dropPool (pool: string): void {
    this.throughput.clear(pool)
    this.backloggedAtMs.delete(pool)
  }
}
