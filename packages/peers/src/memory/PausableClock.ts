import { type CancelTimer, type Clock, sleepOnTimer } from '@fescuespoke/common'

/** Clock of one simulated process: while it is paused, its timers fall due and run only afterwards, in their order. */
export class PausableClock implements Clock {
  /**
   * Creates a running clock.
   * @param base - Clock of the whole test.
   */
  static create (base: Clock): PausableClock {
    return new PausableClock(base)
  }

  private paused = false
  private held: Array<() => void> = []

  /** @internal */
  private constructor (private readonly base: Clock) {}

  /** Gets the reading in milliseconds, which goes on during a pause. */
  nowMs (): number {
    return this.base.nowMs()
  }

  /**
   * Runs a handler once after a duration, or at the end of the pause in which it falls due.
   * @param delayMs - Duration in milliseconds.
   * @param handler - What to run.
   */
  startTimer (delayMs: number, handler: () => void): CancelTimer {
    let cancelled = false
    const run = (): void => { if (!cancelled) handler() }
    const cancelBase = this.base.startTimer(delayMs, () => this.runOrHold(run))
    return () => {
      cancelled = true
      cancelBase()
    }
  }

  /**
   * Waits for a duration.
   * @param delayMs - Duration in milliseconds.
   * @param signal - Ends the wait early.
   */
  async sleep (delayMs: number, signal?: AbortSignal): Promise<void> {
    await sleepOnTimer(this, delayMs, signal)
  }

  /** Tells whether the process is paused. */
  isPaused (): boolean {
    return this.paused
  }

  /** Pauses the process. */
  pause (): void {
    this.paused = true
  }

  /** Ends the pause; what fell due meanwhile runs first. */
  resume (): void {
    this.paused = false
    const held = this.held
    this.held = []
    for (const run of held) this.base.startTimer(0, () => this.runOrHold(run))
  }

  /**
   * Runs something now, or at the end of the pause.
   * @param run - What to run.
   */
  runOrHold (run: () => void): void {
    if (this.paused) this.held.push(run)
    else run()
  }
}
