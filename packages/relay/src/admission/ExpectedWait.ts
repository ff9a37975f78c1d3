import { type Clock } from '@fescuespoke/common'
import { PoolThroughput } from '@fescuespoke/scheduling'
import { formatPriorityKey } from './AdmissionSubject.js'

/** Time without a backlog after which the measured rate of a pool is dropped, in milliseconds. */
const RATE_RETENTION_MS = 30_000

/** Pool and priority of a request, and its work in tokens. */
export interface WaitingWork {
  readonly pool: string
  readonly priority: number
  readonly cost: number
}

/**
 * Expected waits when requests exceed capacity, from the work ahead and the rate at which capacity opens while requests wait. The rate
 * is measured for each priority, since urgent requests that arrive later take a part of the capacity before less urgent ones.
 */
export class ExpectedWait {
  /**
   * Creates an estimate without measured rates.
   * @param clock - Clock of the instance.
   */
  static create (clock: Clock): ExpectedWait {
    return new ExpectedWait(clock)
  }

  private readonly throughput: PoolThroughput
  /** Clock readings at which requests waited last, by key of pool and priority. */
  private readonly backloggedAtMs = new Map<string, number>()

  /** @internal */
  private constructor (private readonly clock: Clock) {
    this.throughput = PoolThroughput.create(clock)
  }

  /**
   * Records that work was placed or that the backlog of a priority may have changed.
   * @param work - Pool and priority, and the work that was placed in tokens; negative for placed work that the engine refused.
   * @param isBacklogged - Whether requests of the priority wait from now on.
   */
  observeWork ({ pool, priority, cost }: WaitingWork, isBacklogged: boolean): void {
    const key = formatPriorityKey(pool, priority)
    const nowMs = this.clock.nowMs()
    for (const [other, atMs] of this.backloggedAtMs) if (nowMs - atMs > RATE_RETENTION_MS) this.dropRate(other)
    if (!isBacklogged && !this.backloggedAtMs.has(key)) return
    this.throughput.observePool(key, isBacklogged, cost)
    if (isBacklogged) this.backloggedAtMs.set(key, nowMs)
  }

  /**
   * Returns the rate at which capacity opens for a priority in tokens of work per millisecond; Infinity while it is not known.
   * @param work - The next request; its work counts as placed now, so that a backlog that has just begun is not taken for a standstill.
   */
  getCostPerMs ({ pool, priority, cost }: WaitingWork): number {
    const key = formatPriorityKey(pool, priority)
    return this.backloggedAtMs.has(key) ? this.throughput.getCostPerMs(key, cost) : Infinity
  }

  /**
   * Estimates the time until the work ahead of a request has been placed, in milliseconds; 0 while the rate is not known.
   * @param work - The request.
   * @param costAhead - The work ahead, in tokens.
   */
  estimateMs (work: WaitingWork, costAhead: number): number {
    return costAhead <= 0 ? 0 : costAhead / this.getCostPerMs(work)
  }

  /** Drops all measured rates. */
  clear (): void {
    this.throughput.clear()
    this.backloggedAtMs.clear()
  }

  private dropRate (key: string): void {
    this.throughput.clear(key)
    this.backloggedAtMs.delete(key)
  }
}
