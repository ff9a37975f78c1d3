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
  /** Ends the wait for the answer of the other engine; undefined while nobody waits. */
  private endWait: (() => void) | undefined

  /** @internal */
  private constructor () {}

  /**
   * Replaces the current attempt, unless that is in progress.
   * @param startNext - Starts the other attempt; undefined when the current one goes on.
   * @returns Whether there is another attempt.
   */
  async run (startNext: () => Promise<StreamAttempt | undefined>): Promise<boolean> {
    if (this.progress !== undefined) return false
    this.progress = startNext().then(next => { this.nextAttempt = next })
    await this.progress
    this.progress = undefined
    return this.nextAttempt !== undefined
  }

  /**
   * Waits for the answer of the other engine, until the current attempt ends at most.
   * @param answer - The answer.
   * @returns The answer, or `pending` when the current attempt ended before it.
   */
  async waitForAnswer<Answer> (answer: Promise<Answer>): Promise<Answer | 'pending'> {
    const attemptEnded = new Promise<'pending'>(resolve => { this.endWait = () => resolve('pending') })
    const result = await Promise.race([answer, attemptEnded])
    this.endWait = undefined
    return result
  }

  /** Returns and clears the attempt that goes on with the run if its answer has begun; undefined when there is none. */
  takeBegunAttempt (): StreamAttempt | undefined {
    const { nextAttempt } = this
    this.nextAttempt = undefined
    return nextAttempt
  }

  /** Returns and clears the attempt that goes on with the run now that the current one has ended, also one that is in progress; undefined when there is none. */
  async takeNextAttempt (): Promise<StreamAttempt | undefined> {
    this.endWait?.()
    await this.progress
    return this.takeBegunAttempt()
  }

  /** Ends the attempt that would go on with the run, also one that is in progress once it is sent. */
  drop (): void {
    this.endWait?.()
    this.progress?.then(() => this.dropNextAttempt())
    this.dropNextAttempt()
  }

  private dropNextAttempt (): void {
    this.nextAttempt?.close()
    this.nextAttempt = undefined
  }
}
