import { type Clock } from './Clock.js'

/** Interval of readings in milliseconds. */
const READ_INTERVAL_MS = 250

/** Gap between readings that counts as a pause, in milliseconds. */
const PAUSE_MS = 1500

/** Time after a pause in which what arrived during it is taken in, in milliseconds. */
const RECOVERY_MS = 500

/** Options of a pause detector. */
export interface PauseDetectorOptions {
  readonly clock: Clock
  /** Receives the length of each pause in milliseconds. */
  readonly onPause: (pauseMs: number) => void
}

/** Notices that the process was paused, from gaps between readings of the clock. */
export class PauseDetector {
  /**
   * Creates a detector.
   * @param options - Options of the detector.
   */
  static create (options: PauseDetectorOptions): PauseDetector {
    return new PauseDetector(options)
  }

  private readonly stopping = new AbortController()
  private lastMs: number
  private pauseEndMs = -Infinity
  private pauseMs = 0

  /** @internal */
  private constructor (private readonly options: PauseDetectorOptions) {
    this.lastMs = options.clock.nowMs()
  }

  /** Reads the clock until stopped. */
  async run (): Promise<void> {
    while (!this.stopping.signal.aborted) {
      await this.options.clock.sleep(READ_INTERVAL_MS, this.stopping.signal)
      this.readClock()
    }
  }

  /**
   * Tells whether the process was paused a moment ago. Input that is read now may have waited for an unknown time.
   */
  isRecovering (): boolean {
    this.readClock()
    return this.options.clock.nowMs() - this.pauseEndMs < RECOVERY_MS
  }

  /** Gets how long the process was paused while it is recovering, else 0: the age that input read now may have, in milliseconds. */
  getPauseMs (): number {
    return this.isRecovering() ? this.pauseMs : 0
  }

  /** Stops reading. */
  stop (): void {
    this.stopping.abort()
  }

  private readClock (): void {
    const { clock, onPause } = this.options
    const nowMs = clock.nowMs()
    const gapMs = nowMs - this.lastMs
    this.lastMs = nowMs
    if (gapMs <= PAUSE_MS) return
    this.pauseEndMs = nowMs
    this.pauseMs = gapMs
    onPause(gapMs)
  }
}
