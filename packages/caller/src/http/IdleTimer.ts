import { type CancelTimer, type Clock } from '@fescuespoke/common'

/** Options of a silence timer. */
export interface IdleTimerOptions {
  readonly clock: Clock
  /** Longest wait for the first byte in milliseconds. */
  readonly firstByteMs: number
  /** Longest silence after it in milliseconds. */
  readonly silenceMs: number
  /** Aborts the request early. */
  readonly signal?: AbortSignal
}

/** Aborts a request once nothing has arrived for some time, or once its caller gives it up. */
export class IdleTimer {
  /**
   * Creates a running timer.
   * @param clock - Clock that it runs on.
   * @param options - Options of the timer.
   */
  static create (options: IdleTimerOptions): IdleTimer {
    return new IdleTimer(options)
  }

  private readonly controller = new AbortController()
  private readonly abort = (): void => this.controller.abort()
  private cancelTimer: CancelTimer

  /** @internal */
  private constructor (private readonly options: IdleTimerOptions) {
    const { clock, firstByteMs, signal } = options
    this.cancelTimer = clock.startTimer(firstByteMs, this.abort)
    if (signal?.aborted === true) this.abort()
    signal?.addEventListener('abort', this.abort)
  }

  /** Gets the signal that aborts the request. */
  getSignal (): AbortSignal {
    return this.controller.signal
  }

  /** Starts the silence anew because something has arrived. */
  restart (): void {
    this.cancelTimer()
    this.cancelTimer = this.options.clock.startTimer(this.options.silenceMs, this.abort)
  }

  /** Stops the timer. */
  stop (): void {
    this.cancelTimer()
    this.options.signal?.removeEventListener('abort', this.abort)
  }
}
