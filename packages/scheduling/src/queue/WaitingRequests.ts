import { addJitter, type CancelTimer, type Clock, type Random } from '@fescuespoke/common'
import { type Priority, type Reason } from '@fescuespoke/schema'
import { Result } from 'true-myth'
import { type Policy } from '../policies/policies.js'
import { type Placement, type PlacementRefusal, type PlacementRequest } from '../Scheduler.js'
import { FairQueue, type QueuedItem } from './FairQueue.js'
import { PoolRates } from './PoolRates.js'

/** One request that waits for a target. */
export interface WaitingRequest extends QueuedItem {
  readonly request: PlacementRequest
  readonly priority: Priority
  /** Name of the set of targets that it competes for. */
  readonly pool: string
  /** Time from dispatch to the complete answer if it is a short one from a fast target, in milliseconds. */
  readonly shortestMs: number
  readonly enqueuedMs: number
}

/** Options of the waiting requests. */
export interface WaitingRequestsOptions {
  readonly clock: Clock
  readonly random: Random
  readonly policy: Policy
  /** Most requests that wait at once. */
  readonly maxQueued: number
}

/** How the wait of a request ended. */
export type WaitResult = Result<Placement, PlacementRefusal>

interface Wait {
  readonly item: WaitingRequest
  readonly end: (result: WaitResult, wasServed: boolean) => void
}

/** Longest wait, as a share of the time from arrival to the deadline. */
const MAX_WAIT_SHARE = 0.2

const MIN_RETRY_AFTER_MS = 500
const MAX_RETRY_AFTER_MS = 30_000

/** Holds waiting requests and refuses those that cannot succeed any more. */
export class WaitingRequests {
  /**
   * Creates an empty holder.
   * @param options - Options.
   */
  static create (options: WaitingRequestsOptions): WaitingRequests {
    return new WaitingRequests(options)
  }

  private readonly queue: FairQueue<WaitingRequest>
  private readonly waits = new Map<WaitingRequest, Wait>()
  private readonly rates: PoolRates

  /** @internal */
  private constructor (private readonly options: WaitingRequestsOptions) {
    this.queue = FairQueue.create(options.policy.order)
    this.rates = PoolRates.create(options.clock)
  }

  /** Counts the waiting requests. */
  count (): number {
    return this.queue.count()
  }

  /** Lists the waiting requests in the order in which they would be served. */
  list (): WaitingRequest[] {
    return this.queue.list()
  }

  /**
   * Counts the waiting requests of a pool.
   * @param pool - Name of the pool.
   */
  countOf (pool: string): number {
    return this.list().filter(item => item.pool === pool).length
  }

  /**
   * Checks whether requests of the same pool wait that are served before this one.
   * @param item - The request.
   */
  hasBefore (item: WaitingRequest): boolean {
    if (this.count() === 0) return false
    return this.queue.estimateWorkBefore(item, other => other.pool === item.pool) > 0
  }

  /**
   * Observes that a request was placed.
   * @param item - The request.
   */
  observePlaced (item: WaitingRequest): void {
    this.rates.observePool(item.pool, this.countOf(item.pool) > 0, item.cost)
  }

  /**
   * Checks whether a request could wait with success, and refuses it otherwise.
   * @param item - The request.
   */
  checkWait (item: WaitingRequest): Result<number, PlacementRefusal> {
    const limitMs = this.computeLimitMs(item)
    if (this.options.policy.refusal === 'deadline') return Result.ok(limitMs)
    const expectedMs = this.estimateWaitMs(item)
    if (limitMs <= 0) return Result.err(this.createRefusal('deadlineExceeded', item, 'the answer would come after its deadline'))
    if (expectedMs > limitMs) return Result.err(this.createRefusal('overloaded', item, `expected wait ${Math.round(expectedMs)} ms, limit ${Math.round(limitMs)} ms`))
    return Result.ok(limitMs)
  }

  /**
   * Waits until a request is placed or refused.
   * @param item - The request.
   * @param limitMs - Longest wait in milliseconds.
   */
  async waitForPlacement (item: WaitingRequest, limitMs: number): Promise<WaitResult> {
    return await new Promise(resolve => {
      const { signal } = item.request
      let cancelTimer: CancelTimer = () => {}
      const end = (result: WaitResult, wasServed: boolean): void => {
        if (!this.waits.delete(item)) return
        cancelTimer()
        signal.removeEventListener('abort', abort)
        this.queue.remove(item, wasServed)
        this.rates.observePool(item.pool, this.countOf(item.pool) > 0)
        resolve(result)
      }
      const abort = (): void => end(Result.err({ reason: 'cancelledByCaller', detail: 'cancelled while waiting' }), false)
      cancelTimer = this.options.clock.startTimer(limitMs, () => end(Result.err(this.createRefusal(this.getTimeoutReason(), item, 'no target had room in time')), false))
      signal.addEventListener('abort', abort)
      this.waits.set(item, { item, end })
      this.queue.add(item)
      this.rates.observePool(item.pool, true)
      this.refuseOverflow()
    })
  }

  /**
   * Ends the wait of a request with its placement.
   * @param item - The request.
   * @param placement - Its placement.
   */
  settle (item: WaitingRequest, placement: Placement): void {
    this.waits.get(item)?.end(Result.ok(placement), true)
  }

  /** Refuses the request that would be served last when too many wait. */
  private refuseOverflow (): void {
    if (this.queue.count() <= this.options.maxQueued) return
    const last = this.queue.list().at(-1)
    if (last !== undefined) this.waits.get(last)?.end(Result.err(this.createRefusal('queueFull', last, 'the queue is full')), false)
  }

  private getTimeoutReason (): Reason {
    return this.options.policy.refusal === 'early' ? 'overloaded' : 'deadlineExceeded'
  }

  private computeLimitMs (item: WaitingRequest): number {
    const leftMs = item.request.deadlineMs - this.options.clock.nowMs()
    if (this.options.policy.refusal === 'deadline') return leftMs
    return Math.min(leftMs * MAX_WAIT_SHARE, leftMs - item.shortestMs)
  }

  private estimateWaitMs (item: WaitingRequest): number {
    const work = this.queue.estimateWorkBefore(item, other => other.pool === item.pool)
    return work === 0 ? 0 : work / this.rates.getCostPerMs(item.pool)
  }

  private createRefusal (reason: Reason, item: WaitingRequest, detail: string): PlacementRefusal {
    const waitMs = Math.min(MAX_RETRY_AFTER_MS, Math.max(MIN_RETRY_AFTER_MS, this.estimateWaitMs(item)))
    return { reason, detail, retryAfterMs: Math.round(addJitter(this.options.random, waitMs)) }
  }
}
