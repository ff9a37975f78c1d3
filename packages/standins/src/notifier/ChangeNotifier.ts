import { type Clock } from '@fescuespoke/common'

/** Options of a change notifier. */
export interface ChangeNotifierOptions {
  readonly clock: Clock
}

/** Notifies waiters of changes, like a condition variable. */
export class ChangeNotifier {
  /**
   * Creates a notifier without waiters.
   * @param options - Options of the notifier.
   */
  static create (options: ChangeNotifierOptions): ChangeNotifier {
    return new ChangeNotifier(options)
  }

  private readonly waiters = new Set<AbortController>()

  /** @internal */
  private constructor (private readonly options: ChangeNotifierOptions) {}

  /** Returns the number of waiters. */
  getWaiterCount (): number {
    return this.waiters.size
  }

  /** Wakes all waiters; each one checks its condition again. */
  notifyAll (): void {
    for (const controller of this.waiters) controller.abort()
  }

  /**
   * Waits until a condition is satisfied. The condition is checked at once and after each change.
   * @param waitMs - Maximum time to wait in milliseconds.
   * @param isSatisfied - Returns whether the condition is satisfied.
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
