import { type CancelTimer, type Clock, sleepOnTimer } from './Clock.js'

/** The monotonic clock of this process. */
export class SystemClock implements Clock {
  /** Creates a clock that reads the monotonic clock of the process. */
  static create (): SystemClock {
    return new SystemClock()
  }

  /** @internal */
  private constructor () {}

  /** Returns the time since the process started, in milliseconds. */
  nowMs (): number {
    return performance.now()
  }

  /**
   * Calls a handler once after a delay.
   * @param delayMs - Delay in milliseconds.
   * @param handler - Function to call.
   */
  startTimer (delayMs: number, handler: () => void): CancelTimer {
    const timer = setTimeout(handler, delayMs)
    return () => clearTimeout(timer)
  }

  /**
   * Waits for a duration.
   * @param delayMs - Delay in milliseconds.
   * @param signal - Ends the wait early when it is aborted.
   */
  async sleep (delayMs: number, signal?: AbortSignal): Promise<void> {
    await sleepOnTimer(this, delayMs, signal)
  }
}
