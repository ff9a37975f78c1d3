import { type Clock, RoundRobin } from '@fescuespoke/common'
import { type TargetLimitNews } from '@fescuespoke/schema'
import { type DecisionLog } from '../logs/DecisionLog.js'
import { type RelayTarget } from '../model/RelayTarget.js'
import { type NamedLimit } from '../targets/RelayTargetClient.js'
import { findTurnUse, type FleetPlace, type TurnUse } from './LimitTurns.js'

/** Options of target limits. */
export interface TargetLimitsOptions {
  readonly clock: Clock
  readonly log: DecisionLog
  /** Returns the estimated number of instances; `Infinity` while it is not known. */
  readonly countInstances: () => number
  /** Returns the rank of this instance among all instances, from 0, in an order that depends on a target. */
  readonly getRank: (target: string) => number
}

/** What an instance knows about the limit of one incarnation of a target. */
interface LimitRecord {
  readonly startedAtMs: number
  /** Requests a second; undefined when the limit has ended. */
  readonly perSecond: number | undefined
  /** Clock reading of the answer that named the limit last, or of the request whose answer named none. */
  readonly observedAtMs: number
  /** Number of the current turn at `countedAtMs`, with the part of it that has passed. */
  readonly turns: number
  readonly countedAtMs: number
  /** Last turn that this instance has used. */
  readonly lastUsedTurn: number
  /** Clock reading at which the log last stated the limit. */
  readonly loggedAtMs: number
}

/** What an answer or a peer tells about the limit of a target. */
type Observation = Pick<LimitRecord, 'startedAtMs' | 'perSecond' | 'observedAtMs' | 'turns'>

type CachedPlace = FleetPlace & { readonly atMs: number }

const MS_PER_SECOND = 1000

/** Lowest rate at which a target is used, in requests a second; the answers tell whether its limit still holds. */
const MIN_RATE_PER_SECOND = 0.25

/** Maximum number of limits in one message to a peer. */
const MAX_NEWS = 16

/** Time after which the end of a limit, and a limit that no answer confirms, are forgotten, in milliseconds. */
const END_RETENTION_MS = 60_000
const LIMIT_RETENTION_MS = 600_000

/** Minimum interval between two log lines about other values of one limit, in milliseconds. */
const LOG_INTERVAL_MS = 1000

/** Time for which the place of this instance at a target is cached, in milliseconds. */
const PLACE_TTL_MS = 200

/**
 * Limits on the requests that all instances together may send to a target, as the target names them in its answers. Instances tell
 * one another of the limits and of the turns at each target, and each uses its own turns without further coordination.
 */
export class TargetLimits {
  /**
   * Creates limits without any records.
   * @param options - Options of the limits.
   */
  static create (options: TargetLimitsOptions): TargetLimits {
    return new TargetLimits(options)
  }

  private readonly records = new Map<string, LimitRecord>()
  private readonly places = new Map<string, CachedPlace>()
  private readonly newsRound = RoundRobin.create()

  /** @internal */
  private constructor (private readonly options: TargetLimitsOptions) {}

  /**
   * Records what an answer of a target says about its limit.
   * @param target - The target.
   * @param limit - Limit in the answer; undefined when the answer does not tell.
   * @param sentAtMs - Clock reading at which the request was sent.
   */
  recordAnswer ({ name, startedAtMs }: RelayTarget, limit: NamedLimit | undefined, sentAtMs: number): void {
    if (limit === undefined) return
    const isNamed = limit !== 'none'
    // Answers overtake one another: one without a limit may be older than any that arrived since its request was sent.
    const observedAtMs = isNamed ? this.options.clock.nowMs() : sentAtMs
    this.observe(name, { startedAtMs, perSecond: isNamed ? limit : undefined, observedAtMs, turns: 0 }, 'answer')
  }

  /**
   * Returns the time until this instance may send a request to a target, in milliseconds; `Infinity` while it is not known how many
   * instances share the limit.
   * @param target - The target.
   */
  getWaitMs (target: RelayTarget): number {
    return this.findUse(target)?.waitMs ?? 0
  }

  /**
   * Counts a request that is sent to a target; outside a turn of this instance, it uses up the next one.
   * @param target - The target.
   */
  recordRequest (target: RelayTarget): void {
    const record = this.records.get(target.name)
    const use = this.findUse(target)
    if (record !== undefined && use !== undefined) this.records.set(target.name, { ...record, lastUsedTurn: use.turn })
  }

