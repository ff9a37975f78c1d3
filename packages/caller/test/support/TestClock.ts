import { type CancelTimer, type Clock } from '@fescuespoke/common'

/** Clock whose sleeps end immediately and whose timers run only when `runTimers` is called. */
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

  /** Advances the clock without running timers. */
  advanceWithoutTimers (durationMs: number): void {
    this.currentMs += durationMs
  }

  /** Runs all timers that have been started and not cancelled. */
  runTimers (): void {
    for (const handler of [...this.timers]) handler()
    this.timers.clear()
  }
}
