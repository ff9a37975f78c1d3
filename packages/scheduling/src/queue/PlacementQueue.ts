import { addJitter, type CancelTimer, type Clock, type Random } from '@fescuespoke/common'
import { type Priority, type Reason } from '@fescuespoke/schema'
import { Result } from 'true-myth'
import { type Policy } from '../policies/policies.js'
import { type Placement, type PlacementRefusal, type PlacementRequest } from '../Scheduler.js'
import { FairQueue, type QueuedItem } from './FairQueue.js'
import { PoolThroughput } from './PoolThroughput.js'

/** Request that waits for a target. */
export interface QueuedRequest extends QueuedItem {
  readonly request: PlacementRequest
  readonly priority: Priority
  /** Name of the set of targets that the request competes for. */
  readonly pool: string
  /** Estimated time from dispatch to the complete answer for a short answer from a fast target, in milliseconds. */
  readonly minDurationMs: number
  readonly enqueuedAtMs: number
}

/** Options of the queue. */
export interface PlacementQueueOptions {
  readonly clock: Clock
  readonly random: Random
  readonly policy: Policy
  /** Maximum number of queued requests. */
  readonly maxQueued: number
}

/** Result of waiting for a placement. */
export type WaitResult = Result<Placement, PlacementRefusal>

interface Waiter {
  readonly item: QueuedRequest
  readonly settle: (result: WaitResult, wasServed: boolean) => void
}

/** Maximum wait, as a fraction of the time from arrival to the deadline. */
const MAX_WAIT_FRACTION = 0.2

const MIN_RETRY_AFTER_MS = 500
const MAX_RETRY_AFTER_MS = 30_000

/** Queue of requests that wait for a target. Refuses requests that can no longer succeed. */
export class PlacementQueue {
  /**
   * Creates an empty queue.
   * @param options - Options.
   */
  static create (options: PlacementQueueOptions): PlacementQueue {
    return new PlacementQueue(options)
  }

  private readonly queue: FairQueue<QueuedRequest>
  private readonly waiters = new Map<QueuedRequest, Waiter>()
  private readonly throughput: PoolThroughput

  /** @internal */
  private constructor (private readonly options: PlacementQueueOptions) {
    this.queue = FairQueue.create(options.policy.queueOrder)
    this.throughput = PoolThroughput.create(options.clock)
  }

  /** Returns the number of queued requests. */
  count (): number {
    return this.queue.count()
  }

  /** Returns the queued requests in the order in which they would be served. */
  list (): QueuedRequest[] {
    return this.queue.list()
  }

  /**
   * Returns the number of queued requests of a pool.
   * @param pool - Name of the pool.
   */
  countInPool (pool: string): number {
    return this.list().filter(item => item.pool === pool).length
  }

  /**
   * Checks whether queued requests of the same pool would be served before this one.
   * @param item - The request.
   */
  hasEarlierRequests (item: QueuedRequest): boolean {
    if (this.count() === 0) return false
    return this.queue.estimateWorkAhead(item, other => other.pool === item.pool) > 0
  }

  /**
   * Records that a request was placed.
   * @param item - The request.
   */
  observePlacement (item: QueuedRequest): void {
    this.throughput.observePool(item.pool, this.countInPool(item.pool) > 0, item.cost)
  }

  /**
   * Checks whether a request can be placed in time if it is queued.
   * @param item - The request.
   * @returns The maximum wait in milliseconds, or a refusal.
   */
  checkExpectedWait (item: QueuedRequest): Result<number, PlacementRefusal> {
    const maxWaitMs = this.computeMaxWaitMs(item)
    if (this.options.policy.refusalTiming === 'deadline') return Result.ok(maxWaitMs)
    const expectedWaitMs = this.estimateWaitMs(item)
    if (maxWaitMs <= 0) return Result.err(this.createRefusal('deadlineExceeded', item, 'the answer would arrive after the deadline'))
    if (expectedWaitMs > maxWaitMs) return Result.err(this.createRefusal('overloaded', item, `expected wait ${Math.round(expectedWaitMs)} ms exceeds maximum wait ${Math.round(maxWaitMs)} ms`))
    return Result.ok(maxWaitMs)
  }

  /**
   * Queues a request until it is placed, refused or cancelled.
   * @param item - The request.
   * @param maxWaitMs - Maximum wait in milliseconds.
   */
  async waitForPlacement (item: QueuedRequest, maxWaitMs: number): Promise<WaitResult> {
    return await new Promise(resolve => {
      const { signal } = item.request
      let cancelTimer: CancelTimer = () => {}
      const settle = (result: WaitResult, wasServed: boolean): void => {
        if (!this.waiters.delete(item)) return
        cancelTimer()
        signal.removeEventListener('abort', abort)
        this.queue.remove(item, wasServed)
        this.throughput.observePool(item.pool, this.countInPool(item.pool) > 0)
        resolve(result)
      }
      const abort = (): void => settle(Result.err({ reason: 'cancelledByCaller', detail: 'cancelled while queued' }), false)
      cancelTimer = this.options.clock.startTimer(maxWaitMs, () => settle(Result.err(this.createRefusal(this.getTimeoutReason(), item, 'no target had capacity in time')), false))
      signal.addEventListener('abort', abort)
      this.waiters.set(item, { item, settle })
      this.queue.add(item)
      this.throughput.observePool(item.pool, true)
      this.refuseOverflow()
    })
  }

  /**
   * Removes a request from the queue and completes its wait with a placement.
   * @param item - The request.
   * @param placement - The placement.
   */
  resolveWait (item: QueuedRequest, placement: Placement): void {
    this.waiters.get(item)?.settle(Result.ok(placement), true)
  }

  /** Refuses the request that would be served last if the queue exceeds its maximum length. */
  private refuseOverflow (): void {
    if (this.queue.count() <= this.options.maxQueued) return
    const last = this.queue.list().at(-1)
    if (last !== undefined) this.waiters.get(last)?.settle(Result.err(this.createRefusal('queueFull', last, 'the queue is full')), false)
  }

  private getTimeoutReason (): Reason {
    return this.options.policy.refusalTiming === 'early' ? 'overloaded' : 'deadlineExceeded'
  }

  private computeMaxWaitMs (item: QueuedRequest): number {
    const remainingMs = item.request.deadlineMs - this.options.clock.nowMs()
    if (this.options.policy.refusalTiming === 'deadline') return remainingMs
    return Math.min(remainingMs * MAX_WAIT_FRACTION, remainingMs - item.minDurationMs)
  }

  private estimateWaitMs (item: QueuedRequest): number {
    const workAhead = this.queue.estimateWorkAhead(item, other => other.pool === item.pool)
    return workAhead === 0 ? 0 : workAhead / this.throughput.getCostPerMs(item.pool)
  }

  private createRefusal (reason: Reason, item: QueuedRequest, detail: string): PlacementRefusal {
    const waitMs = Math.min(MAX_RETRY_AFTER_MS, Math.max(MIN_RETRY_AFTER_MS, this.estimateWaitMs(item)))
    return { reason, detail, retryAfterMs: Math.round(addJitter(this.options.random, waitMs)) }
  }
}
