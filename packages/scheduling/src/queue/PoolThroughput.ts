import { type Clock } from '@fescuespoke/common'

/** Backlogged time over which a rate is averaged, and that is needed before it is used. */
const AVERAGING_TIME_CONSTANT_MS = 5000
const MIN_BACKLOGGED_MS = 1000

/** Longest time between two observations that counts; a longer one is a pause of the process. */
const MAX_OBSERVATION_INTERVAL_MS = 500

/** Time without a backlog after which a rate is forgotten. */
const AVERAGE_RETENTION_MS = 30_000

interface ThroughputAverage {
  cost: number
  backloggedMs: number
  observedAtMs: number
  wasBacklogged: boolean
}

/** Measures how fast each pool of targets takes work while some waits; without a backlog the rate is only that of arrivals. */
export class PoolThroughput {
  /**
   * Creates empty rates.
   * @param clock - Clock of the instance.
   */
  static create (clock: Clock): PoolThroughput {
    return new PoolThroughput(clock)
  }

  private readonly averages = new Map<string, ThroughputAverage>()

  /** @internal */
  private constructor (private readonly clock: Clock) {}

  /**
   * Observes a pool after work was placed or its backlog changed.
   * @param pool - Name of the pool.
   * @param isBacklogged - Whether work waits from now on.
   * @param cost - Work that was placed, in tokens.
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
   * Gets the work that a pool takes each millisecond; Infinity while it is unknown.
   * @param pool - Name of the pool.
   */
  getCostPerMs (pool: string): number {
    const { cost, backloggedMs } = this.getAverage(pool)
    return backloggedMs < MIN_BACKLOGGED_MS ? Infinity : cost / backloggedMs
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
  average.cost = average.cost * decayFactor + cost
  average.backloggedMs = average.backloggedMs * decayFactor + elapsedMs
}
