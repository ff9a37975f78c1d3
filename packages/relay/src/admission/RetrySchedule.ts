import { type Clock, type Random } from '@fescuespoke/common'
import { type AdmissionItem } from './AdmissionSubject.js'

/**
 * What a refused caller is told: the time of its slot, an earlier time since it gives up before, or the time at which there would be
 * capacity although it is too late.
 */
export type RetryKind = 'slot' | 'cut' | 'tooLate'

/** Time after which a refused caller should retry. */
export interface ScheduledRetry {
  readonly kind: RetryKind
  readonly retryAfterMs: number
  /** Time until the slot of the caller, in milliseconds. */
  readonly slotMs: number
}

/** A caller that returned as told. */
export interface ReturningCaller {
  /** Clock reading at which its first known request arrived. */
  readonly firstArrivedAtMs: number
  /** Clock reading of its slot. */
  readonly slotAtMs: number
}

/** What is known about the capacity for a refused request. */
export interface SlotLimits {
  /** Time until the work ahead and this request could have been placed, in milliseconds. */
  readonly earliestMs: number
  /** Rate at which capacity opens, in tokens of work per millisecond. */
  readonly costPerMs: number
  /** Time for which the caller still waits, in milliseconds. */
  readonly remainingMs: number
  /** Clock reading of the slot that the request had before. */
  readonly slotAtMs?: number
}

interface RetryPromise extends ReturningCaller {
  readonly item: AdmissionItem
  readonly toldAtMs: number
}

/** Maximum retry delay as a share of the caller's remaining time, since callers wait no longer than that. */
const MAX_RETRY_SHARE = 1 / 3

/** Range of factors by which a delay that is cut is randomized, so that callers refused at one moment do not return at one moment. */
const MIN_CUT_FACTOR = 0.75

/** Times by which a caller may be earlier or later than told to be recognized, in milliseconds. */
const EARLY_TOLERANCE_MS = 100
const LATE_TOLERANCE_MS = 1000

/** Maximum number of promises; the oldest are dropped first. */
const MAX_PROMISES = 1000

/**
 * Times at which refused callers should return when requests exceed capacity for some seconds. Each gets a slot of its own at the rate at
 * which capacity opens, so that returns do not come together and each finds the capacity that it was told of.
 */
export class RetrySchedule {
  /**
   * Creates an empty schedule.
   * @param options - Clock and random numbers of the instance.
   */
  static create (options: { readonly clock: Clock, readonly random: Random }): RetrySchedule {
    return new RetrySchedule(options.clock, options.random)
  }

  private promises: RetryPromise[] = []

  /** @internal */
  private constructor (private readonly clock: Clock, private readonly random: Random) {}

  /**
   * Schedules the return of a refused caller.
   * @param item - The refused request.
   * @param limits - What is known about the capacity for it.
   */
  scheduleReturn (item: AdmissionItem, limits: SlotLimits): ScheduledRetry {
    const nowMs = this.clock.nowMs()
    const slotAtMs = Math.max(nowMs + limits.earliestMs, limits.slotAtMs ?? this.findNextSlotMs(item, limits.costPerMs))
    const retry = this.createRetry(slotAtMs - nowMs, Math.max(0, limits.remainingMs))
    if (retry.kind !== 'tooLate') this.promises.push({ item, slotAtMs, firstArrivedAtMs: item.rank, toldAtMs: nowMs + retry.retryAfterMs })
    if (this.promises.length > MAX_PROMISES) this.promises.shift()
    return retry
  }

  /**
   * Recognizes a caller that returns as told by its workspace, priority, work and time, and removes its promise.
   * @param item - The request that arrived.
   */
  takeReturn (item: AdmissionItem): ReturningCaller | undefined {
    this.prune()
    const latestMs = this.clock.nowMs() + EARLY_TOLERANCE_MS
    let oldest: RetryPromise | undefined
    for (const promise of this.promises) {
      if (promise.toldAtMs <= latestMs && isSameKind(promise.item, item) && promise.firstArrivedAtMs < (oldest?.firstArrivedAtMs ?? Infinity)) oldest = promise
    }
    this.promises = this.promises.filter(promise => promise !== oldest)
    return oldest
  }

  /**
   * Sums the work that was promised to callers that go before a request, in tokens.
   * @param item - The request.
   * @param withinMs - Time within which their slots come, in milliseconds.
   */
  sumPromisedCost (item: AdmissionItem, withinMs: number): number {
    this.prune()
    const latestMs = this.clock.nowMs() + withinMs
    return this.promises.reduce((sum, promise) => promise.slotAtMs <= latestMs && isBefore(promise, item) ? sum + promise.item.cost : sum, 0)
  }

  /** Drops all promises, since the rates from which they were computed no longer hold. */
  clear (): void {
    this.promises = []
  }

  private createRetry (slotMs: number, remainingMs: number): ScheduledRetry {
    const longestMs = remainingMs * MAX_RETRY_SHARE
    if (slotMs <= longestMs) return { kind: 'slot', retryAfterMs: slotMs, slotMs }
    if (slotMs >= remainingMs) return { kind: 'tooLate', retryAfterMs: slotMs, slotMs }
    return { kind: 'cut', retryAfterMs: longestMs * (MIN_CUT_FACTOR + (1 - MIN_CUT_FACTOR) * this.random.nextFloat()), slotMs }
  }

  /** Returns the clock reading at which the work promised to callers of the same and higher priorities has been placed. */
  private findNextSlotMs (item: AdmissionItem, costPerMs: number): number {
    this.prune()
    return this.promises.reduce((latestMs, promise) => {
      const isCompeting = promise.item.pool === item.pool && promise.item.priority <= item.priority
      return isCompeting ? Math.max(latestMs, promise.slotAtMs + promise.item.cost / costPerMs) : latestMs
    }, 0)
  }

  private prune (): void {
    const oldestMs = this.clock.nowMs() - LATE_TOLERANCE_MS
    if (this.promises.some(({ toldAtMs }) => toldAtMs < oldestMs)) this.promises = this.promises.filter(({ toldAtMs }) => toldAtMs >= oldestMs)
  }
}

function isSameKind (a: AdmissionItem, b: AdmissionItem): boolean {
  return a.pool === b.pool && a.workspace === b.workspace && a.priority === b.priority && a.cost === b.cost
}

/** Returns whether a promised request goes before another one: it is more urgent, or its caller has waited longer. */
function isBefore ({ item, firstArrivedAtMs }: RetryPromise, other: AdmissionItem): boolean {
  if (item.pool !== other.pool) return false
  return item.priority === other.priority ? firstArrivedAtMs < other.rank : item.priority < other.priority
}
