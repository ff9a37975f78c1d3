import { FRAME_HEADER_BYTES } from './FrameDecoder.js'

/** Frame without content, sent as a heartbeat. */
export const HEARTBEAT_FRAME: Buffer = Buffer.alloc(FRAME_HEADER_BYTES)

/**
 * Encodes a frame: the length of the content as a 32-bit big-endian integer, followed by the content.
 * @param content - Content of the frame.
 */
export function encodeFrame (content: Uint8Array): Buffer {
  const frame = Buffer.allocUnsafe(FRAME_HEADER_BYTES + content.length)
  frame.writeUInt32BE(content.length, 0)
  frame.set(content, FRAME_HEADER_BYTES)
  return frame
}
