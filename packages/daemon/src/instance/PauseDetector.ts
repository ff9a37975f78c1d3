import { type Clock } from '@fescuespoke/common'

/** Interval of readings in milliseconds. */
const READ_INTERVAL_MS = 250

/** Gap between readings that counts as a pause, in milliseconds. */
const PAUSE_MS = 1500

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

  /** @internal */
  private constructor (private readonly options: PauseDetectorOptions) {}

  /** Reads the clock until stopped. */
  async run (): Promise<void> {
    const { clock, onPause } = this.options
    let lastMs = clock.nowMs()
    while (!this.stopping.signal.aborted) {
      await clock.sleep(READ_INTERVAL_MS, this.stopping.signal)
      const gapMs = clock.nowMs() - lastMs
      if (gapMs > PAUSE_MS) onPause(gapMs)
      lastMs = clock.nowMs()
    }
  }

  /** Stops reading. */
  stop (): void {
    this.stopping.abort()
  }
}
