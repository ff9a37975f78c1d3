import { type Clock } from '@fescuespoke/common'

/** Options of a signal. */
export interface ChangeNotifierOptions {
  readonly clock: Clock
}

/** Wakes those who wait for a change. */
export class ChangeNotifier {
  /**
   * Creates a signal.
   * @param options - Options of the signal.
   */
  static create (options: ChangeNotifierOptions): ChangeNotifier {
    return new ChangeNotifier(options)
  }

  private readonly waiters = new Set<AbortController>()

  /** @internal */
  private constructor (private readonly options: ChangeNotifierOptions) {}

  /** Gets the number of those who wait. */
  getWaiterCount (): number {
    return this.waiters.size
  }

  /** Wakes all who wait; each checks its condition again. */
  notifyAll (): void {
    for (const controller of this.waiters) controller.abort()
  }

  /**
   * Waits until a condition holds, which is checked at each change.
   * @param waitMs - Longest wait in milliseconds.
   * @param isSatisfied - The condition.
   * @param signal - Ends the wait early.
   */
  async waitUntil (waitMs: number, isSatisfied: () => boolean, signal?: AbortSignal): Promise<void> {
    const endsAtMs = this.options.clock.nowMs() + waitMs
    while (!isSatisfied() && signal?.aborted !== true) {
      const remainingMs = endsAtMs - this.options.clock.nowMs()
      if (remainingMs <= 0) return
      await this.waitForChange(remainingMs, signal)
    }
  }

  private async waitForChange (waitMs: number, signal?: AbortSignal): Promise<void> {
    const controller = new AbortController()
    const abortWait = (): void => controller.abort()
    signal?.addEventListener('abort', abortWait)
    this.waiters.add(controller)
    await this.options.clock.sleep(waitMs, controller.signal)
    this.waiters.delete(controller)
    signal?.removeEventListener('abort', abortWait)
  }
}
