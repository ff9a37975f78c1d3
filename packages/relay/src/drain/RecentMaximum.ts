import { type Clock } from '@fescuespoke/common'

/** Highest of the values of the last one to two periods. */
export class RecentMaximum {
  /**
   * Creates a maximum without values.
   * @param clock - Clock of the instance.
   * @param periodMs - Length of a period, in milliseconds.
   */
  static create (clock: Clock, periodMs: number): RecentMaximum {
    return new RecentMaximum(clock, periodMs)
  }

  private periodStartMs: number
  private current: number | undefined
  private previous: number | undefined

  /** @internal */
  private constructor (private readonly clock: Clock, private readonly periodMs: number) {
    this.periodStartMs = clock.nowMs()
  }

  /**
   * Records a value.
   * @param value - The value.
   */
  record (value: number): void {
    this.startPeriodIfDue()
    this.current = Math.max(value, this.current ?? value)
  }

  /** Returns the highest recent value; undefined when there is none. */
  get (): number | undefined {
    this.startPeriodIfDue()
    const { current, previous } = this
    return current === undefined ? previous : Math.max(current, previous ?? current)
  }

  private startPeriodIfDue (): void {
    const passedMs = this.clock.nowMs() - this.periodStartMs
    if (passedMs < this.periodMs) return
    this.previous = passedMs < 2 * this.periodMs ? this.current : undefined
    this.current = undefined
    this.periodStartMs += Math.floor(passedMs / this.periodMs) * this.periodMs
  }
}
