import { type StreamAttempt } from './StreamAttempt.js'

/** The attempt at another engine that replaces the current one of a stream. */
export class AttemptReplacement {
  /** Creates a replacement that is not in progress. */
  static create (): AttemptReplacement {
    return new AttemptReplacement()
  }

  /** Attempt that is sent already and goes on with the run when the current one ends. */
  private nextAttempt: StreamAttempt | undefined
  /** Resolves when the replacement in progress has ended; undefined when there is none. */
  private progress: Promise<void> | undefined
  /** Name of the engine whose silent attempt was ended for another one. */
  private silentTarget: string | undefined
  private hasClosed = false

  /** @internal */
  private constructor () {}

  /**
   * Replaces the current attempt, unless that is in progress.
   * @param startNext - Starts the other attempt; undefined when the current one goes on.
   * @returns Whether there is another attempt.
   */
  async run (startNext: () => Promise<StreamAttempt | undefined>): Promise<boolean> {
    if (this.progress !== undefined) return false
    this.progress = startNext().then(next => {
      this.nextAttempt = next
      if (this.hasClosed) this.dropNextAttempt()
    })
    await this.progress
    this.progress = undefined
    return this.nextAttempt !== undefined
  }

  /** Returns and clears the attempt that goes on with the run; waits for a replacement in progress. Returns undefined when there is none. */
  async takeNextAttempt (): Promise<StreamAttempt | undefined> {
    await this.progress
    const { nextAttempt } = this
    this.nextAttempt = undefined
    return nextAttempt
  }

  /** Ends the attempt that would go on with the run; waits for a replacement in progress. */
  async drop (): Promise<void> {
    await this.progress
    this.dropNextAttempt()
  }

  /**
   * Records that the silent attempt at an engine is ended for another one that has not answered yet.
   * @param target - Name of the engine.
   */
  recordSilentTarget (target: string): void {
    this.silentTarget = target
  }

  /** Returns and clears the name of the engine whose silent attempt was ended; undefined when there is none. */
  takeSilentTarget (): string | undefined {
    const { silentTarget } = this
    this.silentTarget = undefined
    return silentTarget
  }

  /** Ends the other attempt, also one that is in progress once it is sent. */
  close (): void {
    this.hasClosed = true
    this.dropNextAttempt()
  }

  private dropNextAttempt (): void {
    this.nextAttempt?.close()
    this.nextAttempt = undefined
  }
}
