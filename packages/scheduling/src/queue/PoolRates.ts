import { type Clock } from '@fescuespoke/common'

/** Backlogged time over which a rate is averaged, and that is needed before it is used. */
const AVERAGE_MS = 5000
const MIN_BACKLOGGED_MS = 1000

/** Longest time between two observations that counts; a longer one is a pause of the process. */
const MAX_STEP_MS = 500

/** Time without a backlog after which a rate is forgotten. */
const FORGET_MS = 30_000

interface Rate {
  cost: number
  backloggedMs: number
  observedMs: number
  wasBacklogged: boolean
}

/** Measures how fast each pool of targets takes work while some waits; without a backlog the rate is only that of arrivals. */
export class PoolRates {
  /**
   * Creates empty rates.
   * @param clock - Clock of the instance.
   */
  static create (clock: Clock): PoolRates {
    return new PoolRates(clock)
  }

  private readonly rates = new Map<string, Rate>()

  /** @internal */
  private constructor (private readonly clock: Clock) {}

  /**
   * Observes a pool after work was placed or its backlog changed.
   * @param pool - Name of the pool.
   * @param isBacklogged - Whether work waits from now on.
   * @param cost - Work that was placed, in tokens.
   */
  observePool (pool: string, isBacklogged: boolean, cost = 0): void {
    const rate = this.getRate(pool)
    const nowMs = this.clock.nowMs()
    const passedMs = nowMs - rate.observedMs
    if (rate.wasBacklogged) addSpan(rate, Math.min(passedMs, MAX_STEP_MS), cost)
    else if (passedMs > FORGET_MS) rate.backloggedMs = 0
    rate.observedMs = nowMs
    rate.wasBacklogged = isBacklogged
  }

  /**
   * Gets the work that a pool takes each millisecond; Infinity while it is unknown.
   * @param pool - Name of the pool.
   */
  getCostPerMs (pool: string): number {
    const { cost, backloggedMs } = this.getRate(pool)
    return backloggedMs < MIN_BACKLOGGED_MS ? Infinity : cost / backloggedMs
  }

  private getRate (pool: string): Rate {
    const known = this.rates.get(pool)
    if (known !== undefined) return known
    const rate: Rate = { cost: 0, backloggedMs: 0, observedMs: this.clock.nowMs(), wasBacklogged: false }
    this.rates.set(pool, rate)
    return rate
  }
}

function addSpan (rate: Rate, spanMs: number, cost: number): void {
  const kept = Math.exp(-spanMs / AVERAGE_MS)
  rate.cost = rate.cost * kept + cost
  rate.backloggedMs = rate.backloggedMs * kept + spanMs
}
