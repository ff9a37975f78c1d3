import { type CancelTimer, type Clock, SystemRandom } from '@fescuespoke/common'
import { FairQueue } from '@fescuespoke/scheduling'
import { type AdmissionItem, type AdmissionSubject, formatPool, formatPriorityKey } from '../admission/AdmissionSubject.js'
import { FairAdmission, type FairAdmissionOptions, type RetryAdvice } from '../admission/FairAdmission.js'
import { type AdmissionResult } from '../logs/RelayMetrics.js'
import { type RelayPlacer, type TargetRequirements } from './RelayPlacer.js'
import { type TargetReservation } from './TargetReservation.js'

/**
 * Options of an admission queue. While `isLoadPartial` returns true, requests wait fairly by workspace, are refused early, and leave
 * capacity for more urgent ones; by default it returns false.
 */
export interface AdmissionQueueOptions extends Partial<Omit<FairAdmissionOptions, 'clock'>> {
  readonly clock: Clock
  readonly placer: RelayPlacer
  /** Maximum number of waiting requests. */
  readonly maxWaiting?: number
}

/** A request for a target. */
export interface AdmissionRequest extends AdmissionSubject {
  readonly requirements: TargetRequirements
  /** Clock reading at which the wait of the caller began; older requests go first. */
  readonly waitStartedAtMs: number
  /** Maximum time to wait, in milliseconds. */
  readonly maxWaitMs: number
  /** Returns whether the request may go on to wait; by default it may. */
  readonly mayWait?: () => boolean
  /** Whether the request waits for the next attempt to admit requests, even if a target seems free; by default it does not. */
  readonly mustWait?: boolean
  /** Whether the caller has a part of the answer, so that the request goes before others and waits for its whole time; by default it does not. */
  readonly hasStarted?: boolean
}

const DEFAULT_MAX_WAITING = 400

/** Interval at which waiting requests are tried again even if this instance released no target, in milliseconds. */
const RETRY_INTERVAL_MS = 50

interface QueuedRequest extends AdmissionItem {
  readonly options: AdmissionRequest
  /** Clock reading at which its wait ends. */
  readonly waitEndsAtMs: number
  readonly finish: (reservation: TargetReservation | undefined) => void
}

/** Requests of one pool in one pass over the queue: the work that still waits, and the time until a target opens if the first is blocked. */
interface PoolPass {
  waitingCost: number
  openingMs?: number
}

/** Queue of requests that wait for an engine with free capacity, sorted by priority and then by age or, while loads are known in part, fairly by workspace. */
export class AdmissionQueue {
  /**
   * Creates an empty queue.
   * @param options - Options of the queue.
   */
  static create (options: AdmissionQueueOptions): AdmissionQueue {
    return new AdmissionQueue(options)
  }

  private readonly queue = FairQueue.create<QueuedRequest>('fair')
  private readonly admission: FairAdmission
  private cancelRetry: CancelTimer | undefined

  /** @internal */
  private constructor (private readonly options: AdmissionQueueOptions) {
    const { isLoadPartial = () => false, countInstances = () => Infinity, random = SystemRandom.create() } = options
    this.admission = FairAdmission.create({ ...options, isLoadPartial, countInstances, random })
    options.placer.addCapacityListener(() => this.admitQueued())
  }

  /** Counts the waiting requests. */
  countWaiting (): number {
    return this.queue.count()
  }

  /**
   * Reserves a target; waits for free capacity as long as the options allow.
   * @param options - Options of the request.
   * @returns The reservation; undefined when no target had capacity in time.
   */
  async waitForTarget (options: AdmissionRequest): Promise<TargetReservation | undefined> {
    const item = this.admission.isActive() ? this.recordRequest(options) : createItemByAge(options)
    const mayTakeNow = options.mustWait !== true && (options.hasStarted === true || this.isFirst(item))
    const reservation = mayTakeNow ? this.reserveTarget(item, options) : undefined
    if (reservation !== undefined) this.recordPlacement(item, options, reservation, this.isBacklogged(item))
    if (reservation === undefined && this.canWait(item, options)) return await this.waitForCapacity(item, options)
    this.countResult(item, reservation === undefined ? 'refusedAtOnce' : 'placed')
    return reservation
  }

  /**
   * Estimates how long a request would wait for the work that goes before it, in milliseconds; 0 while this is not known.
   * @param request - The request; work that was promised to other callers counts within its maximum wait.
   */
  estimateWaitMs (request: AdmissionSubject & { readonly maxWaitMs?: number }): number {
    return this.admission.isActive() ? this.estimateItemWaitMs(this.admission.createItem(request), request.maxWaitMs ?? 0) : 0
  }

