import { type CancelTimer, type Clock } from '@fescuespoke/common'

/** Options of an idle timer. */
export interface IdleTimerOptions {
  readonly clock: Clock
  /** Maximum time to wait for the first byte, in milliseconds. */
  readonly firstByteMs: number
  /** Maximum time without received data after the first byte, in milliseconds. */
  readonly silenceMs: number
  /** Signal that aborts the request before the timer expires. */
  readonly signal?: AbortSignal
}

/** Aborts a request when no data has been received for some time or when the signal in its options is aborted. */
export class IdleTimer {
  /**
   * Creates a running timer.
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

  /** Returns the signal that aborts the request. */
  getSignal (): AbortSignal {
    return this.controller.signal
  }

  /** Restarts the timer after data has been received. */
  restart (): void {
    this.cancelTimer()
    this.cancelTimer = this.options.clock.startTimer(this.options.silenceMs, this.abort)
  }

  /** Stops the timer and removes its listener from the signal in its options. */
  stop (): void {
    this.cancelTimer()
    this.options.signal?.removeEventListener('abort', this.abort)
  }
}
