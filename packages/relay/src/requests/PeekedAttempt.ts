import { type Result } from 'true-myth'
import { type Attempt, type AttemptError, type AttemptHead, type NamedLimit } from '../targets/RelayTargetClient.js'

/** An attempt whose first bytes can be awaited before they are read. */
export class PeekedAttempt implements Attempt {
  /**
   * Creates an attempt of which nothing was read.
   * @param attempt - The attempt that is read.
   */
  static create (attempt: Attempt): PeekedAttempt {
    return new PeekedAttempt(attempt)
  }

  readonly head: Promise<Result<AttemptHead, AttemptError>>
  /** The bytes that were awaited and are not read yet. */
  private firstBytes: Promise<Result<Buffer | undefined, AttemptError>> | undefined

  /** @internal */
  private constructor (private readonly attempt: Attempt) {
    this.head = attempt.head
  }

  /** Waits for the next bytes, which are read later. */
  async waitForBytes (): Promise<Result<Buffer | undefined, AttemptError>> {
    this.firstBytes ??= this.attempt.readBytes()
    return await this.firstBytes
  }

  /** @inheritdoc */
  async readBytes (): Promise<Result<Buffer | undefined, AttemptError>> {
    const { firstBytes } = this
    this.firstBytes = undefined
    return await (firstBytes ?? this.attempt.readBytes())
  }

  /** @inheritdoc */
  isSent (): boolean {
    return this.attempt.isSent()
  }

  /** @inheritdoc */
  isBrokenOff (): boolean {
    return this.attempt.isBrokenOff()
  }

  /** @inheritdoc */
  getCause (): string | undefined {
    return this.attempt.getCause()
  }

  /** @inheritdoc */
  getNamedLimit (): NamedLimit | undefined {
    return this.attempt.getNamedLimit()
  }

  /** @inheritdoc */
  markLost (cause?: string): void {
    this.attempt.markLost(cause)
  }
}