  /**
   * Schedules the return of a caller that is refused because there is no capacity.
   * @param request - The request.
   * @param remainingMs - Time for which the caller still waits, in milliseconds.
   * @returns Its retry time; undefined when the time at which there will be capacity is not known.
   */
  scheduleReturn (request: AdmissionSubject, remainingMs: number): RetryAdvice | undefined {
    if (!this.admission.isActive()) return undefined
    const item = this.admission.createItem(request)
    return this.admission.scheduleReturn(request, { costAhead: this.estimateCostAhead(item), waiting: this.countInPool(item.pool) }, remainingMs)
  }

  /** Drops the estimates that were made before a pause of the process. */
  dropEstimates (): void {
    this.admission.clear()
  }

  private recordRequest (options: AdmissionRequest): AdmissionItem {
    const placed = this.admission.takePlacedItem(options.signal, this.isBacklogged({ pool: formatPool(options), priority: options.priority }))
    if (placed !== undefined) this.queue.refund(placed)
    return this.admission.recordRequest({ arrivedAtMs: options.waitStartedAtMs, ...options })
  }

  /** Returns whether no waiting request for the same targets goes before a new one. */
  private isFirst (item: AdmissionItem): boolean {
    if (this.admission.isActive()) return this.estimateCostAhead(item) === 0
    return !this.queue.list().some(other => other.pool === item.pool && isBefore(other, item))
  }

  private canWait (item: AdmissionItem, options: AdmissionRequest): boolean {
    const { maxWaitMs, hasStarted } = options
    if (maxWaitMs <= 0 || !this.canBeAdmitted(options)) return false
    if (hasStarted === true) return true
    if (this.getOpeningMs(options) > maxWaitMs) return false
    if (this.admission.isActive()) return this.estimateItemWaitMs(item, maxWaitMs) <= maxWaitMs
    return this.queue.count() < this.getMaxWaiting()
  }

  private async waitForCapacity (item: AdmissionItem, options: AdmissionRequest): Promise<TargetReservation | undefined> {
    const { clock } = this.options
    return await new Promise(resolve => {
      const finish = (reservation: TargetReservation | undefined): void => {
        cancelTimer()
        options.signal.removeEventListener('abort', cancelWait)
        this.removeRequest(entry, reservation)
        resolve(reservation)
      }
      const cancelWait = (): void => finish(undefined)
      const entry: QueuedRequest = { ...item, options, waitEndsAtMs: clock.nowMs() + options.maxWaitMs, finish }
      const cancelTimer = clock.startTimer(options.maxWaitMs, cancelWait)
      options.signal.addEventListener('abort', cancelWait)
      this.queue.add(entry)
      this.recordBacklog(item)
      if (this.queue.count() > this.getMaxWaiting()) this.listWaiting(false).at(-1)?.finish(undefined)
      this.scheduleRetry()
    })
  }

  private removeRequest (entry: QueuedRequest, reservation: TargetReservation | undefined): void {
    if (reservation === undefined) {
      this.queue.withdraw(entry)
      this.recordBacklog(entry)
    } else {
      this.queue.remove(entry, true)
      this.recordPlacement(entry, entry.options, reservation, true)
    }
    this.countResult(entry, reservation === undefined ? 'refusedAfterWait' : 'placedAfterWait')
  }

  /** Admits the streams that have started; none of them waits behind another one that needs more. */
  private admitStarted (): void {
    for (const { options, finish, ...item } of this.listWaiting(true)) {
      const reservation = options.mayWait?.() === false ? undefined : this.reserveTarget(item, options)
      if (reservation !== undefined || options.mayWait?.() === false || !this.canBeAdmitted(options)) finish(reservation)
    }
  }

  private admitQueued (): void {
    this.admitStarted()
    const passes = new Map<string, PoolPass>()
    const nowMs = this.options.clock.nowMs()
    for (const entry of this.listWaiting(false)) {
      const { options, pool, waitEndsAtMs, finish } = entry
      if (options.mayWait?.() === false) {
        finish(undefined)
        continue
      }
      const pass = passes.get(pool) ?? { waitingCost: 0 }
      passes.set(pool, pass)
      if (pass.openingMs === undefined) {
        const reservation = this.reserveTarget(entry, options)
        if (reservation !== undefined || !this.canBeAdmitted(options)) {
          finish(reservation)
          // The engine may refuse; the requests behind this one are admitted after its answer.
          if (reservation !== undefined && options.requirements.isDecidedByEngine === true) pass.openingMs = 0
          continue
        }
        pass.openingMs = this.getOpeningMs(options)
      }
      if (Math.max(pass.openingMs, this.estimateQueuedMs(entry, pass.waitingCost)) > waitEndsAtMs - nowMs) finish(undefined)
      else pass.waitingCost += entry.cost
    }
    this.recordBacklogs()
  }

