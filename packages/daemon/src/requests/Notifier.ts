import { type Clock } from '@fescuespoke/common'

/** Options of a wait: conditions that end it before a change. */
export interface WaitOptions {
  readonly signal?: AbortSignal
  /** Maximum time to wait. */
  readonly timeout?: { readonly clock: Clock, readonly durationMs: number }
}

/** Condition variable: notifies all tasks that wait for the next change. */
export class Notifier {
  /** Creates a notifier without waiters. */
  static create (): Notifier {
    return new Notifier()
  }

  private waiters: Array<() => void> = []

  /** @internal */
  private constructor () {}

  /** Notifies all waiters. */
  notifyAll (): void {
    const notifiedWaiters = this.waiters
    this.waiters = []
    for (const wake of notifiedWaiters) wake()
  }

  /** Adds a handler that runs once at the next change, and returns a function that removes it. */
  addWaiter (handler: () => void): () => void {
    this.waiters.push(handler)
    return () => { this.waiters = this.waiters.filter(other => other !== handler) }
  }

  /**
   * Waits for the next change, an abort or the timeout.
   * @param options - Conditions that end the wait before a change.
   * @returns Whether a change or an abort occurred before the timeout.
   */
  async waitForChange ({ signal, timeout }: WaitOptions = {}): Promise<boolean> {
    return await new Promise<boolean>(resolve => {
      const finish = (changed: boolean): void => {
        removeWaiter()
        cancelTimer?.()
        signal?.removeEventListener('abort', wake)
        resolve(changed)
      }
      const wake = (): void => finish(true)
      const removeWaiter = this.addWaiter(wake)
      const cancelTimer = timeout?.clock.startTimer(timeout.durationMs, () => finish(false))
      signal?.addEventListener('abort', wake)
    })
  }
}
