import { type CancelTimer, type Clock } from '@fescuespoke/common'
import { type RelayPlacer, type TargetRequirements } from './RelayPlacer.js'
import { type TargetReservation } from './TargetReservation.js'

/** Options of a waiting room. */
export interface AdmissionQueueOptions {
  readonly clock: Clock
  readonly placer: RelayPlacer
  /** Most requests that wait at once. */
  readonly maxWaiting?: number
}

/** A request that wants a target. */
export interface AdmissionRequest {
  readonly requirements: TargetRequirements
  /** Rank, 0 the highest. */
  readonly priority: number
  /** Reading of the clock by which the caller's wait began; older requests go first. */
  readonly waitStartedAtMs: number
  /** Longest wait in milliseconds. */
  readonly maxWaitMs: number
  readonly signal: AbortSignal
}

const DEFAULT_MAX_WAITING = 400

/** Interval at which waiting requests are tried again although nothing was released here, in milliseconds. */
const RETRY_INTERVAL_MS = 50

interface QueuedRequest {
  readonly options: AdmissionRequest
  readonly finish: (reservation: TargetReservation | undefined) => void
}

/** Requests that wait for an engine with room: the highest rank first, then the oldest. */
export class AdmissionQueue {
  /**
   * Creates an empty room.
   * @param options - Options of the room.
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

  /** Counts the requests that wait. */
  countWaiting (): number {
    return this.queue.length
  }

  /**
   * Takes a target into use, and waits for one as long as the options allow.
   * @param options - What is wanted.
   * @returns Nothing when no target had room in time.
   */
  async waitForTarget (options: AdmissionRequest): Promise<TargetReservation | undefined> {
    const isFirst = !this.queue.some(other => isBefore(other.options, options) && other.options.requirements.service.name === options.requirements.service.name)
    const reservation = isFirst ? this.options.placer.reserveBestTarget(options.requirements) : undefined
    if (reservation !== undefined || options.maxWaitMs <= 0 || this.queue.length >= (this.options.maxWaiting ?? DEFAULT_MAX_WAITING)) return reservation
    return await this.waitForCapacity(options)
  }

  private async waitForCapacity (options: AdmissionRequest): Promise<TargetReservation | undefined> {
    return await new Promise(resolve => {
      const finish = (reservation: TargetReservation | undefined): void => {
        cancel()
        options.signal.removeEventListener('abort', cancelWait)
        const index = this.queue.indexOf(entry)
        if (index >= 0) this.queue.splice(index, 1)
        resolve(reservation)
      }
      const cancelWait = (): void => finish(undefined)
      const entry: QueuedRequest = { options, finish }
      const cancel = this.options.clock.startTimer(options.maxWaitMs, cancelWait)
      options.signal.addEventListener('abort', cancelWait)
      const index = this.queue.findIndex(other => isBefore(options, other.options))
      this.queue.splice(index < 0 ? this.queue.length : index, 0, entry)
      this.scheduleRetry()
    })
  }

  private admitQueued (): void {
    const blocked = new Set<string>()
    for (const { options, finish } of [...this.queue]) {
      const service = options.requirements.service.name
      if (blocked.has(service)) continue
      const reservation = this.options.placer.reserveBestTarget(options.requirements)
      if (reservation === undefined) blocked.add(service)
      else finish(reservation)
    }
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

function isBefore (a: AdmissionRequest, b: AdmissionRequest): boolean {
  return a.priority !== b.priority ? a.priority < b.priority : a.waitStartedAtMs < b.waitStartedAtMs
}
