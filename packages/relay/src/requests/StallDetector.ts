import { type CancelTimer, type Clock } from '@fescuespoke/common'

/** Options of a watch. */
export interface StallDetectorOptions {
  readonly clock: Clock
  /** Silence in milliseconds after which a stream counts as stalled. */
  readonly stallTimeoutMs: number
  /** Called once for each silence of that length. */
  readonly onStall: () => void
}

/** Looks at a stream so many times in the silence that counts as a stall. */
const CHECKS_PER_TIMEOUT = 4

/** Notices that a stream has stalled, with one timer for the whole stream. */
export class StallDetector {
  /**
   * Starts a watch.
   * @param options - Options of the watch.
   */
  static start (options: StallDetectorOptions): StallDetector {
    return new StallDetector(options)
  }

  private lastBytesAtMs: number
  private cancelCheck: CancelTimer

  /** @internal */
  private constructor (private readonly options: StallDetectorOptions) {
    this.lastBytesAtMs = options.clock.nowMs()
    this.cancelCheck = this.scheduleCheck()
  }

  /** Observes that bytes came. */
  recordBytes (): void {
    this.lastBytesAtMs = this.options.clock.nowMs()
  }

  /** Ends the watch. */
  stop (): void {
    this.cancelCheck()
  }

  private scheduleCheck (): CancelTimer {
    const { clock, stallTimeoutMs } = this.options
    return clock.startTimer(stallTimeoutMs / CHECKS_PER_TIMEOUT, () => this.check())
  }

  private check (): void {
    const { clock, stallTimeoutMs, onStall } = this.options
    this.cancelCheck = this.scheduleCheck()
    if (clock.nowMs() - this.lastBytesAtMs < stallTimeoutMs) return
    this.lastBytesAtMs = clock.nowMs()
    onStall()
  }
}
