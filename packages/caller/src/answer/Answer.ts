import { type AnswerBuffer } from './AnswerBuffer.js'
import { type AnswerResult } from './AnswerResult.js'

/** Options of an answer. */
export interface AnswerOptions {
  readonly buffer: AnswerBuffer
  readonly result: Promise<AnswerResult>
  readonly cancel: () => void
}

/** Handle of one request: iterate over it for tokens, wait for its result, or cancel it. */
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

  /** Reads tokens as they arrive. The iteration ends with the answer; `wait` tells whether it is complete. */
  async * [Symbol.asyncIterator] (): AsyncGenerator<string> {
    for (let index = 0; ; index++) {
      const token = await this.options.buffer.readToken(index)
      if (token === undefined) return
      yield token
    }
  }

  /** Waits for the end. It never rejects. */
  async wait (): Promise<AnswerResult> {
    return await this.options.result
  }

  /** Gets the id of the request for operators, once an owner has accepted it. */
  getRequest (): string | undefined {
    return this.options.buffer.getRequest()
  }

  /** Cancels the request. The result tells what became of it, which may still be `complete`. */
  cancel (): void {
    this.options.cancel()
  }
}
