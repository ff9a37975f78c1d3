import { type Clock } from '@fescuespoke/common'
import { RecentMaximum } from './RecentMaximum.js'

/** Options of a drain schedule. */
export interface DrainScheduleOptions {
  readonly clock: Clock
  /** Time from the stop signal until the process is killed, in milliseconds. */
  readonly graceMs: number
}

/** Time before the kill at which requests in progress are ended while the process is in time, in milliseconds. */
export const EXIT_MARGIN_MS = 400

/** Additional margin for each millisecond by which the process runs late: ending the requests and writing their answers can each be that late. */
const MARGIN_PER_LATENESS = 2

/** Maximum margin, and maximum delay of the stop signal that is assumed, as shares of the grace period. */
const MAX_MARGIN_SHARE = 1 / 8
const MAX_SIGNAL_DELAY_SHARE = 1 / 2

/** Shares of the margin that are left when waiting for the last answers ends, and when closing connections ends. */
const WRITE_END_SHARE = 1 / 2
const CLOSE_END_SHARE = 3 / 8

/** Maximum time for closing connections after the last answers, in milliseconds. */
const MAX_CLOSE_MS = 100

/** Period of which the highest lateness counts, in milliseconds. */
const LATENESS_PERIOD_MS = 2000

/**
 * Plans the end of a drain: when requests in progress are ended, how long their last answers are waited for, and when the process exits.
 * All times are counted back from the kill, and the margin grows with the time by which the process runs behind its timers.
 */
export class DrainSchedule {
  /**
   * Creates a schedule of a drain that has not started.
   * @param options - Options of the schedule.
   */
  static create (options: DrainScheduleOptions): DrainSchedule {
    return new DrainSchedule(options)
  }

  private signalAtMs = Infinity
  private readonly lateness: RecentMaximum

  /** @internal */
  private constructor (private readonly options: DrainScheduleOptions) {
    this.lateness = RecentMaximum.create(options.clock, LATENESS_PERIOD_MS)
  }

  /**
   * Starts the drain.
   * @param signalDelayMs - Time for which the stop signal may have waited until the process handled it, in milliseconds.
   */
  start (signalDelayMs = 0): void {
    const { clock, graceMs } = this.options
    this.signalAtMs = clock.nowMs() - Math.min(signalDelayMs, graceMs * MAX_SIGNAL_DELAY_SHARE)
    this.recordLateness(signalDelayMs)
  }

  /**
   * Records by how much the process was late.
   * @param latenessMs - Time by which a timer fired late, in milliseconds.
   */
  recordLateness (latenessMs: number): void {
    this.lateness.record(latenessMs)
  }

  /** Returns the highest recent lateness, in milliseconds. */
  getLatenessMs (): number {
    return this.lateness.get() ?? 0
  }

  /** Returns whether the drain has started. */
  hasStarted (): boolean {
    return this.signalAtMs !== Infinity
  }

  /** Returns the time since the stop signal, in milliseconds. */
  getElapsedMs (): number {
    return this.options.clock.nowMs() - this.signalAtMs
  }

  /** Returns the time before the kill at which requests in progress are ended, in milliseconds. */
  getMarginMs (): number {
    return Math.min(EXIT_MARGIN_MS + MARGIN_PER_LATENESS * this.getLatenessMs(), this.getMaxMarginMs())
  }

  /** Returns the time after which requests in progress are ended, in milliseconds; `Infinity` before the drain. */
  getTimeLeftMs (): number {
    return this.getTimeUntilKillMs() - this.getMarginMs()
  }

  /** Returns the time for which requests in progress go on however late the process runs, in milliseconds; `Infinity` before the drain. */
  getCertainTimeLeftMs (): number {
    return this.getTimeUntilKillMs() - this.getMaxMarginMs()
  }

  /** Returns the time for which the last answers are waited for, in milliseconds. */
  getWriteTimeLeftMs (): number {
    return this.getTimeUntilKillMs() - this.getMarginMs() * WRITE_END_SHARE
  }

  /** Returns the time for which the process waits until its connections are closed, in milliseconds. */
  getCloseTimeLeftMs (): number {
    return Math.max(0, Math.min(MAX_CLOSE_MS, this.getTimeUntilKillMs() - this.getMarginMs() * CLOSE_END_SHARE))
  }

  private getMaxMarginMs (): number {
    return Math.max(EXIT_MARGIN_MS, this.options.graceMs * MAX_MARGIN_SHARE)
  }

  private getTimeUntilKillMs (): number {
    return this.signalAtMs + this.options.graceMs - this.options.clock.nowMs()
  }
}
