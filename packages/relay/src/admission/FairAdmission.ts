import { type Clock, type Random } from '@fescuespoke/common'
import { type DecisionLog, type LogFields } from '../logs/DecisionLog.js'
import { type RelayMetrics } from '../logs/RelayMetrics.js'
import { type RelayTarget } from '../model/RelayTarget.js'
import { type TargetReservation } from '../placement/TargetReservation.js'
import { type AdmissionItem, type AdmissionSubject, formatPool } from './AdmissionSubject.js'
import { ExpectedWait } from './ExpectedWait.js'
import { type RetryKind, RetrySchedule, type ReturningCaller } from './RetrySchedule.js'
import { UrgentHeadroom } from './UrgentHeadroom.js'
import { WorkspaceShares } from './WorkspaceShares.js'

/** Options of the fair admission. */
export interface FairAdmissionOptions {
  readonly clock: Clock
  readonly random: Random
  /** Returns whether this instance knows only a part of the loads of engines; the decisions below are taken only then. */
  readonly isLoadPartial: () => boolean
  /** Returns the estimated number of instances; `Infinity` while it is not known. */
  readonly countInstances: () => number
  readonly log?: DecisionLog
  readonly metrics?: RelayMetrics
}

/** Queue as a request finds it. */
export interface QueueState {
  /** Work of the waiting requests that go before it, in tokens. */
  readonly costAhead: number
  /** Number of waiting requests for the same targets. */
  readonly waiting: number
}

/** Retry time of a refused caller and the inputs from which it was computed, for the log. */
export interface RetryAdvice {
  readonly retryAfterMs: number
  readonly inputs: LogFields
}

/** What is known about one request from earlier calls. */
interface KnownRequest {
  readonly returning?: ReturningCaller
  /** Its item, if it was placed in an earlier call, and whether its work counted for the rate. */
  readonly placed?: { readonly item: AdmissionItem, readonly wasCounted: boolean }
}

const MS_PER_SECOND = 1000

/**
 * Decisions on requests that compete for too little capacity at an instance that does not know all loads: the order of workspaces, the
 * capacity that less urgent requests leave free, expected waits, and the times at which refused callers return.
 */
export class FairAdmission {
  /**
   * Creates an admission without recorded requests.
   * @param options - Options of the admission.
   */
  static create (options: FairAdmissionOptions): FairAdmission {
    return new FairAdmission(options)
  }

  private readonly shares: WorkspaceShares
  private readonly headroom: UrgentHeadroom
  private readonly expectedWait: ExpectedWait
  private readonly schedule: RetrySchedule
  private known = new WeakMap<AbortSignal, KnownRequest>()

  /** @internal */
  private constructor (private readonly options: FairAdmissionOptions) {
    this.shares = WorkspaceShares.create(options.clock)
    this.headroom = UrgentHeadroom.create(options)
    this.expectedWait = ExpectedWait.create(options.clock)
    this.schedule = RetrySchedule.create(options)
  }

  /** Returns whether the decisions are taken. */
  isActive (): boolean {
    return this.options.isLoadPartial()
  }

  /**
   * Creates the queue's item of a request.
   * @param subject - The request.
   */
  createItem (subject: AdmissionSubject): AdmissionItem {
    const { requirements: { service, tokens }, workspace = '', priority, cost = tokens, arrivedAtMs = this.options.clock.nowMs(), signal } = subject
    const rank = this.known.get(signal)?.returning?.firstArrivedAtMs ?? arrivedAtMs
    return { pool: formatPool(subject), service: service.name, workspace, priority, rank, cost: Math.max(1, cost), weight: this.shares.getWeight(workspace) }
  }

  /**
   * Records that a request asks for a target and returns its item. Later calls about one request are not further demand.
   * @param subject - The request.
   */
  recordRequest (subject: AdmissionSubject): AdmissionItem {
    const { requirements, workspace = '', priority, cost = requirements.tokens, signal, requestId } = subject
    if (this.known.has(signal)) return this.createItem(subject)
    this.shares.recordArrival(workspace, cost)
    this.headroom.recordArrival(requirements.service.name, priority, requirements.tokens)
    const returning = this.schedule.takeReturn(this.createItem(subject))
    this.known.set(signal, { returning })
    if (returning !== undefined) {
      this.options.metrics?.countAdmission(requirements.service.name, 'returned')
      this.logReturn(requestId, returning)
    }
    return this.createItem(subject)
  }

