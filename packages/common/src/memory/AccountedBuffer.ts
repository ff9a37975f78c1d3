import { BUFFER_OVERHEAD_BYTES, type BufferAccount, type BufferBudget, type BufferOwner } from './BufferBudget.js'

/** Size below which parts that follow each other are joined, in bytes. */
const SMALL_PART_BYTES = 1024

/** Size of the memory in which they are joined, in bytes. */
const JOINED_PARTS_BYTES = 4096

/** Options of an accounted buffer. */
export interface AccountedBufferOptions {
  readonly bufferBudget: BufferBudget
  readonly owner: BufferOwner
  /** Called when the bytes were dropped because the process buffers too many. */
  readonly handleDrop: () => void
}

/** Bytes that are kept until they are read or forwarded, and accounted in the budget of the process. */
export class AccountedBuffer {
  /**
   * Creates an empty buffer.
   * @param options - Options of the buffer.
   */
  static create (options: AccountedBufferOptions): AccountedBuffer {
    return new AccountedBuffer(options)
  }

  private readonly account: BufferAccount
  private chunks: Buffer[] = []
  /** Memory in which the last parts were joined; it is the last chunk, up to the length that is used. */
  private joined: Buffer | undefined
  private byteCount = 0
  private hasDropped = false

  /** @internal */
  private constructor ({ bufferBudget, owner, handleDrop }: AccountedBufferOptions) {
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

  /** Returns the number of bytes of memory that are accounted: the buffered bytes, and what each part uses besides. */
  getAccountedBytes (): number {
    return this.byteCount + this.chunks.length * BUFFER_OVERHEAD_BYTES
  }

  /** Returns whether nothing is buffered. */
  isEmpty (): boolean {
    return this.chunks.length === 0
  }

  /** Returns the number of buffered bytes. */
  getByteCount (): number {
    return this.byteCount
  }

  /**
   * Adds the next bytes. Small parts are joined, since each uses memory of its own, and keeps in memory what arrived with it.
   * @param bytes - The bytes.
   */
  addBytes (bytes: Buffer): void {
    if (this.hasDropped) return
    if (!this.joinBytes(bytes)) this.pushChunk(bytes)
    this.setByteCount(this.byteCount + bytes.length)
  }

  /** Removes and returns the first of the buffered parts; undefined when there is none. */
  takeChunk (): Buffer | undefined {
    const chunk = this.chunks.shift()
    if (this.isEmpty()) this.joined = undefined
    if (chunk !== undefined) this.setByteCount(this.byteCount - chunk.length)
    return chunk
  }

  /** Removes and returns all bytes. */
  takeBytes (): Buffer {
    const { chunks } = this
    this.chunks = []
    this.joined = undefined
    this.setByteCount(0)
    return chunks.length === 1 ? chunks[0]! : Buffer.concat(chunks)
  }

  /** Returns all bytes, which stay accounted until they are released. */
  getBytes (): Buffer {
    const bytes = this.chunks.length === 1 ? this.chunks[0]! : Buffer.concat(this.chunks)
    if (!this.isEmpty()) this.chunks = [bytes]
    this.joined = undefined
    this.setByteCount(this.byteCount)
    return bytes
  }

  /** Records that the bytes are used by work that their end would break off. */
  markInUse (): void {
    this.account.markInUse()
  }

  /** Accounts the bytes no longer, which can still be taken. */
  closeAccount (): void {
    this.account.close()
  }

  /** Removes all bytes, and accounts no further ones. */
  release (): void {
    this.chunks = []
    this.joined = undefined
    this.byteCount = 0
    this.closeAccount()
  }

  private pushChunk (bytes: Buffer): void {
    this.joined = undefined
    this.chunks.push(bytes)
  }

  /** Joins small bytes with the last chunk; returns false if one of both is large. */
  private joinBytes (bytes: Buffer): boolean {
    const last = this.chunks.at(-1)
    if (last === undefined || bytes.length >= SMALL_PART_BYTES) return false
    const length = last.length + bytes.length
    if (this.joined === undefined) {
      if (last.length >= SMALL_PART_BYTES) return false
      this.joined = Buffer.allocUnsafe(JOINED_PARTS_BYTES)
      last.copy(this.joined)
    } else if (length > JOINED_PARTS_BYTES) return false
    bytes.copy(this.joined, last.length)
    this.chunks[this.chunks.length - 1] = this.joined.subarray(0, length)
    return true
  }

  private setByteCount (byteCount: number): void {
    this.byteCount = byteCount
    this.account.setBytes(this.getAccountedBytes())
  }
}
