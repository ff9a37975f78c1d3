import { type CancelTimer, type Clock } from '@fescuespoke/common'

/** Options of a watch. */
export interface StallWatchOptions {
  readonly clock: Clock
  /** Silence in milliseconds after which a stream counts as stalled. */
  readonly stallMs: number
  /** Called once for each silence of that length. */
  readonly onStall: () => void
}

/** Looks at a stream so many times in the silence that counts as a stall. */
const LOOKS = 4

/** Notices that a stream has stalled, with one timer for the whole stream. */
export class StallWatch {
  /**
   * Starts a watch.
   * @param options - Options of the watch.
   */
  static start (options: StallWatchOptions): StallWatch {
    return new StallWatch(options)
  }

  private lastMs: number
  private cancel: CancelTimer

  /** @internal */
  private constructor (private readonly options: StallWatchOptions) {
    this.lastMs = options.clock.nowMs()
    this.cancel = this.startLook()
  }

  /** Observes that bytes came. */
  observeBytes (): void {
    this.lastMs = this.options.clock.nowMs()
  }

  /** Ends the watch. */
  stop (): void {
    this.cancel()
  }

  private startLook (): CancelTimer {
    const { clock, stallMs } = this.options
    return clock.startTimer(stallMs / LOOKS, () => this.look())
  }

  private look (): void {
    const { clock, stallMs, onStall } = this.options
    this.cancel = this.startLook()
    if (clock.nowMs() - this.lastMs < stallMs) return
    this.lastMs = clock.nowMs()
    onStall()
  }
}
