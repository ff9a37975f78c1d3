import { type CancelTimer, type Clock, sleepOnTimer } from './Clock.js'

interface Timer {
  readonly dueMs: number
  readonly order: number
  readonly handler: () => void
  cancelled: boolean
}

/** A clock that moves only when told to. Timers of equal time run in the order of their start. */
export class VirtualClock implements Clock {
  /** Creates a clock that reads zero. */
  static create (): VirtualClock {
    return new VirtualClock()
  }

  private currentMs = 0
  private started = 0
  private readonly heap: Timer[] = []

  /** @internal */
  private constructor () {}

  /** Gets the reading in milliseconds. */
  nowMs (): number {
    return this.currentMs
  }

  /**
   * Runs a handler once after a duration.
   * @param delayMs - Duration in milliseconds.
   * @param handler - What to run.
   */
  startTimer (delayMs: number, handler: () => void): CancelTimer {
    const timer: Timer = {
      dueMs: this.currentMs + Math.max(0, delayMs),
      order: this.started++,
      handler,
      cancelled: false
    }
    this.insertTimer(timer)
    return () => { timer.cancelled = true }
  }

  /**
   * Waits for a duration.
   * @param delayMs - Duration in milliseconds.
   * @param signal - Ends the wait early.
   */
  async sleep (delayMs: number, signal?: AbortSignal): Promise<void> {
    await sleepOnTimer(this, delayMs, signal)
  }

  /**
   * Moves the clock forward and runs every timer that falls due, letting tasks settle after each.
   * @param durationMs - Duration in milliseconds.
   */
  async advance (durationMs: number): Promise<void> {
    const endMs = this.currentMs + durationMs
    await settleTasks()
    for (let timer = this.takeDue(endMs); timer !== undefined; timer = this.takeDue(endMs)) {
      this.currentMs = Math.max(this.currentMs, timer.dueMs)
      timer.handler()
      await settleTasks()
    }
    this.currentMs = endMs
  }

  /**
   * Moves the clock forward without running the timers that fall due, as a pause of the process does.
   * @param durationMs - Duration in milliseconds.
   */
  jump (durationMs: number): void {
    this.currentMs += durationMs
  }

  private takeDue (endMs: number): Timer | undefined {
    for (let first = this.heap[0]; first !== undefined && first.dueMs <= endMs; first = this.heap[0]) {
      this.removeFirst()
      if (!first.cancelled) return first
    }
    return undefined
  }

  private insertTimer (timer: Timer): void {
    let index = this.heap.push(timer) - 1
    while (index > 0) {
      const parent = (index - 1) >> 1
      if (isEarlier(this.at(parent), timer)) break
      this.heap[index] = this.at(parent)
      index = parent
    }
    this.heap[index] = timer
  }

  private removeFirst (): void {
    const last = this.heap.pop()
    if (last === undefined || this.heap.length === 0) return
    let index = 0
    for (let child = 1; child < this.heap.length; child = index * 2 + 1) {
      if (child + 1 < this.heap.length && isEarlier(this.at(child + 1), this.at(child))) child++
      if (isEarlier(last, this.at(child))) break
      this.heap[index] = this.at(child)
      index = child
    }
    this.heap[index] = last
  }

  private at (index: number): Timer {
    return this.heap[index] as Timer
  }
}

function isEarlier (a: Timer, b: Timer): boolean {
  return a.dueMs === b.dueMs ? a.order < b.order : a.dueMs < b.dueMs
}

async function settleTasks (): Promise<void> {
  await new Promise(resolve => setImmediate(resolve))
}