  /** Reserves a target that leaves more urgent requests their capacity; a stream that has begun does not wait for it. */
  private reserveTarget (item: AdmissionItem, { requirements }: AdmissionRequest): TargetReservation | undefined {
    const { placer } = this.options
    if (!this.admission.isActive() || requirements.origin !== undefined) return placer.reserveBestTarget(requirements)
    return placer.reserveBestTarget({ ...requirements, getHeadroomTokens: this.admission.findHeadroom(item, () => placer.listUsableNames(requirements.service)) })
  }

  private recordPlacement (item: AdmissionItem, options: AdmissionRequest, reservation: TargetReservation, wasBacklogged: boolean): void {
    if (this.admission.isActive()) this.admission.recordPlacement(item, options, reservation, { wasBacklogged, isBacklogged: this.isBacklogged(item) })
  }

  private recordBacklog (item: AdmissionItem): void {
    if (this.admission.isActive()) this.admission.recordBacklog(item, this.isBacklogged(item))
  }

  /** Records the backlog of each pool and priority once. */
  private recordBacklogs (): void {
    if (!this.admission.isActive()) return
    const firsts = new Map(this.queue.list().map(entry => [formatPriorityKey(entry.pool, entry.priority), entry]))
    for (const entry of firsts.values()) this.admission.recordBacklog(entry, true)
  }

  private countResult ({ service }: AdmissionItem, result: AdmissionResult): void {
    if (this.admission.isActive()) this.options.metrics?.countAdmission(service, result)
  }

  private isBacklogged ({ pool, priority }: Pick<AdmissionItem, 'pool' | 'priority'>): boolean {
    return this.queue.list().some(other => other.pool === pool && other.priority === priority)
  }

  /** Lists the waiting requests whose answer has started, or all others, in their order. */
  private listWaiting (hasStarted: boolean): QueuedRequest[] {
    return this.queue.list().filter(({ options }) => (options.hasStarted === true) === hasStarted)
  }

  private countInPool (pool: string): number {
    return this.queue.list().reduce((count, other) => other.pool === pool ? count + 1 : count, 0)
  }

  private estimateCostAhead (item: AdmissionItem): number {
    return this.queue.estimateWorkAhead(item, other => other.pool === item.pool)
  }

  private estimateItemWaitMs (item: AdmissionItem, withinMs: number): number {
    return this.admission.estimateMs(item, this.estimateCostAhead(item) + this.admission.sumPromisedCost(item, withinMs))
  }

  private estimateQueuedMs (entry: QueuedRequest, costAhead: number): number {
    return this.admission.isActive() ? this.admission.estimateMs(entry, costAhead) : 0
  }

  private getMaxWaiting (): number {
    return this.options.maxWaiting ?? DEFAULT_MAX_WAITING
  }

  /** Returns whether a request can be admitted later; a stream cannot when no target of its version is left. */
  private canBeAdmitted ({ requirements }: AdmissionRequest): boolean {
    return requirements.origin === undefined || this.options.placer.hasSuitableTarget(requirements)
  }

  /** Returns the time until a target of the requested service and version opens, in milliseconds; 0 unless all are closed. */
  private getOpeningMs ({ requirements }: AdmissionRequest): number {
    return this.options.placer.findClosure(requirements.service, requirements)?.waitMs ?? 0
  }

  private scheduleRetry (): void {
    if (this.cancelRetry !== undefined || this.queue.count() === 0) return
    this.cancelRetry = this.options.clock.startTimer(RETRY_INTERVAL_MS, () => {
      this.cancelRetry = undefined
      this.admitQueued()
      this.scheduleRetry()
    })
  }
}

/** Creates the item of a request by which requests are sorted by priority and age alone. */
function createItemByAge (request: AdmissionRequest): AdmissionItem {
  const { requirements: { service, tokens }, priority, waitStartedAtMs } = request
  return { pool: formatPool(request), service: service.name, workspace: '', priority, rank: waitStartedAtMs, cost: Math.max(1, tokens), weight: 1 }
}

function isBefore (a: AdmissionItem, b: AdmissionItem): boolean {
  return a.priority !== b.priority ? a.priority < b.priority : a.rank < b.rank
}
