import { type Clock, rankByRendezvous } from '@fescuespoke/common'
import { type DecisionLog } from '../logs/DecisionLog.js'
import { type RelayTarget } from '../model/RelayTarget.js'
import { RecentSums } from './RecentSums.js'
import { formatPriorityKey } from './AdmissionSubject.js'

/** Options of the headroom. */
export interface UrgentHeadroomOptions {
  readonly clock: Clock
  /** Returns the estimated number of instances; `Infinity` while it is not known. */
  readonly countInstances: () => number
  readonly log?: DecisionLog
}

/** Time over which arrivals are averaged, in milliseconds. After as long without any, no capacity is kept free. */
const ARRIVAL_WINDOW_MS = 10_000

/** Time over which the use by urgent requests is averaged, in milliseconds; longer than a burst in which none finds capacity. */
const USE_WINDOW_MS = 30_000

/** Time in advance for which capacity is kept free, in milliseconds. */
const HORIZON_MS = 1000

/** Time for which the ranks of engines are cached, in milliseconds. */
const RANKS_TTL_MS = 1000

/** Interval between log lines about one service and priority, in milliseconds. */
const LOG_INTERVAL_MS = 10_000

/** Memory that requests of one priority need together. */
interface Demand {
  /** Memory of one request, in tokens. */
  readonly requestTokens: number
  /** Number of requests for which all engines together keep memory free. */
  readonly requests: number
}

/** Engines of a service in an order that is the same at all instances. */
interface EngineRanks {
  readonly rankedAtMs: number
  readonly ranks: ReadonlyMap<string, number>
}

/**
 * Memory of engines that less urgent requests leave free for the urgent ones of the next second, when a burst of less urgent requests
 * comes before urgent ones. It is at most the memory that urgent requests had at the same time on average. Memory is kept for whole
 * requests: where there are fewer of them than engines, some engines keep one each, the same ones at all instances.
 */
export class UrgentHeadroom {
  /**
   * Creates a headroom without recorded requests.
   * @param options - Options of the headroom.
   */
  static create (options: UrgentHeadroomOptions): UrgentHeadroom {
    return new UrgentHeadroom(options)
  }

  private readonly arrivals: RecentSums<string>
  private readonly uses: RecentSums<string>
  private readonly enginesByService = new Map<string, EngineRanks>()
  private readonly loggedAtMs = new Map<string, number>()

  /** @internal */
  private constructor (private readonly options: UrgentHeadroomOptions) {
    this.arrivals = RecentSums.create(options.clock, ARRIVAL_WINDOW_MS)
    this.uses = RecentSums.create(options.clock, USE_WINDOW_MS)
  }

  /**
   * Records a request that arrived.
   * @param service - Name of the service.
   * @param priority - Priority of the request.
   * @param tokens - Memory that it needs, in tokens.
   */
  recordArrival (service: string, priority: number, tokens: number): void {
    this.arrivals.add(formatPriorityKey(service, priority), tokens)
  }

  /**
   * Records a request that has released its engine.
   * @param service - Name of the service.
   * @param priority - Priority of the request.
   * @param use - Memory that it needed in tokens, and the time for which it had the engine in milliseconds.
   */
  recordUse (service: string, priority: number, { tokens, heldMs }: { readonly tokens: number, readonly heldMs: number }): void {
    this.uses.add(formatPriorityKey(service, priority), tokens * heldMs)
  }

  /**
   * Returns the memory that a request has to leave free at each engine for more urgent ones, in tokens; undefined when there is none to leave.
   * @param service - Name of the service.
   * @param priority - Priority of the request.
   * @param listEngines - Returns the names of the engines that share the urgent requests.
   */
  findTokens (service: string, priority: number, listEngines: () => readonly string[]): ((engine: RelayTarget) => number) | undefined {
    const ranks = this.getRanks(service, listEngines)
    const demands = Array.from({ length: Math.max(0, priority) }, (_, urgent) => this.findDemand(service, urgent, ranks.size)).filter(demand => demand !== undefined)
    if (demands.length === 0) return undefined
    return ({ name }) => demands.reduce((sum, demand) => sum + computeEngineTokens(demand, ranks, name), 0)
  }

  /** Drops all recorded requests. */
  clear (): void {
    this.arrivals.clear()
    this.uses.clear()
  }

  private findDemand (service: string, priority: number, engineCount: number): Demand | undefined {
    const key = formatPriorityKey(service, priority)
    const { count, amount } = this.arrivals.getSum(key)
    const instances = this.options.countInstances()
    if (count === 0 || engineCount === 0 || !Number.isFinite(instances)) return undefined
    const usedTokens = this.uses.getSum(key).amount / USE_WINDOW_MS
    const requestTokens = amount / count
    const ownTokens = Math.min(amount * HORIZON_MS / ARRIVAL_WINDOW_MS, usedTokens)
    const requests = Math.floor(ownTokens * instances / requestTokens)
    this.logDemand(key, { service, priority, arrivals: count, arrivedTokens: Math.round(amount), usedTokens: Math.round(usedTokens), instances, engines: engineCount, requests })
    return requests > 0 ? { requestTokens, requests } : undefined
  }

  private getRanks (service: string, listEngines: () => readonly string[]): ReadonlyMap<string, number> {
    const nowMs = this.options.clock.nowMs()
    let engines = this.enginesByService.get(service)
    if (engines === undefined || nowMs - engines.rankedAtMs >= RANKS_TTL_MS) {
      engines = { rankedAtMs: nowMs, ranks: new Map(rankByRendezvous(service, listEngines()).map((name, rank) => [name, rank])) }
      this.enginesByService.set(service, engines)
    }
    return engines.ranks
  }

  private logDemand (key: string, fields: Readonly<Record<string, unknown>>): void {
    const nowMs = this.options.clock.nowMs()
    if (nowMs - (this.loggedAtMs.get(key) ?? -Infinity) < LOG_INTERVAL_MS) return
    this.loggedAtMs.set(key, nowMs)
    this.options.log?.recordStateChange('capacity kept free', fields)
  }
}

/** Divides the requests among the engines; those of the lowest ranks get one more where they cannot be divided evenly. */
function computeEngineTokens ({ requestTokens, requests }: Demand, ranks: ReadonlyMap<string, number>, engine: string): number {
  const rank = ranks.get(engine)
  return rank === undefined ? 0 : Math.ceil((requests - rank) / ranks.size) * requestTokens
}
