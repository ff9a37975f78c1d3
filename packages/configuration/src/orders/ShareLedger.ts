import { type Clock } from '@fescuespoke/common'

/** Options of a ledger of lent shares. */
export interface ShareLedgerOptions {
  readonly clock: Clock
  /** Rate of the weight store in loads a minute, over all instances. */
  readonly loadsPerMinute: number
  /** Time in milliseconds for which a share is lent. */
  readonly lendMs: number
  /** Gets the number of instances that the rate is divided among; 0 when it is not known. */
  readonly getFleetSize: () => number
}

const MS_PER_MINUTE = 60_000

/** Number of parts that a partition may split the fleet into while the rate is still kept in every minute. */
const MAX_PARTS = 3

/** Part of the lending time without any call after which the process is taken for paused. */
const MAX_GAP_SHARE = 0.5

/**
 * Computes the rate that is divided among the instances. Each part of a split fleet may have one permit saved up, so
 * as many loads a minute as there may be parts are left out.
 * @param loadsPerMinute - Rate of the weight store.
 */
export function computeDividedRate (loadsPerMinute: number): number {
  return Math.max(loadsPerMinute - MAX_PARTS, loadsPerMinute / 4)
}

/**
 * Grants permits for loads from the shares of the rate that instances have lent to this one. Every instance lends its
 * share to one other at a time, so all permits together stay under the rate however the fleet is split.
 */
export class ShareLedger {
  /**
   * Creates a ledger without shares.
   * @param options - Options of the ledger.
   */
  static create (options: ShareLedgerOptions): ShareLedger {
    return new ShareLedger(options)
  }

  private readonly lentUntilMs = new Map<string, number>()
  private saved = 0
  private lastMs: number

  /** @internal */
  private constructor (private readonly options: ShareLedgerOptions) {
    this.lastMs = options.clock.nowMs()
  }

  /**
   * Takes the share of an instance for a while, and grants a permit when one is wanted and saved up.
   * @param instance - Name of the instance.
   * @param wants - Whether it wants a permit.
   */
  requestPermit (instance: string, wants: boolean): boolean {
    this.advance()
    this.lentUntilMs.set(instance, this.lastMs + this.options.lendMs)
    if (!wants || this.saved < 1) return false
    this.saved -= 1
    return true
  }

  /** Counts the shares that are lent to this instance now. */
  countShares (): number {
    this.pruneShares(this.options.clock.nowMs())
    return this.lentUntilMs.size
  }

  private advance (): void {
    const nowMs = this.options.clock.nowMs()
    const elapsedMs = nowMs - this.lastMs
    this.lastMs = nowMs
    if (elapsedMs > this.options.lendMs * MAX_GAP_SHARE) {
      this.lentUntilMs.clear()
      this.saved = 0
      return
    }
    const fleetSize = Math.max(this.options.getFleetSize(), this.lentUntilMs.size)
    const ratePerMs = computeDividedRate(this.options.loadsPerMinute) / MS_PER_MINUTE
    if (this.options.getFleetSize() > 0) this.saved += elapsedMs * ratePerMs * this.lentUntilMs.size / fleetSize
    this.saved = Math.min(1, this.saved)
    this.pruneShares(nowMs)
  }

  private pruneShares (nowMs: number): void {
    for (const [instance, untilMs] of this.lentUntilMs) {
      if (untilMs <= nowMs) this.lentUntilMs.delete(instance)
    }
  }
}
