import { uptime } from 'node:os'
import { type CancelTimer, type Clock, sleepOnTimer } from './Clock.js'

/** Readings of the process and of the machine, in milliseconds. */
export interface ClockSources {
  /** Time since the process started; it may stand still while the machine is suspended. */
  readonly readSteadyMs: () => number
  /** Time since the machine started, suspensions included. */
  readonly readUptimeMs: () => number
}

/** Milliseconds of a second. */
const SECOND_MS = 1000

/** Difference of the two readings that counts as a suspension, in milliseconds. */
const SUSPENSION_MS = 500

const SYSTEM_SOURCES: ClockSources = { readSteadyMs: () => performance.now(), readUptimeMs: () => uptime() * SECOND_MS }

/** The monotonic clock of this process. */
export class SystemClock implements Clock {
  /**
   * Creates a clock.
   * @param sources - What it reads.
   */
  static create (sources: ClockSources = SYSTEM_SOURCES): SystemClock {
    return new SystemClock(sources)
  }

  private suspendedMs = 0
  private differenceMs: number

  /** @internal */
  private constructor (private readonly sources: ClockSources) {
    this.differenceMs = this.computeDifference()
  }

  /** Gets the reading in milliseconds since the process started, with suspensions that were observed. */
  nowMs (): number {
    return this.sources.readSteadyMs() + this.suspendedMs
  }

  /** @inheritdoc */
  observeSuspension (): void {
    const differenceMs = this.computeDifference()
    const suspendedMs = differenceMs - this.differenceMs
    this.differenceMs = differenceMs
    if (suspendedMs > SUSPENSION_MS) this.suspendedMs += suspendedMs
  }

  /**
   * Runs a handler once after a duration.
   * @param delayMs - Duration in milliseconds.
   * @param handler - What to run.
   */
  startTimer (delayMs: number, handler: () => void): CancelTimer {
    const timer = setTimeout(handler, delayMs)
    return () => clearTimeout(timer)
  }

  /**
   * Waits for a duration.
   * @param delayMs - Duration in milliseconds.
   * @param signal - Ends the wait early.
   */
  async sleep (delayMs: number, signal?: AbortSignal): Promise<void> {
    await sleepOnTimer(this, delayMs, signal)
  }

  private computeDifference (): number {
    return this.sources.readUptimeMs() - this.sources.readSteadyMs()
  }
}
