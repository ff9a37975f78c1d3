import { type Clock } from '@fescuespoke/common'

/** Options of a ledger of lent shares. */
export interface LoadRateLimiterOptions {
  readonly clock: Clock
  /** Rate of the weight store in loads a minute, over all instances. */
  readonly loadsPerMinute: number
  /** Time in milliseconds for which a share is lent. */
  readonly delegationMs: number
  /** Gets the number of instances that the rate is divided among; 0 when it is not known. */
  readonly getFleetSize: () => number
}

const MS_PER_MINUTE = 60_000

/** Number of parts that a partition may split the fleet into while the rate is still kept in every minute. */
const MAX_PARTITIONS = 3

/** Part of the lending time without any call after which the process is taken for paused. */
const MAX_GAP_FRACTION = 0.5

/**
 * Computes the rate that is divided among the instances. Each part of a split fleet may have one permit saved up, so
 * as many loads a minute as there may be parts are left out.
 * @param loadsPerMinute - Rate of the weight store.
 */
export function computeDistributedRate (loadsPerMinute: number): number {
  return Math.max(loadsPerMinute - MAX_PARTITIONS, loadsPerMinute / 4)
}

/**
 * Grants permits for loads from the shares of the rate that instances have lent to this one. Every instance lends its
 * share to one other at a time, so all permits together stay under the rate however the fleet is split.
 */
export class LoadRateLimiter {
  /**
   * Creates a ledger without shares.
   * @param options - Options of the ledger.
   */
  static create (options: LoadRateLimiterOptions): LoadRateLimiter {
    return new LoadRateLimiter(options)
  }

  private readonly delegatedUntilMs = new Map<string, number>()
  private availablePermits = 0
  private lastRefillMs: number

  /** @internal */
  private constructor (private readonly options: LoadRateLimiterOptions) {
    this.lastRefillMs = options.clock.nowMs()
  }

  /**
   * Takes the share of an instance for a while, and grants a permit when one is wanted and saved up.
   * @param instance - Name of the instance.
   * @param wants - Whether it wants a permit.
   */
  requestPermit (instance: string, isPermitRequested: boolean): boolean {
    this.refill()
    this.delegatedUntilMs.set(instance, this.lastRefillMs + this.options.delegationMs)
    if (!isPermitRequested || this.availablePermits < 1) return false
    this.availablePermits -= 1
    return true
  }

  /** Counts the shares that are lent to this instance now. */
  countDelegatedShares (): number {
    this.pruneExpiredShares(this.options.clock.nowMs())
    return this.delegatedUntilMs.size
  }

  private refill (): void {
    const nowMs = this.options.clock.nowMs()
    const elapsedMs = nowMs - this.lastRefillMs
    this.lastRefillMs = nowMs
    if (elapsedMs > this.options.delegationMs * MAX_GAP_FRACTION) {
      this.delegatedUntilMs.clear()
      this.availablePermits = 0
      return
    }
    const fleetSize = Math.max(this.options.getFleetSize(), this.delegatedUntilMs.size)
    const ratePerMs = computeDistributedRate(this.options.loadsPerMinute) / MS_PER_MINUTE
    if (this.options.getFleetSize() > 0) this.availablePermits += elapsedMs * ratePerMs * this.delegatedUntilMs.size / fleetSize
    this.availablePermits = Math.min(1, this.availablePermits)
    this.pruneExpiredShares(nowMs)
  }

  private pruneExpiredShares (nowMs: number): void {
    for (const [instance, untilMs] of this.delegatedUntilMs) {
      if (untilMs <= nowMs) this.delegatedUntilMs.delete(instance)
    }
  }
}
