/** Cancels a timer. */
export type CancelTimer = () => void

/** A monotonic clock. Its readings mean nothing to another process. */
export interface Clock {
  /** Gets the reading in milliseconds, with fractions. */
  nowMs(): number
  /**
   * Runs a handler once after a duration.
   * @param delayMs - Duration in milliseconds.
   * @param handler - What to run.
   */
  startTimer(delayMs: number, handler: () => void): CancelTimer
  /**
   * Waits for a duration. An aborted wait ends early and does not reject.
   * @param delayMs - Duration in milliseconds.
   * @param signal - Ends the wait early.
   */
  sleep(delayMs: number, signal?: AbortSignal): Promise<void>
}

/**
 * Waits with the timers of a clock.
 * @param clock - The clock.
 * @param delayMs - Duration in milliseconds.
 * @param signal - Ends the wait early.
 */
export async function sleepOnTimer (clock: Pick<Clock, 'startTimer'>, delayMs: number, signal?: AbortSignal): Promise<void> {
  if (signal?.aborted === true) return
  await new Promise<void>(resolve => {
    const finish = (): void => {
      cancel()
      signal?.removeEventListener('abort', finish)
      resolve()
    }
    const cancel = clock.startTimer(delayMs, finish)
    signal?.addEventListener('abort', finish)
  })
}
