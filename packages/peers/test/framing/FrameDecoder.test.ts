import * as fc from 'fast-check'
import { describe, expect, it } from 'vitest'
import { encodeFrame, FrameDecoder } from '../../src/index.js'

const MAX_FRAME_BYTES = 64

/** Feeds chunks and returns the lengths of the frames, or the error. */
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
  it('reads a frame in one piece', () => {
    expect(doTest([encodeFrame(Buffer.alloc(5))])).toMatchInlineSnapshot('"5"')
  })

  it('reads two frames in one piece', () => {
    expect(doTest([Buffer.concat([encodeFrame(Buffer.alloc(5)), encodeFrame(Buffer.alloc(0))])])).toMatchInlineSnapshot('"5 0"')
  })

  it('knows that a frame is not complete', () => {
    expect(doTest([encodeFrame(Buffer.alloc(5)).subarray(0, 8)])).toMatchInlineSnapshot('" partial"')
  })

  it('refuses a frame that is announced as too long before its content arrives', () => {
    expect(doTest([Buffer.from([0, 0, 0, 65])])).toMatchInlineSnapshot('"oversize"')
  })

  it('accepts the longest frame', () => {
    expect(doTest([encodeFrame(Buffer.alloc(64))])).toMatchInlineSnapshot('"64"')
  })

  it('sets no memory aside for content that was announced and did not arrive', () => {
    const decoder = FrameDecoder.create({ maxFrameBytes: 1024 * 1024 * 1024 })
    decoder.decodeBytes(Buffer.from([0x3f, 0xff, 0xff, 0xff, 1]))
    expect(decoder.getHeldBytes()).toMatchInlineSnapshot('4096')
  })

  it('gives the same frames however the stream is cut', () => {
    const contents = fc.array(fc.uint8Array({ maxLength: MAX_FRAME_BYTES }), { maxLength: 8 })
    fc.assert(fc.property(contents, fc.integer({ min: 1, max: 7 }), (frames, step) => {
      const stream = Buffer.concat(frames.map(encodeFrame))
      const decoder = FrameDecoder.create({ maxFrameBytes: MAX_FRAME_BYTES })
      const decoded: Buffer[] = []
      for (let at = 0; at < stream.length; at += step) {
        decoded.push(...decoder.decodeBytes(stream.subarray(at, at + step)).unwrapOr([]))
      }
      expect(decoded.map(frame => [...frame])).toEqual(frames.map(frame => [...frame]))
    }), { seed: 1 })
  })

  it('holds no more than the longest frame for any bytes', () => {
    fc.assert(fc.property(fc.array(fc.uint8Array({ maxLength: 200 }), { maxLength: 20 }), chunks => {
      const decoder = FrameDecoder.create({ maxFrameBytes: MAX_FRAME_BYTES })
      for (const chunk of chunks) {
        if (decoder.decodeBytes(Buffer.from(chunk)).isErr) return
        expect(decoder.getHeldBytes()).toBeLessThanOrEqual(MAX_FRAME_BYTES)
      }
    }), { seed: 2 })
  })
})
