import { Result } from 'true-myth'

/** Length of the header of a frame in bytes. The header holds the length of the content. */
export const FRAME_HEADER_BYTES = 4

/** Buffer size allocated when the first bytes of the content of a frame arrive. */
const INITIAL_BODY_CAPACITY_BYTES = 4096

const EMPTY_BODY = Buffer.alloc(0)

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
  private body = EMPTY_BODY
  private bodyBytesRead = 0
  private bodyLength = 0

  /** @internal */
  private constructor (private maxFrameBytes: number) {}

  /** Returns whether a frame has been received in part. */
  hasPartialFrame (): boolean {
    return this.headerBytesRead > 0
  }

  /** Returns the number of bytes allocated for the content of the current frame. */
  getAllocatedBytes (): number {
    return this.body.length
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
      offset += this.headerBytesRead < FRAME_HEADER_BYTES ? this.readHeader(bytes, offset) : this.readBody(bytes, offset)
      if (this.headerBytesRead < FRAME_HEADER_BYTES) continue
      if (this.bodyLength > this.maxFrameBytes) return Result.err('oversize')
      if (this.bodyBytesRead === this.bodyLength) frames.push(this.takeFrame())
    }
    return Result.ok(frames)
  }

  private readHeader (bytes: Buffer, offset: number): number {
    const copied = bytes.copy(this.header, this.headerBytesRead, offset, offset + FRAME_HEADER_BYTES - this.headerBytesRead)
    this.headerBytesRead += copied
    if (this.headerBytesRead === FRAME_HEADER_BYTES) this.bodyLength = this.header.readUInt32BE(0)
    return copied
  }

  private readBody (bytes: Buffer, offset: number): number {
    const available = Math.min(bytes.length - offset, this.bodyLength - this.bodyBytesRead)
    this.ensureCapacity(this.bodyBytesRead + available)
    bytes.copy(this.body, this.bodyBytesRead, offset, offset + available)
    this.bodyBytesRead += available
    return available
  }

  private ensureCapacity (requiredBytes: number): void {
    if (requiredBytes <= this.body.length) return
    const desiredCapacityBytes = Math.max(INITIAL_BODY_CAPACITY_BYTES, this.body.length * 2, requiredBytes)
    const enlargedBody = Buffer.allocUnsafe(Math.min(desiredCapacityBytes, this.bodyLength))
    this.body.copy(enlargedBody, 0, 0, this.bodyBytesRead)
    this.body = enlargedBody
  }

  private takeFrame (): Buffer {
    const frame = this.body.subarray(0, this.bodyLength)
    this.body = EMPTY_BODY
    this.bodyBytesRead = 0
    this.bodyLength = 0
    this.headerBytesRead = 0
    return frame
  }
}
