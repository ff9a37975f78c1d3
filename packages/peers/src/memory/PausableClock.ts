import { type CancelTimer, type Clock, sleepOnTimer } from '@fescuespoke/common'

/** Clock of one simulated process. Timers that become due while it is paused run in order after it is resumed. */
export class PausableClock implements Clock {
  /**
   * Creates a running clock.
   * @param baseClock - Clock shared by all simulated processes.
   */
  static create (baseClock: Clock): PausableClock {
    return new PausableClock(baseClock)
  }

  private paused = false
  private deferredTasks: Array<() => void> = []

  /** @internal */
  private constructor (private readonly baseClock: Clock) {}

  /** Returns the time in milliseconds, which continues to advance during a pause. */
  nowMs (): number {
    return this.baseClock.nowMs()
  }

  /**
   * Runs a handler once after a delay, or when the process is resumed if it is paused then. Returns a function that
   * cancels the timer.
   * @param delayMs - Delay in milliseconds.
   * @param handler - Called when the timer fires.
   */
  startTimer (delayMs: number, handler: () => void): CancelTimer {
    let isCancelled = false
    const run = (): void => { if (!isCancelled) handler() }
    const cancelBaseTimer = this.baseClock.startTimer(delayMs, () => this.runOrDefer(run))
    return () => {
      isCancelled = true
      cancelBaseTimer()
    }
  }

  /**
   * Waits for a duration.
   * @param delayMs - Duration in milliseconds.
   * @param signal - Ends the wait early when aborted.
   */
  async sleep (delayMs: number, signal?: AbortSignal): Promise<void> {
    await sleepOnTimer(this, delayMs, signal)
  }

  /** Returns whether the process is paused. */
  isPaused (): boolean {
    return this.paused
  }

  /** Pauses the process. */
  pause (): void {
    this.paused = true
  }

  /** Resumes the process. Tasks deferred during the pause run first. */
  resume (): void {
    this.paused = false
    const deferredTasks = this.deferredTasks
    this.deferredTasks = []
    for (const task of deferredTasks) this.baseClock.startTimer(0, () => this.runOrDefer(task))
  }

  /**
   * Runs a task immediately, or when the process is resumed if it is paused.
   * @param task - Task to run.
   */
  runOrDefer (task: () => void): void {
    if (this.paused) this.deferredTasks.push(task)
    else task()
  }
}
