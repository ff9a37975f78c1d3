import { FRAME_HEADER_BYTES } from './FrameDecoder.js'

/** A frame without content; it shows that its sender is alive. */
export const HEARTBEAT_FRAME: Buffer = Buffer.alloc(FRAME_HEADER_BYTES)

/**
 * Encodes a frame: the length of its content as four bytes, most significant first, then the content.
 * @param content - Bytes of the frame.
 */
export function encodeFrame (content: Uint8Array): Buffer {
  const frame = Buffer.allocUnsafe(FRAME_HEADER_BYTES + content.length)
  frame.writeUInt32BE(content.length, 0)
  frame.set(content, FRAME_HEADER_BYTES)
  return frame
}
