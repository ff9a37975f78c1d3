import { type CancelTimer, type Clock } from '@fescuespoke/common'
import { isSameOrigin } from '../versions/StreamOrigin.js'
import { type RelayPlacer, type TargetRequirements } from './RelayPlacer.js'
import { type TargetReservation } from './TargetReservation.js'

/** Options of an admission queue. */
export interface AdmissionQueueOptions {
  readonly clock: Clock
  readonly placer: RelayPlacer
  /** Maximum number of waiting requests. */
  readonly maxWaiting?: number
}

/** A request for a target. */
export interface AdmissionRequest {
  readonly requirements: TargetRequirements
  /** Priority; 0 is the highest. */
  readonly priority: number
  /** Clock reading at which the wait of the caller began; older requests go first. */
  readonly waitStartedAtMs: number
  /** Maximum time to wait, in milliseconds. */
  readonly maxWaitMs: number
  /** Returns whether the request may go on to wait; by default it may. */
  readonly mayWait?: () => boolean
  /** Whether the request waits for the next attempt to admit requests, even if a target seems free; by default it does not. */
  readonly mustWait?: boolean
  readonly signal: AbortSignal
}

const DEFAULT_MAX_WAITING = 400

/** Interval at which waiting requests are tried again even if this instance released no target, in milliseconds. */
const RETRY_INTERVAL_MS = 50

interface QueuedRequest {
  readonly options: AdmissionRequest
  /** Clock reading at which its wait ends. */
  readonly waitEndsAtMs: number
  readonly finish: (reservation: TargetReservation | undefined) => void
}

/** Queue of requests that wait for an engine with free capacity, sorted by priority and then by age. */
export class AdmissionQueue {
  /**
   * Creates an empty queue.
   * @param options - Options of the queue.
   */
  static create (options: AdmissionQueueOptions): AdmissionQueue {
    return new AdmissionQueue(options)
  }

  private readonly queue: QueuedRequest[] = []
  private cancelRetry: CancelTimer | undefined

  /** @internal */
  private constructor (private readonly options: AdmissionQueueOptions) {
    options.placer.addCapacityListener(() => this.admitQueued())
  }

  /** Counts the waiting requests. */
  countWaiting (): number {
    return this.queue.length
  }

  /**
   * Reserves a target; waits for free capacity as long as the options allow.
   * @param options - Options of the request.
   * @returns The reservation; undefined when no target had capacity in time.
   */
  async waitForTarget (options: AdmissionRequest): Promise<TargetReservation | undefined> {
    const isFirst = options.mustWait !== true && !this.queue.some(other => isBefore(other.options, options) && isForSameTargets(other.options, options))
    const reservation = isFirst ? this.options.placer.reserveBestTarget(options.requirements) : undefined
    if (reservation !== undefined || options.maxWaitMs <= 0 || !this.canBeAdmitted(options) || this.getOpeningMs(options) > options.maxWaitMs || this.queue.length >= (this.options.maxWaiting ?? DEFAULT_MAX_WAITING)) return reservation
    return await this.waitForCapacity(options)
  }

  private async waitForCapacity (options: AdmissionRequest): Promise<TargetReservation | undefined> {
    return await new Promise(resolve => {
      const finish = (reservation: TargetReservation | undefined): void => {
        cancelTimer()
        options.signal.removeEventListener('abort', cancelWait)
        const index = this.queue.indexOf(entry)
        if (index >= 0) this.queue.splice(index, 1)
        resolve(reservation)
      }
      const cancelWait = (): void => finish(undefined)
      const entry: QueuedRequest = { options, waitEndsAtMs: this.options.clock.nowMs() + options.maxWaitMs, finish }
      const cancelTimer = this.options.clock.startTimer(options.maxWaitMs, cancelWait)
      options.signal.addEventListener('abort', cancelWait)
      const index = this.queue.findIndex(other => isBefore(options, other.options))
      this.queue.splice(index < 0 ? this.queue.length : index, 0, entry)
      this.scheduleRetry()
    })
  }

  private admitQueued (): void {
    /** Requests that cannot be admitted now, of which each stands for all that need the same targets, and the time until one of these opens, in milliseconds. */
    const blocked: Array<{ readonly options: AdmissionRequest, readonly openingMs: number }> = []
    const nowMs = this.options.clock.nowMs()
    for (const { options, waitEndsAtMs, finish } of [...this.queue]) {
      if (options.mayWait?.() === false) {
        finish(undefined)
        continue
      }
      let block = blocked.find(other => isForSameTargets(other.options, options))
      if (block === undefined) {
        const reservation = this.options.placer.reserveBestTarget(options.requirements)
        if (reservation !== undefined || !this.canBeAdmitted(options)) {
          finish(reservation)
          // The engine may refuse; the requests behind this one are admitted after its answer.
          if (reservation !== undefined && options.requirements.isDecidedByEngine === true) blocked.push({ options, openingMs: 0 })
          continue
        }
        block = { options, openingMs: this.getOpeningMs(options) }
        blocked.push(block)
      }
      if (block.openingMs > waitEndsAtMs - nowMs) finish(undefined)
    }
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
    if (this.cancelRetry !== undefined || this.queue.length === 0) return
    this.cancelRetry = this.options.clock.startTimer(RETRY_INTERVAL_MS, () => {
      this.cancelRetry = undefined
      this.admitQueued()
      this.scheduleRetry()
    })
  }
}

/** Returns whether two requests need targets of the same service, in the same regions, and, if one of them continues a stream, of the same version. */
function isForSameTargets ({ requirements: a }: AdmissionRequest, { requirements: b }: AdmissionRequest): boolean {
  if (a.service.name !== b.service.name || a.allowedRegions?.join() !== b.allowedRegions?.join()) return false
  return a.origin === undefined || b.origin === undefined ? a.origin === b.origin : isSameOrigin(a.origin, b.origin)
}

function isBefore (a: AdmissionRequest, b: AdmissionRequest): boolean {
  return a.priority !== b.priority ? a.priority < b.priority : a.waitStartedAtMs < b.waitStartedAtMs
}
