import { type Clock } from '@fescuespoke/common'
import { type ColdTargetNews } from '@fescuespoke/schema'
import { type DecisionLog } from '../logs/DecisionLog.js'
import { type ServiceProfile } from '../model/RelayConfiguration.js'
import { type RelayTarget } from '../model/RelayTarget.js'
import { type ColdBound, type ColdFleet, computeColdIntervalMs } from './computeColdInterval.js'

/** Options of cold targets. */
export interface ColdTargetsOptions {
  readonly clock: Clock
  readonly log: DecisionLog
  readonly bound?: ColdBound
  /** Returns the instances that share the rate of a target. */
  readonly getFleet: (target: string) => ColdFleet
}

/** What an instance knows about one target that is cold, or was lately. */
interface ColdRecord {
  readonly startedAtMs: number
  /** Sequence number of the last entry that was used. */
  readonly sequence: number
  /** Clock reading at which the target is warm. */
  readonly endsAtMs: number
  /** Clock reading of the last turn that this instance has used; it may lie ahead when a request was sent without a turn. */
  readonly usedAtMs: number
  /** Whether an answer of the target, and not its entry, told of it; peers are told of it then. */
  readonly isFromAnswer: boolean
}

/** Bound on requests to a cold target that the platform uses where its settings state none. */
export const DEFAULT_COLD_BOUND: ColdBound = { overage: 1.5, slack: 5 }

/** Maximum number of targets in one message to a peer. */
const MAX_NEWS = 16

/** Extension by a peer's message that is ignored, in milliseconds; messages take time, which would add up when peers echo them. */
const NEWS_TOLERANCE_MS = 250

/** Extension of the cold time that is logged, in milliseconds; smaller ones come from delays of answers. */
const LOGGED_EXTENSION_MS = 1000

/** Time after which a target that is warm is forgotten, in milliseconds. */
const RETENTION_MS = 60_000

/** Targets that take few requests a second from all instances together because they are cold. */
export class ColdTargets {
  /**
   * Creates a record without targets.
   * @param options - Options of the record.
   */
  static create (options: ColdTargetsOptions): ColdTargets {
    return new ColdTargets(options)
  }

  private readonly records = new Map<string, ColdRecord>()
  /** Requests a second that the targets of a service take while they are cold, by service; without an entry, there is no bound. */
  private readonly rates = new Map<string, number>()

  /** @internal */
  private constructor (private readonly options: ColdTargetsOptions) {}

  /**
   * Sets the services in force.
   * @param services - The services by name.
   */
  setServices (services: ReadonlyMap<string, ServiceProfile>): void {
    this.rates.clear()
    for (const { name, coldRequestsPerSecond = 0 } of services.values()) if (coldRequestsPerSecond > 0) this.rates.set(name, coldRequestsPerSecond)
  }

  /** Returns whether any service bounds the requests to its cold targets. */
  hasRates (): boolean {
    return this.rates.size > 0
  }

  /**
   * Records what the entry of a target states. Entries that were used before, or are older, change nothing.
   * @param target - The target.
   */
  recordEntry (target: RelayTarget): void {
    const { name, startedAtMs, sequence, slowStartRemainingMs } = target
    const known = this.records.get(name)
    const isSameIncarnation = known?.startedAtMs === startedAtMs
    if (isSameIncarnation && sequence > 0 && sequence <= known.sequence) return
    if (known === undefined && slowStartRemainingMs === 0) return
    const statedEndMs = this.options.clock.nowMs() + slowStartRemainingMs
    const isCovered = isSameIncarnation && known.endsAtMs >= statedEndMs
    const { endsAtMs, isFromAnswer } = isCovered ? known : { endsAtMs: statedEndMs, isFromAnswer: false }
    this.update(target, { startedAtMs, sequence, endsAtMs, usedAtMs: known?.usedAtMs ?? -Infinity, isFromAnswer }, 'entry')
  }

  /**
   * Records that an answer of a target states that it is cold.
   * @param target - The target.
   * @param remainingMs - Time until it is warm, in milliseconds.
   */
  recordAnswer (target: RelayTarget, remainingMs: number): void {
    this.extend(target, this.options.clock.nowMs() + remainingMs, 'answer')
  }

  /**
   * Returns whether a target is cold and its service bounds the requests to it.
   * @param target - The target.
   */
  isCold ({ name, service }: RelayTarget): boolean {
    return this.rates.has(service) && (this.records.get(name)?.endsAtMs ?? -Infinity) > this.options.clock.nowMs()
  }

