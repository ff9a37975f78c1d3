import { type CancelTimer, type Clock, sleepOnTimer } from './Clock.js'

/** The monotonic clock of this process. */
export class SystemClock implements Clock {
  /** Creates a clock. */
  static create (): SystemClock {
    return new SystemClock()
  }

  /** @internal */
  private constructor () {}

  /** Gets the reading in milliseconds since the process started. */
  nowMs (): number {
    return performance.now()
  }

  /**
   * Runs a handler once after a duration.
   * @param delayMs - Duration in milliseconds.
   * @param handler - What to run.
   */
  startTimer (delayMs: number, handler: () => void): CancelTimer {
    const timer = setTimeout(handler, delayMs)
    return () => clearTimeout(timer)
  }

  /**
   * Waits for a duration.
   * @param delayMs - Duration in milliseconds.
   * @param signal - Ends the wait early.
   */
  async sleep (delayMs: number, signal?: AbortSignal): Promise<void> {
    await sleepOnTimer(this, delayMs, signal)
  }
}
