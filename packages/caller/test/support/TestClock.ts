import { type CancelTimer, type Clock } from '@fescuespoke/common'

/** A clock whose sleeps end at once and whose timers run only when the test says so. */
export class TestClock implements Clock {
  static create (): TestClock {
    return new TestClock()
  }

  private currentMs = 0
  private readonly timers = new Set<() => void>()

  private constructor () {}

  nowMs (): number {
    return this.currentMs
  }

  startTimer (_delayMs: number, handler: () => void): CancelTimer {
    this.timers.add(handler)
    return () => { this.timers.delete(handler) }
  }

  async sleep (delayMs: number): Promise<void> {
    this.currentMs += delayMs
  }

  /** Moves the clock without running timers. */
  advanceWithoutTimers (durationMs: number): void {
    this.currentMs += durationMs
  }

  /** Runs every timer that has been started and not cancelled. */
  runTimers (): void {
    for (const handler of [...this.timers]) handler()
    this.timers.clear()
  }
}
