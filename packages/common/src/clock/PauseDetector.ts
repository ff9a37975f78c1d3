import { type Clock } from './Clock.js'

/** Interval between readings of the clock. */
const CLOCK_READ_INTERVAL_MS = 250

/** A gap between two readings that is longer than this counts as a pause. */
const PAUSE_THRESHOLD_MS = 1500

/** Time after a pause in which the process reads the input that arrived during the pause. */
const RECOVERY_PERIOD_MS = 500

/** Options of a pause detector. */
export interface PauseDetectorOptions {
  readonly clock: Clock
  /** Called with the length of each pause in milliseconds. */
  readonly onPause: (pauseMs: number) => void
}

/** Detects pauses of the process by gaps between readings of the clock. */
export class PauseDetector {
  /**
   * Creates a detector.
   * @param options - Options of the detector.
   */
  static create (options: PauseDetectorOptions): PauseDetector {
    return new PauseDetector(options)
  }

  private readonly listeners: Array<() => void> = []
  private readonly stopController = new AbortController()
  private lastReadingMs: number
  private pauseEndMs = -Infinity
  private lastPauseMs = 0
  /** Clock reading at which the current timer was started, `Infinity` before the first; and time that the previous one took. */
  private timerStartedAtMs = Infinity
  private lastGapMs = 0

  /** @internal */
  private constructor (private readonly options: PauseDetectorOptions) {
    this.lastReadingMs = options.clock.nowMs()
  }

  /**
   * Adds a listener.
   * @param listener - Called after each pause, before input that arrived in the meantime is handled.
   */
  addListener (listener: () => void): void {
    this.listeners.push(listener)
  }

  /** Reads the clock at a fixed interval until the detector is stopped. */
  async run (): Promise<void> {
    while (!this.stopController.signal.aborted) {
      this.timerStartedAtMs = this.options.clock.nowMs()
      await this.options.clock.sleep(CLOCK_READ_INTERVAL_MS, this.stopController.signal)
      this.lastGapMs = this.options.clock.nowMs() - this.timerStartedAtMs
      this.readClock()
    }
  }

  /**
   * Returns whether the process is still recovering from a pause. Input that is read now may have waited for an unknown time.
   */
  isRecovering (): boolean {
    this.readClock()
    return this.options.clock.nowMs() - this.pauseEndMs < RECOVERY_PERIOD_MS
  }

  /**
   * Returns the length of the last pause in milliseconds while the process recovers from it, otherwise 0. Input that is
   * read now can be this old.
   */
  getPauseMs (): number {
    return this.isRecovering() ? this.lastPauseMs : 0
  }

  /** Returns by how much the process runs behind its timers, in milliseconds; input that is read now can be this old. It is 0 before `run`. */
  getDelayMs (): number {
    const currentGapMs = this.options.clock.nowMs() - this.timerStartedAtMs
    return Math.max(0, this.lastGapMs - CLOCK_READ_INTERVAL_MS, currentGapMs - CLOCK_READ_INTERVAL_MS)
  }

  /** Stops reading the clock. */
  stop (): void {
    this.stopController.abort()
  }

  private readClock (): void {
    const { clock, onPause } = this.options
    const nowMs = clock.nowMs()
    const gapMs = nowMs - this.lastReadingMs
    this.lastReadingMs = nowMs
    if (gapMs <= PAUSE_THRESHOLD_MS) return
    this.pauseEndMs = nowMs
    this.lastPauseMs = gapMs
    onPause(gapMs)
    for (const listener of this.listeners) listener()
  }
}
