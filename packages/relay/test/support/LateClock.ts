import { type CancelTimer, type Clock, sleepOnTimer, type VirtualClock } from '@fescuespoke/common'

/** The clock of a process that gets too little processor time: its timers fire late. */
export class LateClock implements Clock {
  /**
   * Creates a clock whose timers fire in time at first.
   * @param clock - Clock that runs the timers.
   */
  static create (clock: VirtualClock): LateClock {
    return new LateClock(clock)
  }

  /** Time by which timers that are started now fire late, in milliseconds. */
  lateMs = 0

  private constructor (private readonly clock: VirtualClock) {}

  nowMs (): number {
    return this.clock.nowMs()
  }

  startTimer (delayMs: number, handler: () => void): CancelTimer {
    return this.clock.startTimer(delayMs + this.lateMs, handler)
  }

  async sleep (delayMs: number, signal?: AbortSignal): Promise<void> {
    await sleepOnTimer(this, delayMs, signal)
  }
}
