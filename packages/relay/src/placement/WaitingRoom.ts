import { type CancelTimer, type Clock } from '@fescuespoke/common'
import { type RelayPlacer, type TargetNeed } from './RelayPlacer.js'
import { type TargetUse } from './TargetUse.js'

/** Options of a waiting room. */
export interface WaitingRoomOptions {
  readonly clock: Clock
  readonly placer: RelayPlacer
  /** Most requests that wait at once. */
  readonly maxWaiting?: number
}

/** A request that wants a target. */
export interface WaitOptions {
  readonly need: TargetNeed
  /** Rank, 0 the highest. */
  readonly priority: number
  /** Reading of the clock by which the caller's wait began; older requests go first. */
  readonly sinceMs: number
  /** Longest wait in milliseconds. */
  readonly maxWaitMs: number
  readonly signal: AbortSignal
}

const DEFAULT_MAX_WAITING = 400

/** Interval at which waiting requests are tried again although nothing was released here, in milliseconds. */
const RETRY_INTERVAL_MS = 50

interface Waiting {
  readonly options: WaitOptions
  readonly finish: (use: TargetUse | undefined) => void
}

/** Requests that wait for an engine with room: the highest rank first, then the oldest. */
export class WaitingRoom {
  /**
   * Creates an empty room.
   * @param options - Options of the room.
   */
  static create (options: WaitingRoomOptions): WaitingRoom {
    return new WaitingRoom(options)
  }

  private readonly waiting: Waiting[] = []
  private cancelRetry: CancelTimer | undefined

  /** @internal */
  private constructor (private readonly options: WaitingRoomOptions) {
    options.placer.addRoomListener(() => this.placeWaiting())
  }

  /** Counts the requests that wait. */
  countWaiting (): number {
    return this.waiting.length
  }

  /**
   * Takes a target into use, and waits for one as long as the options allow.
   * @param options - What is wanted.
   * @returns Nothing when no target had room in time.
   */
  async takeTarget (options: WaitOptions): Promise<TargetUse | undefined> {
    const isFirst = !this.waiting.some(other => isBefore(other.options, options) && other.options.need.service.name === options.need.service.name)
    const use = isFirst ? this.options.placer.takeTarget(options.need) : undefined
    if (use !== undefined || options.maxWaitMs <= 0 || this.waiting.length >= (this.options.maxWaiting ?? DEFAULT_MAX_WAITING)) return use
    return await this.waitForRoom(options)
  }

  private async waitForRoom (options: WaitOptions): Promise<TargetUse | undefined> {
    return await new Promise(resolve => {
      const finish = (use: TargetUse | undefined): void => {
        cancel()
        options.signal.removeEventListener('abort', leave)
        const index = this.waiting.indexOf(item)
        if (index >= 0) this.waiting.splice(index, 1)
        resolve(use)
      }
      const leave = (): void => finish(undefined)
      const item: Waiting = { options, finish }
      const cancel = this.options.clock.startTimer(options.maxWaitMs, leave)
      options.signal.addEventListener('abort', leave)
      const index = this.waiting.findIndex(other => isBefore(options, other.options))
      this.waiting.splice(index < 0 ? this.waiting.length : index, 0, item)
      this.startRetry()
    })
  }

  private placeWaiting (): void {
    const blocked = new Set<string>()
    for (const { options, finish } of [...this.waiting]) {
      const service = options.need.service.name
      if (blocked.has(service)) continue
      const use = this.options.placer.takeTarget(options.need)
      if (use === undefined) blocked.add(service)
      else finish(use)
    }
  }

  private startRetry (): void {
    if (this.cancelRetry !== undefined || this.waiting.length === 0) return
    this.cancelRetry = this.options.clock.startTimer(RETRY_INTERVAL_MS, () => {
      this.cancelRetry = undefined
      this.placeWaiting()
      this.startRetry()
    })
  }
}

function isBefore (a: WaitOptions, b: WaitOptions): boolean {
  return a.priority !== b.priority ? a.priority < b.priority : a.sinceMs < b.sinceMs
}
