/** Cancels a timer. */
export type CancelTimer = () => void

/** A monotonic clock. Its readings cannot be compared with those of another process. */
export interface Clock {
  /** Returns the current reading in milliseconds, including fractions. */
  nowMs(): number
  /**
   * Calls a handler once after a delay.
   * @param delayMs - Delay in milliseconds.
   * @param handler - Function to call.
   */
  startTimer(delayMs: number, handler: () => void): CancelTimer
  /**
   * Waits for a duration. Aborting the signal resolves the promise early instead of rejecting it.
   * @param delayMs - Delay in milliseconds.
   * @param signal - Ends the wait early when it is aborted.
   */
  sleep(delayMs: number, signal?: AbortSignal): Promise<void>
}

/**
 * Waits for a duration with a timer of the given clock. Aborting the signal resolves the promise early.
 * @param clock - Clock that runs the timer.
 * @param delayMs - Delay in milliseconds.
 * @param signal - Ends the wait early when it is aborted.
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
