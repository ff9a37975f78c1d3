import { type AnswerBuffer } from './AnswerBuffer.js'
import { type AnswerResult } from './AnswerResult.js'

/** Options of an answer. */
export interface AnswerOptions {
  readonly buffer: AnswerBuffer
  readonly result: Promise<AnswerResult>
  readonly cancel: () => void
}

/** Handle of one request. Iterate over it to read the tokens, wait for its result, or cancel the request. */
export class Answer implements AsyncIterable<string> {
  /**
   * Creates the handle of a running request.
   * @param options - Options of the answer.
   */
  static create (options: AnswerOptions): Answer {
    return new Answer(options)
  }

  /** @internal */
  private constructor (private readonly options: AnswerOptions) {}

  /**
   * Yields tokens as they arrive. The iteration also ends when the request fails; use `wait` to check whether the
   * answer is complete.
   */
  async * [Symbol.asyncIterator] (): AsyncGenerator<string> {
    for (let index = 0; ; index++) {
      const token = await this.options.buffer.readToken(index)
      if (token === undefined) return
      yield token
    }
  }

  /** Waits for the result of the request. The promise never rejects. */
  async wait (): Promise<AnswerResult> {
    return await this.options.result
  }

  /** Returns the id under which operators find the request, or undefined until an owner has accepted it. */
  getRequest (): string | undefined {
    return this.options.buffer.getRequest()
  }

  /** Cancels the request. The outcome may still be `complete` if the request finished before it was cancelled. */
  cancel (): void {
    this.options.cancel()
  }
}
