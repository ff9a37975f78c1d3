import { type Clock } from '@fescuespoke/common'

/** Time constant of the moving average over backlogged time, and backlogged time required before the average is used. */
const AVERAGING_TIME_CONSTANT_MS = 5000
const MIN_BACKLOGGED_MS = 1000

/** Maximum time that counts between two observations. A longer gap is a pause of the process. */
const MAX_OBSERVATION_INTERVAL_MS = 500

/** Time without a backlog after which an average is discarded. */
const AVERAGE_RETENTION_MS = 30_000

interface ThroughputAverage {
  cost: number
  backloggedMs: number
  observedAtMs: number
  wasBacklogged: boolean
}

/** Measures the throughput of each pool of targets while requests are queued for it. Without a backlog the rate of placements shows only the arrival rate. */
export class PoolThroughput {
  /**
   * Creates a measurement without data.
   * @param clock - Clock of the instance.
   */
  static create (clock: Clock): PoolThroughput {
    return new PoolThroughput(clock)
  }

  private readonly averages = new Map<string, ThroughputAverage>()

  /** @internal */
  private constructor (private readonly clock: Clock) {}

  /**
   * Records that work was placed in a pool or that its backlog changed.
   * @param pool - Name of the pool.
   * @param isBacklogged - Whether requests are queued for the pool from now on.
   * @param cost - Work that was placed, in tokens; negative for placed work that the target refused.
   */
  observePool (pool: string, isBacklogged: boolean, cost = 0): void {
    const average = this.getAverage(pool)
    const nowMs = this.clock.nowMs()
    const elapsedMs = nowMs - average.observedAtMs
    if (average.wasBacklogged) updateAverage(average, Math.min(elapsedMs, MAX_OBSERVATION_INTERVAL_MS), cost)
    else if (elapsedMs > AVERAGE_RETENTION_MS) average.backloggedMs = 0
    average.observedAtMs = nowMs
    average.wasBacklogged = isBacklogged
  }

  /**
   * Returns the throughput of a pool in tokens of work per millisecond; Infinity while there is too little data.
   * @param pool - Name of the pool.
   * @param assumedCost - Work that counts as placed now, in tokens, so that a backlog in which nothing was placed yet is not taken for a standstill.
   */
  getCostPerMs (pool: string, assumedCost = 0): number {
    const { cost, backloggedMs } = this.getAverage(pool)
    return backloggedMs < MIN_BACKLOGGED_MS ? Infinity : (cost + assumedCost) / backloggedMs
  }

  /**
   * Drops averages that no longer hold, for example after a pause of the process.
   * @param pool - Name of the pool; by default the averages of all pools are dropped.
   */
  clear (pool?: string): void {
    if (pool === undefined) this.averages.clear()
    else this.averages.delete(pool)
  }

  private getAverage (pool: string): ThroughputAverage {
    const existing = this.averages.get(pool)
    if (existing !== undefined) return existing
    const average: ThroughputAverage = { cost: 0, backloggedMs: 0, observedAtMs: this.clock.nowMs(), wasBacklogged: false }
    this.averages.set(pool, average)
    return average
  }
}

function updateAverage (average: ThroughputAverage, elapsedMs: number, cost: number): void {
  const decayFactor = Math.exp(-elapsedMs / AVERAGING_TIME_CONSTANT_MS)
  average.cost = Math.max(0, average.cost * decayFactor + cost)
  average.backloggedMs = average.backloggedMs * decayFactor + elapsedMs
}
