/** Wakes every task that waits for the next change. */
export class Notifier {
  /** Creates a notifier without waiting tasks. */
  static create (): Notifier {
    return new Notifier()
  }

  private waiting: Array<() => void> = []

  /** @internal */
  private constructor () {}

  /** Wakes all waiting tasks. */
  notifyAll (): void {
    const woken = this.waiting
    this.waiting = []
    for (const wake of woken) wake()
  }

  /** Adds a handler that runs once at the next change, and returns what removes it. */
  addWaiter (handler: () => void): () => void {
    this.waiting.push(handler)
    return () => { this.waiting = this.waiting.filter(other => other !== handler) }
  }
}
