import { type CancelTimer, type Clock, sleepOnTimer } from './Clock.js'

interface Timer {
  readonly dueMs: number
  readonly order: number
  readonly handler: () => void
  cancelled: boolean
}

/**
 * A simulated clock that advances only on request. Timers that are due at the same time fire in the order in which they
 * were started.
 */
export class VirtualClock implements Clock {
  /** Creates a clock that starts at zero. */
  static create (): VirtualClock {
    return new VirtualClock()
  }

  private currentMs = 0
  private nextOrder = 0
  private readonly heap: Timer[] = []

  /** @internal */
  private constructor () {}

  /** Returns the current reading in milliseconds. */
  nowMs (): number {
    return this.currentMs
  }

  /**
   * Calls a handler once after a delay.
   * @param delayMs - Delay in milliseconds.
   * @param handler - Function to call.
   */
  startTimer (delayMs: number, handler: () => void): CancelTimer {
    const timer: Timer = {
      dueMs: this.currentMs + Math.max(0, delayMs),
      order: this.nextOrder++,
      handler,
      cancelled: false
    }
    this.insertTimer(timer)
    return () => { timer.cancelled = true }
  }

  /**
   * Waits for a duration.
   * @param delayMs - Delay in milliseconds.
   * @param signal - Ends the wait early when it is aborted.
   */
  async sleep (delayMs: number, signal?: AbortSignal): Promise<void> {
    await sleepOnTimer(this, delayMs, signal)
  }

  /**
   * Advances the clock and fires every timer that becomes due. Pending tasks run after each timer.
   * @param durationMs - Duration in milliseconds.
   */
  async advance (durationMs: number): Promise<void> {
    const endMs = this.currentMs + durationMs
    await settleTasks()
    for (let timer = this.popDueTimer(endMs); timer !== undefined; timer = this.popDueTimer(endMs)) {
      this.currentMs = Math.max(this.currentMs, timer.dueMs)
      timer.handler()
      await settleTasks()
    }
    this.currentMs = endMs
  }

  /**
   * Advances the clock without firing the timers that become due, which simulates a pause of the process.
   * @param durationMs - Duration in milliseconds.
   */
  jump (durationMs: number): void {
    this.currentMs += durationMs
  }

  private popDueTimer (endMs: number): Timer | undefined {
    for (let first = this.heap[0]; first !== undefined && first.dueMs <= endMs; first = this.heap[0]) {
      this.removeFirstTimer()
      if (!first.cancelled) return first
    }
    return undefined
  }

  private insertTimer (timer: Timer): void {
    let index = this.heap.push(timer) - 1
    while (index > 0) {
      const parent = (index - 1) >> 1
      if (isEarlier(this.getTimerAt(parent), timer)) break
      this.heap[index] = this.getTimerAt(parent)
      index = parent
    }
    this.heap[index] = timer
  }

  private removeFirstTimer (): void {
    const last = this.heap.pop()
    if (last === undefined || this.heap.length === 0) return
    let index = 0
    for (let child = 1; child < this.heap.length; child = index * 2 + 1) {
      if (child + 1 < this.heap.length && isEarlier(this.getTimerAt(child + 1), this.getTimerAt(child))) child++
      if (isEarlier(last, this.getTimerAt(child))) break
      this.heap[index] = this.getTimerAt(child)
      index = child
    }
    this.heap[index] = last
  }

  private getTimerAt (index: number): Timer {
    return this.heap[index] as Timer
  }
}

function isEarlier (a: Timer, b: Timer): boolean {
  return a.dueMs === b.dueMs ? a.order < b.order : a.dueMs < b.dueMs
}

async function settleTasks (): Promise<void> {
  await new Promise(resolve => setImmediate(resolve))
}
