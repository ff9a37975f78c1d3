import * as fc from 'fast-check'
import { describe, expect, it } from 'vitest'
import { encodeFrame, FrameDecoder } from '../../src/index.js'

const MAX_FRAME_BYTES = 64

/** Decodes chunks and returns the lengths of the frames, or the error. */
function doTest (chunks: readonly Uint8Array[]): string {
  const decoder = FrameDecoder.create({ maxFrameBytes: MAX_FRAME_BYTES })
  const lengths: number[] = []
  for (const chunk of chunks) {
    const frames = decoder.decodeBytes(Buffer.from(chunk))
    if (frames.isErr) return frames.error
    lengths.push(...frames.value.map(frame => frame.length))
  }
  return `${lengths.join(' ')}${decoder.hasPartialFrame() ? ' partial' : ''}`
}

describe('FrameDecoder', () => {
  it('decodes a frame received in one chunk', () => {
    expect(doTest([encodeFrame(Buffer.alloc(5))])).toMatchInlineSnapshot('"5"')
  })

  it('decodes two frames received in one chunk', () => {
    expect(doTest([Buffer.concat([encodeFrame(Buffer.alloc(5)), encodeFrame(Buffer.alloc(0))])])).toMatchInlineSnapshot('"5 0"')
  })

  it('detects an incomplete frame', () => {
    expect(doTest([encodeFrame(Buffer.alloc(5)).subarray(0, 8)])).toMatchInlineSnapshot('" partial"')
  })

  it('rejects a header that declares an oversize frame before the content arrives', () => {
    expect(doTest([Buffer.from([0, 0, 0, 65])])).toMatchInlineSnapshot('"oversize"')
  })

  it('accepts a frame of the maximum length', () => {
    expect(doTest([encodeFrame(Buffer.alloc(64))])).toMatchInlineSnapshot('"64"')
  })

  it('does not allocate memory for declared content that has not arrived', () => {
    const decoder = FrameDecoder.create({ maxFrameBytes: 1024 * 1024 * 1024 })
    decoder.decodeBytes(Buffer.from([0x3f, 0xff, 0xff, 0xff, 1]))
    expect(decoder.getAllocatedBytes()).toMatchInlineSnapshot('4096')
  })

  it('decodes the same frames for any chunk size', () => {
    const contents = fc.array(fc.uint8Array({ maxLength: MAX_FRAME_BYTES }), { maxLength: 8 })
    fc.assert(fc.property(contents, fc.integer({ min: 1, max: 7 }), (frames, chunkBytes) => {
      const stream = Buffer.concat(frames.map(encodeFrame))
      const decoder = FrameDecoder.create({ maxFrameBytes: MAX_FRAME_BYTES })
      const decoded: Buffer[] = []
      for (let offset = 0; offset < stream.length; offset += chunkBytes) {
        decoded.push(...decoder.decodeBytes(stream.subarray(offset, offset + chunkBytes)).unwrapOr([]))
      }
      expect(decoded.map(frame => [...frame])).toEqual(frames.map(frame => [...frame]))
    }), { seed: 1 })
  })

  it('never allocates more than the maximum frame length for arbitrary bytes', () => {
    fc.assert(fc.property(fc.array(fc.uint8Array({ maxLength: 200 }), { maxLength: 20 }), chunks => {
      const decoder = FrameDecoder.create({ maxFrameBytes: MAX_FRAME_BYTES })
      for (const chunk of chunks) {
        if (decoder.decodeBytes(Buffer.from(chunk)).isErr) return
        expect(decoder.getAllocatedBytes()).toBeLessThanOrEqual(MAX_FRAME_BYTES)
      }
    }), { seed: 2 })
  })
})
