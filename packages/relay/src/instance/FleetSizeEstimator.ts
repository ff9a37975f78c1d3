import { type Clock } from '@fescuespoke/common'

/** Time for which the highest observed number of instances counts as the size of the fleet, in milliseconds. */
const PEAK_RETENTION_MS = 20_000

/** Time after the start in which the first seed instance is expected to answer, in milliseconds. */
export const JOIN_TIMEOUT_MS = 3000

/** Options of a fleet size estimator. */
export interface FleetSizeEstimatorOptions {
  readonly clock: Clock
  /** Counts the instances that are considered alive, including this one. */
  readonly countAlive: () => number
  /** Counts the seeds other than this instance. */
  readonly countSeeds: () => number
}

/** Estimates how many instances share the limits of the fleet; errs on the high side, so that the shares never exceed a limit. */
export class FleetSizeEstimator {
  /**
   * Creates an estimator that starts now.
   * @param options - Options of the estimator.
   */
  static create (options: FleetSizeEstimatorOptions): FleetSizeEstimator {
    return new FleetSizeEstimator(options)
  }

  private readonly startedAtMs: number
  private peak = { count: 1, atMs: -Infinity }

  /** @internal */
  private constructor (private readonly options: FleetSizeEstimatorOptions) {
    this.startedAtMs = options.clock.nowMs()
  }

  /** Returns the highest recent number of instances; `Infinity` while this instance waits for the first answer of a seed. */
  estimateSize (): number {
    const { clock, countAlive, countSeeds } = this.options
    const nowMs = clock.nowMs()
    const alive = countAlive()
    const isAlone = alive === 1 && countSeeds() > 0
    if (isAlone && this.peak.count === 1 && nowMs - this.startedAtMs < JOIN_TIMEOUT_MS) return Infinity
    const count = Math.max(alive, isAlone ? countSeeds() + 1 : 0)
    const isPeakExpired = nowMs - this.peak.atMs > PEAK_RETENTION_MS
    if (count >= this.peak.count || isPeakExpired) this.peak = { count, atMs: nowMs }
    return this.peak.count
  }
}
