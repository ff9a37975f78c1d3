import { BUFFER_OVERHEAD_BYTES, type BufferAccount, type BufferBudget, type BufferOwner } from '@fescuespoke/common'

/** Options of an answer buffer. */
export interface AnswerBufferOptions {
  readonly bufferBudget: BufferBudget
  readonly owner: BufferOwner
  /** Called when the bytes were dropped because the process buffers too many. */
  readonly handleDrop: () => void
}

/** Bytes of an answer that are not forwarded yet. */
export class AnswerBuffer {
  /**
   * Creates an empty buffer.
   * @param options - Options of the buffer.
   */
  static create (options: AnswerBufferOptions): AnswerBuffer {
    return new AnswerBuffer(options)
  }

  private readonly account: BufferAccount
  private chunks: Buffer[] = []
  private byteCount = 0
  private hasDropped = false

  /** @internal */
  private constructor ({ bufferBudget, owner, handleDrop }: AnswerBufferOptions) {
    this.account = bufferBudget.openAccount({
      ...owner,
      end: () => {
        this.hasDropped = true
        this.release()
        handleDrop()
      }
    })
  }

  /** Returns whether the bytes were dropped because the process buffers too many. */
  isDropped (): boolean {
    return this.hasDropped
  }

  /** Returns the number of buffered bytes. */
  getByteCount (): number {
    return this.byteCount
  }

  /**
   * Adds the next bytes of the answer.
   * @param bytes - The bytes.
   */
  addBytes (bytes: Buffer): void {
    if (this.hasDropped) return
    this.chunks.push(bytes)
    this.setByteCount(this.byteCount + bytes.length)
  }

  /** Removes and returns the first of the buffered parts; undefined when there is none. */
  takeChunk (): Buffer | undefined {
    const chunk = this.chunks.shift()
    if (chunk !== undefined) this.setByteCount(this.byteCount - chunk.length)
    return chunk
  }

  /** Removes all bytes, and accounts no further ones. */
  release (): void {
    this.chunks = []
    this.byteCount = 0
    this.account.close()
  }

  private setByteCount (byteCount: number): void {
    this.byteCount = byteCount
    this.account.setBytes(byteCount + this.chunks.length * BUFFER_OVERHEAD_BYTES)
  }
}