  /**
   * Returns the time until this instance may send a request to a target, in milliseconds: until its next turn, or until the target is
   * warm.
   * @param target - The target.
   */
  getWaitMs (target: RelayTarget): number {
    const record = this.records.get(target.name)
    const intervalMs = this.findIntervalMs(target)
    if (record === undefined || intervalMs === undefined) return 0
    const nowMs = this.options.clock.nowMs()
    const turnAtMs = Number.isFinite(intervalMs) ? record.usedAtMs + intervalMs : Infinity
    return Math.max(0, Math.min(turnAtMs, record.endsAtMs) - nowMs)
  }

  /**
   * Counts a request that is sent to a target; outside a turn of this instance, it uses up the next one.
   * @param target - The target.
   */
  recordRequest (target: RelayTarget): void {
    const record = this.records.get(target.name)
    const intervalMs = this.findIntervalMs(target)
    if (record === undefined || intervalMs === undefined) return
    const nextTurnAtMs = Number.isFinite(intervalMs) ? record.usedAtMs + intervalMs : -Infinity
    this.records.set(target.name, { ...record, usedAtMs: Math.max(this.options.clock.nowMs(), nextTurnAtMs) })
  }

  /** Lists cold targets whose answers told of it for a message to a peer. */
  listNews (): ColdTargetNews[] {
    const nowMs = this.options.clock.nowMs()
    for (const [name, { endsAtMs }] of this.records) if (nowMs - endsAtMs >= RETENTION_MS) this.records.delete(name)
    if (!this.hasRates()) return []
    return [...this.records]
      .filter(([, { isFromAnswer, endsAtMs }]) => isFromAnswer && endsAtMs > nowMs)
      .sort(([, a], [, b]) => b.endsAtMs - a.endsAtMs)
      .slice(0, MAX_NEWS)
      .map(([target, { startedAtMs, endsAtMs }]) => ({ target, startedAtMs, remainingMs: Math.round(endsAtMs - nowMs) }))
  }

  /**
   * Takes over the cold targets that a peer reported.
   * @param peer - Name of the peer.
   * @param news - Reported targets.
   */
  mergeNews (peer: string, news: readonly ColdTargetNews[]): void {
    for (const { target: name, startedAtMs, remainingMs } of news) {
      const endsAtMs = this.options.clock.nowMs() + remainingMs
      const known = this.records.get(name)
      const isKnown = known !== undefined && (known.startedAtMs > startedAtMs || endsAtMs <= known.endsAtMs + NEWS_TOLERANCE_MS)
      if (!isKnown) this.extend({ name, startedAtMs }, endsAtMs, peer)
    }
  }

  private extend (target: Pick<RelayTarget, 'name' | 'startedAtMs'>, endsAtMs: number, source: string): void {
    const { startedAtMs } = target
    const known = this.records.get(target.name)
    const { sequence, endsAtMs: knownEndMs } = known?.startedAtMs === startedAtMs ? known : { sequence: 0, endsAtMs: -Infinity }
    const isOutdated = known !== undefined && known.startedAtMs > startedAtMs
    if (!isOutdated && endsAtMs > knownEndMs) this.update(target, { startedAtMs, sequence, endsAtMs, usedAtMs: known?.usedAtMs ?? -Infinity, isFromAnswer: true }, source)
  }

  private update ({ name }: Pick<RelayTarget, 'name'>, record: ColdRecord, source: string): void {
    const { clock, log, getFleet } = this.options
    const nowMs = clock.nowMs()
    const knownEndMs = this.records.get(name)?.endsAtMs ?? nowMs
    const isLogged = record.endsAtMs - Math.max(nowMs, knownEndMs) >= LOGGED_EXTENSION_MS
    if (isLogged) log.recordStateChange('target cold', { target: name, remainingMs: Math.round(record.endsAtMs - nowMs), source, ...getFleet(name) })
    this.records.set(name, record)
  }

  /** Returns the shortest interval between two requests of this instance to a target; undefined when it is not cold or has no bound. */
  private findIntervalMs (target: RelayTarget): number | undefined {
    const perSecond = this.rates.get(target.service)
    if (perSecond === undefined || !this.isCold(target)) return undefined
    return computeColdIntervalMs(perSecond, this.options.bound ?? DEFAULT_COLD_BOUND, this.options.getFleet(target.name))
  }
}
