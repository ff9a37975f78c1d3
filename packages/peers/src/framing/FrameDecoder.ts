import { Result } from 'true-myth'

/** Length of the number in front of each frame, in bytes. */
export const FRAME_HEADER_BYTES = 4

/** Memory set aside for a frame before its bytes arrive. */
const FIRST_BODY_BYTES = 4096

const EMPTY_BODY = Buffer.alloc(0)

/** Options of a frame decoder. */
export interface FrameDecoderOptions {
  /** Longest frame that is accepted, in bytes. */
  readonly maxFrameBytes: number
}

/** Cuts a stream of bytes into frames. Its memory grows with what has arrived, never with what a header announces. */
export class FrameDecoder {
  /**
   * Creates a decoder at the start of a stream.
   * @param options - Options of the decoder.
   */
  static create (options: FrameDecoderOptions): FrameDecoder {
    return new FrameDecoder(options.maxFrameBytes)
  }

  private readonly header = Buffer.alloc(FRAME_HEADER_BYTES)
  private headerFilled = 0
  private body = EMPTY_BODY
  private bodyFilled = 0
  private bodyLength = 0

  /** @internal */
  private constructor (private maxFrameBytes: number) {}

  /** Tells whether a frame has started and not ended. */
  hasPartialFrame (): boolean {
    return this.headerFilled > 0
  }

  /** Gets the number of bytes set aside for the current frame. */
  getHeldBytes (): number {
    return this.body.length
  }

  /**
   * Sets the longest frame for the frames that start later.
   * @param maxFrameBytes - Length in bytes.
   */
  setMaxFrameBytes (maxFrameBytes: number): void {
    this.maxFrameBytes = maxFrameBytes
  }

  /**
   * Decodes the frames that end within the given bytes; fails when a header announces too long a frame.
   * @param bytes - Next bytes of the stream.
   */
  decodeBytes (bytes: Buffer): Result<Buffer[], 'oversize'> {
    const frames: Buffer[] = []
    let offset = 0
    while (offset < bytes.length) {
      offset += this.headerFilled < FRAME_HEADER_BYTES ? this.readHeader(bytes, offset) : this.readBody(bytes, offset)
      if (this.headerFilled < FRAME_HEADER_BYTES) continue
      if (this.bodyLength > this.maxFrameBytes) return Result.err('oversize')
      if (this.bodyFilled === this.bodyLength) frames.push(this.takeFrame())
    }
    return Result.ok(frames)
  }

  private readHeader (bytes: Buffer, offset: number): number {
    const copied = bytes.copy(this.header, this.headerFilled, offset, offset + FRAME_HEADER_BYTES - this.headerFilled)
    this.headerFilled += copied
    if (this.headerFilled === FRAME_HEADER_BYTES) this.bodyLength = this.header.readUInt32BE(0)
    return copied
  }

  private readBody (bytes: Buffer, offset: number): number {
    const available = Math.min(bytes.length - offset, this.bodyLength - this.bodyFilled)
    this.acquireRoom(this.bodyFilled + available)
    bytes.copy(this.body, this.bodyFilled, offset, offset + available)
    this.bodyFilled += available
    return available
  }

  private acquireRoom (neededBytes: number): void {
    if (neededBytes <= this.body.length) return
    const doubled = Math.max(FIRST_BODY_BYTES, this.body.length * 2, neededBytes)
    const grown = Buffer.allocUnsafe(Math.min(doubled, this.bodyLength))
    this.body.copy(grown, 0, 0, this.bodyFilled)
    this.body = grown
  }

  private takeFrame (): Buffer {
    const frame = this.body.subarray(0, this.bodyLength)
    this.body = EMPTY_BODY
    this.bodyFilled = 0
    this.bodyLength = 0
    this.headerFilled = 0
    return frame
  }
}
