import { type CancelTimer, type Clock } from '@fescuespoke/common'

/** Aborts a request once nothing has arrived for some time, or once its caller gives it up. */
export class SilenceTimer {
  /**
   * Creates a running timer.
   * @param clock - Clock that it runs on.
   * @param silenceMs - Longest silence in milliseconds.
   * @param signal - Aborts the request early.
   */
  static create (clock: Clock, silenceMs: number, signal?: AbortSignal): SilenceTimer {
    return new SilenceTimer(clock, silenceMs, signal)
  }

  private readonly controller = new AbortController()
  private readonly abort = (): void => this.controller.abort()
  private cancelTimer: CancelTimer

  /** @internal */
  private constructor (private readonly clock: Clock, private readonly silenceMs: number, private readonly outer?: AbortSignal) {
    this.cancelTimer = this.clock.startTimer(silenceMs, this.abort)
    if (outer?.aborted === true) this.abort()
    outer?.addEventListener('abort', this.abort)
  }

  /** Gets the signal that aborts the request. */
  getSignal (): AbortSignal {
    return this.controller.signal
  }

  /** Starts the silence anew because something has arrived. */
  restart (): void {
    this.cancelTimer()
    this.cancelTimer = this.clock.startTimer(this.silenceMs, this.abort)
  }

  /** Stops the timer. */
  stop (): void {
    this.cancelTimer()
    this.outer?.removeEventListener('abort', this.abort)
  }
}
