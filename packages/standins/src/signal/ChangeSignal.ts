import { type Clock } from '@fescuespoke/common'

/** Options of a signal. */
export interface ChangeSignalOptions {
  readonly clock: Clock
}

/** Wakes those who wait for a change. */
export class ChangeSignal {
  /**
   * Creates a signal.
   * @param options - Options of the signal.
   */
  static create (options: ChangeSignalOptions): ChangeSignal {
    return new ChangeSignal(options)
  }

  private readonly waiting = new Set<AbortController>()

  /** @internal */
  private constructor (private readonly options: ChangeSignalOptions) {}

  /** Gets the number of those who wait. */
  getWaitingCount (): number {
    return this.waiting.size
  }

  /** Wakes all who wait; each checks its condition again. */
  send (): void {
    for (const controller of this.waiting) controller.abort()
  }

  /**
   * Waits until a condition holds, which is checked at each change.
   * @param waitMs - Longest wait in milliseconds.
   * @param isDone - The condition.
   * @param signal - Ends the wait early.
   */
  async wait (waitMs: number, isDone: () => boolean, signal?: AbortSignal): Promise<void> {
    const endMs = this.options.clock.nowMs() + waitMs
    while (!isDone() && signal?.aborted !== true) {
      const remainingMs = endMs - this.options.clock.nowMs()
      if (remainingMs <= 0) return
      await this.waitForChange(remainingMs, signal)
    }
  }

  private async waitForChange (waitMs: number, signal?: AbortSignal): Promise<void> {
    const controller = new AbortController()
    const stop = (): void => controller.abort()
    signal?.addEventListener('abort', stop)
    this.waiting.add(controller)
    await this.options.clock.sleep(waitMs, controller.signal)
    this.waiting.delete(controller)
    signal?.removeEventListener('abort', stop)
  }
}
