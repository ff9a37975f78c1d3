import { Result } from 'true-myth'

/** Length of the header of a frame in bytes. The header holds the length of the content. */
export const FRAME_HEADER_BYTES = 4

/** Buffer size allocated when the first bytes of the content of a frame arrive. */
const INITIAL_CONTENT_CAPACITY_BYTES = 4096

const EMPTY_CONTENT = Buffer.alloc(0)

/** Options of a frame decoder. */
export interface FrameDecoderOptions {
  /** Maximum length of the content of a frame in bytes. */
  readonly maxFrameBytes: number
}

/** Splits a byte stream into frames. Allocates memory for received bytes, not for the length declared in a header. */
export class FrameDecoder {
  /**
   * Creates a decoder for a new stream.
   * @param options - Options of the decoder.
   */
  static create (options: FrameDecoderOptions): FrameDecoder {
    return new FrameDecoder(options.maxFrameBytes)
  }

  private readonly header = Buffer.alloc(FRAME_HEADER_BYTES)
  private headerBytesRead = 0
  private content = EMPTY_CONTENT
  private contentBytesRead = 0
  private contentLength = 0

  /** @internal */
  private constructor (private maxFrameBytes: number) {}

  /** Returns whether a frame has been received in part. */
  hasPartialFrame (): boolean {
    return this.headerBytesRead > 0
  }

  /** Returns the number of bytes allocated for the content of the current frame. */
  getAllocatedBytes (): number {
    return this.content.length
  }

  /**
   * Sets the maximum length of the frames that are decoded from now on.
   * @param maxFrameBytes - Maximum length of the content in bytes.
   */
  setMaxFrameBytes (maxFrameBytes: number): void {
    this.maxFrameBytes = maxFrameBytes
  }

  /**
   * Decodes the next bytes of the stream and returns the content of each completed frame. Fails if a header declares a
   * frame longer than the maximum.
   * @param bytes - Next bytes of the stream.
   */
  decodeBytes (bytes: Buffer): Result<Buffer[], 'oversize'> {
    const frames: Buffer[] = []
    let offset = 0
    while (offset < bytes.length) {
      offset += this.headerBytesRead < FRAME_HEADER_BYTES ? this.readHeader(bytes, offset) : this.readContent(bytes, offset)
      if (this.headerBytesRead < FRAME_HEADER_BYTES) continue
      if (this.contentLength > this.maxFrameBytes) return Result.err('oversize')
      if (this.contentBytesRead === this.contentLength) frames.push(this.takeFrame())
    }
    return Result.ok(frames)
  }

  private readHeader (bytes: Buffer, offset: number): number {
    const copied = bytes.copy(this.header, this.headerBytesRead, offset, offset + FRAME_HEADER_BYTES - this.headerBytesRead)
    this.headerBytesRead += copied
    if (this.headerBytesRead === FRAME_HEADER_BYTES) this.contentLength = this.header.readUInt32BE(0)
    return copied
  }

  private readContent (bytes: Buffer, offset: number): number {
    const available = Math.min(bytes.length - offset, this.contentLength - this.contentBytesRead)
    this.ensureCapacity(this.contentBytesRead + available)
    bytes.copy(this.content, this.contentBytesRead, offset, offset + available)
    this.contentBytesRead += available
    return available
  }

  private ensureCapacity (requiredBytes: number): void {
    if (requiredBytes <= this.content.length) return
    const desiredCapacityBytes = Math.max(INITIAL_CONTENT_CAPACITY_BYTES, this.content.length * 2, requiredBytes)
    const enlargedContent = Buffer.allocUnsafe(Math.min(desiredCapacityBytes, this.contentLength))
    this.content.copy(enlargedContent, 0, 0, this.contentBytesRead)
    this.content = enlargedContent
  }

  private takeFrame (): Buffer {
    const frame = this.content.subarray(0, this.contentLength)
    this.content = EMPTY_CONTENT
    this.contentBytesRead = 0
    this.contentLength = 0
    this.headerBytesRead = 0
    return frame
  }
}
