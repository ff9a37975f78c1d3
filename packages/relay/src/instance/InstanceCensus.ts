import { type Clock, rankByRendezvous } from '@fescuespoke/common'
import { type ColdFleet } from '../limits/computeColdInterval.js'

/** State of an instance as far as the census needs it; `lost` instances may still be running, out of reach. */
export type CensusState = 'present' | 'lost' | 'left'

/** Options of an instance census. */
export interface InstanceCensusOptions {
  readonly clock: Clock
  /** Name of this instance. */
  readonly instance: string
  /** Lists the seeds other than this instance. */
  readonly listSeeds: () => readonly string[]
}

/**
 * Time without a new instance after which all that can be reached are known, in milliseconds. The views of 60 and 195 instances that start
 * at the same time grow at least once a second until they are complete.
 */
export const SETTLE_MS = 3000

/** Time for which an instance that was lost counts as possibly running, in milliseconds; partitions that last longer are not covered. */
const LOST_RETENTION_MS = 600_000

/** Time for which the count that a peer has reported is used, in milliseconds; it reports it with each message. */
const REPORT_RETENTION_MS = 10_000

/** Names of the instances that may be running. Unlike an estimate of those alive, it is not lowered by a partition. */
export class InstanceCensus {
  /**
   * Creates a census that begins now and knows this instance only.
   * @param options - Options of the census.
   */
  static create (options: InstanceCensusOptions): InstanceCensus {
    return new InstanceCensus(options)
  }

  private readonly present = new Set<string>()
  /** Clock readings at which instances were lost, by name. */
  private readonly lost = new Map<string, number>()
  /** Names of the instances that may be running, and ranks of this one by key; both are asked for with each request to a cold target. */
  private names: readonly string[] | undefined
  private readonly ranks = new Map<string, number>()
  private grownAtMs: number
  private hasSettled = false
  private report = { count: 0, atMs: -Infinity }

  /** @internal */
  private constructor (private readonly options: InstanceCensusOptions) {
    this.grownAtMs = options.clock.nowMs()
  }

  /**
   * Records the state of another instance.
   * @param name - Name of the instance.
   * @param state - Its state.
   */
  recordInstance (name: string, state: CensusState): void {
    const { clock } = this.options
    this.prune()
    // A view that has settled stays known while it grows.
    this.isKnown()
    if (state === 'present' && !this.present.has(name)) this.grownAtMs = clock.nowMs()
    this.present.delete(name)
    this.lost.delete(name)
    if (state === 'present') this.present.add(name)
    if (state === 'lost') this.lost.set(name, clock.nowMs())
    this.refresh()
  }

  /** Takes changed names into account, also those of the seeds. */
  refresh (): void {
    this.names = undefined
    this.ranks.clear()
  }

  /**
   * Records the number of instances that may be running according to a peer, which may have known some that were lost before this
   * instance started.
   * @param count - The number.
   */
  recordReport (count: number): void {
    const nowMs = this.options.clock.nowMs()
    if (count >= this.report.count || nowMs - this.report.atMs >= REPORT_RETENTION_MS) this.report = { count, atMs: nowMs }
  }

  /** Returns the number of instances that may be running, for peers that start; undefined when none was lost. */
  findReport (): number | undefined {
    this.prune()
    return this.lost.size > 0 ? this.listNames().length : undefined
  }

  /**
   * Returns the instances that share a limit. Their number is not known in the first seconds after the start, nor while no other
   * instance was reached although there are seeds.
   * @param key - Key on which the order of the ranks depends.
   */
  getFleet (key: string): ColdFleet {
    this.prune()
    const alive = this.present.size + 1
    if (!this.isKnown()) return { alive, possible: Infinity, rank: 0 }
    const known = this.listNames().length
    const reported = this.options.clock.nowMs() - this.report.atMs < REPORT_RETENTION_MS ? this.report.count : 0
    // Instances that this one does not know may rank before it.
    const unknown = Math.max(0, reported - known)
    return { alive, possible: known + unknown, rank: this.getRank(key) + unknown }
  }

  private isKnown (): boolean {
    const { clock, listSeeds } = this.options
    const isAlone = this.present.size === 0 && this.lost.size === 0 && listSeeds().length > 0
    this.hasSettled ||= !isAlone && clock.nowMs() - this.grownAtMs >= SETTLE_MS
    return this.hasSettled
  }

  private getRank (key: string): number {
    const known = this.ranks.get(key) ?? rankByRendezvous(key, this.listNames()).indexOf(this.options.instance)
    this.ranks.set(key, known)
    return known
  }

  /** Lists the instances that may be running, among them seeds that were never reached. */
  private listNames (): readonly string[] {
    this.names ??= [...new Set([this.options.instance, ...this.present, ...this.lost.keys(), ...this.options.listSeeds()])]
    return this.names
  }

  private prune (): void {
    const nowMs = this.options.clock.nowMs()
    for (const [name, lostAtMs] of this.lost) {
      if (nowMs - lostAtMs < LOST_RETENTION_MS) continue
      this.lost.delete(name)
      this.refresh()
    }
  }
}
