import { type Clock } from '@fescuespoke/common'

/** Options of a load rate limiter. */
export interface LoadRateLimiterOptions {
  readonly clock: Clock
  /** Maximum rate of the weight store in loads per minute, over all instances. */
  readonly loadsPerMinute: number
  /** Time in milliseconds for which a share of the rate is delegated. */
  readonly delegationMs: number
  /** Returns the number of instances that share the rate; 0 when it is unknown. */
  readonly getFleetSize: () => number
}

const MS_PER_MINUTE = 60_000

/** Maximum number of partitions of the fleet with which the rate is still not exceeded in any minute. */
const MAX_PARTITIONS = 3

/** Fraction of the delegation period without any call after which the process is assumed to have been paused. */
const MAX_GAP_FRACTION = 0.5

/**
 * Computes the rate that is distributed among the instances. Each partition of a split fleet may have one unused permit,
 * so the rate is reduced by one load per minute for each possible partition.
 * @param loadsPerMinute - Maximum rate of the weight store, in loads per minute.
 * @returns The distributed rate in loads per minute; at least a quarter of the maximum rate.
 */
export function computeDistributedRate (loadsPerMinute: number): number {
  return Math.max(loadsPerMinute - MAX_PARTITIONS, loadsPerMinute / 4)
}

/**
 * Grants permits for loads from the shares of the rate that instances have delegated to this one. Every instance
 * delegates its share to only one instance at a time, so all permits together stay below the rate however the fleet is
 * split.
 */
export class LoadRateLimiter {
  /**
   * Creates a limiter without delegated shares.
   * @param options - Options of the limiter.
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
   * Renews the delegation of an instance's share, and grants a permit when one is requested and available.
   * @param instance - Name of the instance.
   * @param isPermitRequested - Whether the instance requests a permit.
   * @returns Whether a permit was granted.
   */
  requestPermit (instance: string, isPermitRequested: boolean): boolean {
    this.refill()
    this.delegatedUntilMs.set(instance, this.lastRefillMs + this.options.delegationMs)
    if (!isPermitRequested || this.availablePermits < 1) return false
    this.availablePermits -= 1
    return true
  }

  /** Counts the shares that are currently delegated to this instance. */
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