  /**
   * Returns the item of a request that was placed in an earlier call and refused by the engine, after its work has been taken out of the measured rate.
   * @param signal - Signal of the request.
   * @param isBacklogged - Whether requests of the same priority wait for the same targets.
   */
  takePlacedItem (signal: AbortSignal, isBacklogged: boolean): AdmissionItem | undefined {
    const request = this.known.get(signal)
    if (request?.placed === undefined) return undefined
    const { item, wasCounted } = request.placed
    this.known.set(signal, { ...request, placed: undefined })
    if (wasCounted) this.expectedWait.observeWork({ ...item, cost: -item.cost }, isBacklogged)
    return item
  }

  /**
   * Returns the memory that a request has to leave free at each engine, in tokens; undefined when there is none to leave.
   * @param item - The request.
   * @param listEngines - Returns the names of the engines of the service.
   */
  findHeadroom ({ service, priority }: AdmissionItem, listEngines: () => readonly string[]): ((engine: RelayTarget) => number) | undefined {
    return this.headroom.findTokens(service, priority, listEngines)
  }

  /**
   * Records that a request was placed.
   * @param item - The request.
   * @param subject - What it asked for.
   * @param reservation - Its reservation.
   * @param queue - Whether requests of the same priority waited for the same targets before, and whether they do now.
   */
  recordPlacement (item: AdmissionItem, { requirements: { tokens }, signal }: AdmissionSubject, reservation: TargetReservation, queue: { readonly wasBacklogged: boolean, readonly isBacklogged: boolean }): void {
    this.known.set(signal, { ...this.known.get(signal), placed: { item, wasCounted: queue.wasBacklogged } })
    const { clock } = this.options
    const placedAtMs = clock.nowMs()
    reservation.addReleaseListener(() => this.headroom.recordUse(item.service, item.priority, { tokens, heldMs: clock.nowMs() - placedAtMs }))
    this.expectedWait.observeWork(item, queue.isBacklogged)
  }

  /**
   * Records whether requests of a priority wait for a pool.
   * @param item - A request of this priority for the pool.
   * @param isBacklogged - Whether requests wait.
   */
  recordBacklog ({ pool, priority }: AdmissionItem, isBacklogged: boolean): void {
    this.expectedWait.observeWork({ pool, priority, cost: 0 }, isBacklogged)
  }

  /**
   * Estimates the wait of a request for work that goes before it, in milliseconds; 0 while the rate is not known.
   * @param item - The request.
   * @param costAhead - Work that goes before it, in tokens.
   */
  estimateMs (item: AdmissionItem, costAhead: number): number {
    return this.expectedWait.estimateMs(item, costAhead)
  }

  /**
   * Returns the work that was promised to other callers within a time and goes before a request, in tokens.
   * @param item - The request.
   * @param withinMs - The time, in milliseconds.
   */
  sumPromisedCost (item: AdmissionItem, withinMs: number): number {
    return this.schedule.sumPromisedCost(item, withinMs)
  }

  /**
   * Schedules the return of a refused caller; undefined while the rate at which capacity opens is not known or nothing was placed.
   * @param subject - The request.
   * @param queue - The queue as the request finds it.
   * @param remainingMs - Time for which the caller still waits, in milliseconds.
   */
  scheduleReturn (subject: AdmissionSubject, { costAhead, waiting }: QueueState, remainingMs: number): RetryAdvice | undefined {
    const item = this.createItem(subject)
    const costPerMs = this.expectedWait.getCostPerMs({ ...item, cost: 0 })
    if (costPerMs <= 0 || !Number.isFinite(costPerMs)) return undefined
    const earliestMs = (costAhead + item.cost) / costPerMs
    const { kind, retryAfterMs, slotMs } = this.schedule.scheduleReturn(item, { earliestMs, costPerMs, remainingMs, slotAtMs: this.known.get(subject.signal)?.returning?.slotAtMs })
    this.options.metrics?.countScheduledRetry(item.service, kind)
    return { retryAfterMs, inputs: { retryKind: kind satisfies RetryKind, expectedWaitMs: Math.round(costAhead / costPerMs), slotMs: Math.round(slotMs), costAhead: Math.round(costAhead), costPerSecond: Math.round(costPerMs * MS_PER_SECOND), waiting } }
  }

  /** Drops everything that was measured and promised before a pause of the process. */
  clear (): void {
    this.shares.clear()
    this.headroom.clear()
    this.expectedWait.clear()
    this.schedule.clear()
    this.known = new WeakMap()
  }

  private logReturn (requestId: string | undefined, { firstArrivedAtMs, slotAtMs }: ReturningCaller): void {
    const nowMs = this.options.clock.nowMs()
    if (requestId !== undefined) this.options.log?.recordDecision(requestId, 'refused caller returned', { sinceFirstMs: Math.round(nowMs - firstArrivedAtMs), untilSlotMs: Math.round(slotAtMs - nowMs) })
  }
}
