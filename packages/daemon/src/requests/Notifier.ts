import { type Clock } from '@fescuespoke/common'

/** What ends a wait besides a change. */
export interface WaitOptions {
  readonly signal?: AbortSignal
  /** Longest wait. */
  readonly timeout?: { readonly clock: Clock, readonly durationMs: number }
}

/** Wakes every task that waits for the next change. */
export class Notifier {
  /** Creates a notifier without waiting tasks. */
  static create (): Notifier {
    return new Notifier()
  }

  private waiters: Array<() => void> = []

  /** @internal */
  private constructor () {}

  /** Wakes all waiting tasks. */
  notifyAll (): void {
    const notifiedWaiters = this.waiters
    this.waiters = []
    for (const wake of notifiedWaiters) wake()
  }

  /** Adds a handler that runs once at the next change, and returns what removes it. */
  addWaiter (handler: () => void): () => void {
    this.waiters.push(handler)
    return () => { this.waiters = this.waiters.filter(other => other !== handler) }
  }

  /**
   * Waits for the next change or abort; tells whether one came before the timeout.
   * @param options - What ends the wait besides a change.
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
