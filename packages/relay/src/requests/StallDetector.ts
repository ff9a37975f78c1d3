import { type CancelTimer, type Clock } from '@fescuespoke/common'

/** Options of a stall detector. */
export interface StallDetectorOptions {
  readonly clock: Clock
  /** Time without progress after which a stream counts as stalled, in milliseconds. */
  readonly stallTimeoutMs: number
  /** Called each time there was no progress for the stall timeout. */
  readonly onStall: () => void
}

/** Number of checks in the stall timeout. */
const CHECKS_PER_TIMEOUT = 4

/**
 * Detects that a stream has stalled; uses a single timer per stream. The time for which the process itself stands still does not count,
 * since what has arrived meanwhile is read after the timers that are due.
 */
export class StallDetector {
  /**
   * Starts a detector.
   * @param options - Options of the detector.
   */
  static start (options: StallDetectorOptions): StallDetector {
    return new StallDetector(options)
  }

  /** Time of the last progress or stall, moved forward by the time for which the detector was suspended or its checks were late since. */
  private lastProgressAtMs: number
  private suspendedAtMs: number | undefined
  private hasStalled = false
  /** Clock reading at which the next check is due. */
  private checkDueAtMs = 0
  private cancelCheck: CancelTimer

  /** @internal */
  private constructor (private readonly options: StallDetectorOptions) {
    this.lastProgressAtMs = options.clock.nowMs()
    this.cancelCheck = this.scheduleCheck()
  }

  /** Records that the stream has progressed. */
  recordProgress (): void {
    this.hasStalled = false
    this.lastProgressAtMs = this.options.clock.nowMs()
  }

  /** Detects no stall and counts no time until resumed, because the stream is not read. */
  suspend (): void {
    this.suspendedAtMs = this.options.clock.nowMs()
  }

  /** Counts time again, because the stream is read again. */
  resume (): void {
    const nowMs = this.options.clock.nowMs()
    this.lastProgressAtMs += nowMs - (this.suspendedAtMs ?? nowMs)
    this.suspendedAtMs = undefined
  }

  /** Returns whether the stream has stalled and nothing has arrived since. */
  isStalled (): boolean {
    return this.hasStalled && this.suspendedAtMs === undefined
  }

  /** Stops the detector. */
  stop (): void {
    this.hasStalled = false
    this.cancelCheck()
  }

  private scheduleCheck (): CancelTimer {
    const { clock, stallTimeoutMs } = this.options
    const intervalMs = stallTimeoutMs / CHECKS_PER_TIMEOUT
    this.checkDueAtMs = clock.nowMs() + intervalMs
    return clock.startTimer(intervalMs, () => this.check())
  }

  /** Leaves out the time by which a check is late; a suspension leaves it out by itself. */
  private skipLateness (): void {
    const nowMs = this.options.clock.nowMs()
    if (this.suspendedAtMs === undefined) this.lastProgressAtMs = Math.min(nowMs, this.lastProgressAtMs + nowMs - this.checkDueAtMs)
  }

  private check (): void {
    const { clock, stallTimeoutMs, onStall } = this.options
    this.skipLateness()
    this.cancelCheck = this.scheduleCheck()
    if (this.suspendedAtMs !== undefined || clock.nowMs() - this.lastProgressAtMs < stallTimeoutMs) return
    this.lastProgressAtMs = clock.nowMs()
    this.hasStalled = true
    onStall()
  }
}
