import { type Clock } from '@fescuespoke/common'

/** Time for which the highest number of instances seen counts as the size of the fleet, in milliseconds. */
const PEAK_RETENTION_MS = 20_000

/** Time after the start in which a named instance may still answer, in milliseconds. */
export const JOIN_TIMEOUT_MS = 3000

/** Options of the size of a fleet. */
export interface FleetSizeEstimatorOptions {
  readonly clock: Clock
  /** Counts the instances that are thought to be alive, this one included. */
  readonly countAlive: () => number
  /** Counts the other instances that this one was told of. */
  readonly countSeeds: () => number
}

/** How many instances share what is allowed to the fleet; it rather counts too many, so that shares never add up to more. */
export class FleetSizeEstimator {
  /**
   * Creates the size of a fleet as of now.
   * @param options - Options of the size.
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

  /** Counts the instances: the most that were seen lately, and `Infinity` while no other one has answered yet. */
  estimateCount (): number {
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