  /** Lists limits for a message to a peer; successive messages list all of them in turn. */
  listNews (): TargetLimitNews[] {
    this.prune()
    const nowMs = this.options.clock.nowMs()
    return this.newsRound.take([...this.records], MAX_NEWS).map(([target, record]) => ({
      target, startedAtMs: record.startedAtMs, limit: record.perSecond, turns: countTurns(record, nowMs), ageMs: Math.round(nowMs - record.observedAtMs)
    }))
  }

  /**
   * Takes over the limits that a peer reported, unless this instance knows something newer.
   * @param peer - Name of the peer.
   * @param news - Reported limits.
   */
  mergeNews (peer: string, news: readonly TargetLimitNews[]): void {
    const nowMs = this.options.clock.nowMs()
    for (const { target, startedAtMs, limit, turns, ageMs } of news) this.observe(target, { startedAtMs, perSecond: limit, observedAtMs: nowMs - ageMs, turns }, peer)
  }

  private observe (target: string, observation: Observation, source: string): void {
    const known = this.records.get(target)
    const isNewer = known === undefined ? observation.perSecond !== undefined : observation.observedAtMs > known.observedAtMs
    const isSameIncarnation = known?.startedAtMs === observation.startedAtMs
    if (!isNewer && !isSameIncarnation) return
    const next = isSameIncarnation ? this.merge(known, observation) : this.createRecord(observation)
    this.records.set(target, this.logChange(target, known, next, source))
  }

  private createRecord (observation: Observation): LimitRecord {
    return { ...observation, countedAtMs: this.options.clock.nowMs(), lastUsedTurn: -Infinity, loggedAtMs: -Infinity }
  }

  /** Merges an observation of the same incarnation. The turns of the instance that is ahead count, so that all use the same ones. */
  private merge (known: LimitRecord, observation: Observation): LimitRecord {
    const nowMs = this.options.clock.nowMs()
    const { perSecond, observedAtMs } = observation.observedAtMs > known.observedAtMs ? observation : known
    return { ...known, perSecond, observedAtMs, turns: Math.max(countTurns(known, nowMs), observation.turns), countedAtMs: nowMs }
  }

  /** Logs a limit that began or ended, and at a limited rate one that has another value. */
  private logChange (target: string, known: LimitRecord | undefined, next: LimitRecord, source: string): LimitRecord {
    const { clock, log } = this.options
    const nowMs = clock.nowMs()
    const { perSecond: limit, observedAtMs } = next
    const isUnchanged = known?.perSecond === limit && known?.startedAtMs === next.startedAtMs
    const isOtherValue = known?.perSecond !== undefined && limit !== undefined
    if (isUnchanged || (isOtherValue && nowMs - next.loggedAtMs < LOG_INTERVAL_MS)) return next
    const { instances, rank } = this.getPlace(target)
    const change = limit === undefined ? 'target limit ended' : 'target limit changed'
    log.recordStateChange(change, { target, before: known?.perSecond, limit, source, ageMs: Math.round(nowMs - observedAtMs), instances, rank })
    return { ...next, loggedAtMs: nowMs }
  }

  /** Returns how this instance may use a target; undefined when no limit of its present incarnation is known. */
  private findUse ({ name, startedAtMs }: RelayTarget): TurnUse | undefined {
    const record = this.records.get(name)
    if (record?.perSecond === undefined || record.startedAtMs !== startedAtMs) return undefined
    return findTurnUse({ current: countTurns(record, this.options.clock.nowMs()), perSecond: limitRate(record.perSecond), lastUsed: record.lastUsedTurn }, this.getPlace(name))
  }

  private getPlace (target: string): FleetPlace {
    const { clock, countInstances, getRank } = this.options
    const cached = this.places.get(target)
    if (cached !== undefined && clock.nowMs() - cached.atMs < PLACE_TTL_MS) return cached
    const place = { instances: countInstances(), rank: getRank(target), atMs: clock.nowMs() }
    this.places.set(target, place)
    return place
  }

  private prune (): void {
    const nowMs = this.options.clock.nowMs()
    for (const [target, { perSecond, observedAtMs }] of this.records) {
      if (nowMs - observedAtMs < (perSecond === undefined ? END_RETENTION_MS : LIMIT_RETENTION_MS)) continue
      this.records.delete(target)
      this.places.delete(target)
    }
  }
}

function limitRate (perSecond: number): number {
  return Math.max(MIN_RATE_PER_SECOND, perSecond)
}

/** Counts the turns until a clock reading; there are no further ones after the limit has ended. */
function countTurns ({ perSecond, turns, countedAtMs }: LimitRecord, nowMs: number): number {
  return perSecond === undefined ? turns : turns + limitRate(perSecond) * (nowMs - countedAtMs) / MS_PER_SECOND
}
