import { type Clock, computeHashShare } from '@fescuespoke/common'
import { type DecisionLog } from '../logs/DecisionLog.js'
import { type RelayTarget } from '../model/RelayTarget.js'
import { RecentSums } from './RecentSums.js'

/** Options of the headroom. */
export interface UrgentHeadroomOptions {
  readonly clock: Clock
  /** Returns the estimated number of instances; `Infinity` while it is not known. */
  readonly countInstances: () => number
  readonly log?: DecisionLog
}

/** Time over which arrivals are averaged, in milliseconds. After as long without any, no capacity is kept free. */
const ARRIVAL_WINDOW_MS = 10_000

/** Time over which the use by urgent requests bounds the headroom, in milliseconds; longer than a burst in which none finds capacity. */
const USE_WINDOW_MS = 30_000

/** Time for which capacity is kept free in advance, in milliseconds. */
const HORIZON_MS = 1000

/** Interval between log lines about one service and priority, in milliseconds. */
const LOG_INTERVAL_MS = 10_000

/** Memory that requests of one priority need together, and the service. */
interface Demand {
  readonly service: string
  readonly priority: number
  /** Memory of one request, in tokens. */
  readonly requestTokens: number
  /** Number of requests for which each engine keeps memory free, on average. */
  readonly perEngine: number
}

/**
 * Memory of engines that less urgent requests leave free for the urgent ones of the next second, when a burst of less urgent requests
 * comes before urgent ones. Memory is kept for whole requests: where an engine has less than one, a share of the engines keeps one each,
 * the same ones at all instances.
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
    this.arrivals.add(formatKey(service, priority), tokens)
  }

  /**
   * Records a request that was placed.
   * @param service - Name of the service.
   * @param priority - Priority of the request.
   * @param tokens - Memory that it needs, in tokens.
   */
  recordUse (service: string, priority: number, tokens: number): void {
    this.uses.add(formatKey(service, priority), tokens)
  }

  /**
   * Returns the memory that a request has to leave free at each engine for more urgent ones, in tokens; undefined when there is none to leave.
   * @param service - Name of the service.
   * @param priority - Priority of the request.
   * @param engineCount - Number of engines that share the urgent requests.
   */
  findTokens (service: string, priority: number, engineCount: number): ((engine: RelayTarget) => number) | undefined {
    const demands = Array.from({ length: Math.max(0, priority) }, (_, urgent) => this.findDemand(service, urgent, engineCount)).filter(demand => demand !== undefined)
    if (demands.length === 0) return undefined
    return ({ name }) => demands.reduce((sum, demand) => sum + computeEngineTokens(demand, name), 0)
  }

  /** Drops all recorded requests. */
  clear (): void {
    this.arrivals.clear()
    this.uses.clear()
  }

  private findDemand (service: string, priority: number, engineCount: number): Demand | undefined {
    const key = formatKey(service, priority)
    const { count, amount } = this.arrivals.getSum(key)
    const instances = this.options.countInstances()
    if (count === 0 || engineCount === 0 || !Number.isFinite(instances)) return undefined
    const usedTokens = this.uses.getSum(key).amount
    const requestTokens = amount / count
    const ownTokens = Math.min(amount * HORIZON_MS / ARRIVAL_WINDOW_MS, usedTokens)
    const perEngine = ownTokens * instances / engineCount / requestTokens
    this.logDemand(key, { service, priority, arrivals: count, arrivedTokens: Math.round(amount), usedTokens: Math.round(usedTokens), instances, engines: engineCount, perEngine })
    return perEngine > 0 ? { service, priority, requestTokens, perEngine } : undefined
  }

  private logDemand (key: string, fields: Readonly<Record<string, unknown>>): void {
    const nowMs = this.options.clock.nowMs()
    if (nowMs - (this.loggedAtMs.get(key) ?? -Infinity) < LOG_INTERVAL_MS) return
    this.loggedAtMs.set(key, nowMs)
    this.options.log?.recordStateChange('capacity kept free', fields)
  }
}

function formatKey (service: string, priority: number): string {
  return `${priority}\u0000${service}`
}

function computeEngineTokens ({ service, priority, requestTokens, perEngine }: Demand, engine: string): number {
  const whole = Math.floor(perEngine)
  const hasOneMore = computeHashShare(`${engine}\u0000${service}\u0000${priority}`) < perEngine - whole
  return (whole + (hasOneMore ? 1 : 0)) * requestTokens
}
