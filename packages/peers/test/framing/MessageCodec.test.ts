import { encode } from 'cbor-x'
import * as fc from 'fast-check'
import { describe, expect, it } from 'vitest'
import { type Envelope, MessageCodec } from '../../src/index.js'
import { MESSAGE_KEYS } from '../../src/framing/messageKeys.js'

const codec = MessageCodec.create()
const news = { members: [], revision: 1, listVersion: 2, listAgeMs: 3 }

/** Encodes a value with text keys, as a peer of another version may do, and decodes it. */
function doTest (value: unknown): string {
  return codec.decodeEnvelope(encode(value)).match({ Ok: envelope => JSON.stringify(envelope), Err: error => error })
}

describe('MessageCodec', () => {
  it('decodes an encoded envelope', () => {
    const envelope: Envelope = { kind: 'request', id: 7, message: { type: 'ping', news } }
    expect(codec.decodeEnvelope(codec.encodeEnvelope(envelope)).unwrapOr(undefined)).toEqual(envelope)
  })

  it('decodes published values whose keys equal field names', () => {
    const message = { type: 'valuesAnswer', revision: 1, values: { kind: 'a', 7: 'b', __proto__x: 'c', type: 'd' } } as const
    const envelope: Envelope = { kind: 'answer', id: 1, message }
    expect(codec.decodeEnvelope(codec.encodeEnvelope(envelope)).unwrapOr(undefined)).toEqual(envelope)
  })

  it('decodes field names that are encoded as text', () => {
    expect(doTest({ kind: 'request', id: 7, message: { type: 'ping', news } })).toMatchInlineSnapshot('"{"kind":"request","id":7,"message":{"type":"ping","news":{"members":[],"revision":1,"listVersion":2,"listAgeMs":3}}}"')
  })

  it('rejects an unknown message type', () => {
    expect(doTest({ kind: 'request', id: 7, message: { type: 'shutdown' } })).toMatchInlineSnapshot('"malformed"')
  })

  it('rejects a field that is not in the schema', () => {
    expect(doTest({ kind: 'request', id: 7, message: { type: 'lengthsRequest', more: 1 } })).toMatchInlineSnapshot('"malformed"')
  })

  it('rejects a message with a missing field', () => {
    expect(doTest({ kind: 'request', id: 7, message: { type: 'ping' } })).toMatchInlineSnapshot('"malformed"')
  })

  it('rejects an id that is not an integer', () => {
    expect(doTest({ kind: 'request', id: 0.5, message: { type: 'ping', news } })).toMatchInlineSnapshot('"malformed"')
  })

  it('rejects an unknown envelope kind', () => {
    expect(doTest({ kind: 'order', id: 1, message: { type: 'ping', news } })).toMatchInlineSnapshot('"malformed"')
  })

  it('rejects values that are not objects', () => {
    expect([null, 1, 'text', [], { kind: 'request', id: 1, message: null }].map(doTest)).toMatchInlineSnapshot(`
      [
        "malformed",
        "malformed",
        "malformed",
        "malformed",
        "malformed",
      ]
    `)
  })

  it('never throws on random bytes', () => {
    fc.assert(fc.property(fc.uint8Array({ maxLength: 400 }), bytes => {
      expect(codec.decodeEnvelope(bytes).isErr).toBe(true)
    }), { seed: 1, numRuns: 3000 })
  })

  it('never throws on a damaged message', () => {
    const validBytes = codec.encodeEnvelope({ kind: 'request', id: 7, message: { type: 'ping', news } })
    fc.assert(fc.property(fc.nat(validBytes.length - 1), fc.nat(255), fc.nat(validBytes.length), (index, byte, length) => {
      const damagedBytes = Uint8Array.from(validBytes)
      damagedBytes[index] = byte
      const decoded = codec.decodeEnvelope(damagedBytes.subarray(0, length))
      expect(decoded.isErr || decoded.value.message.type === 'ping').toBe(true)
    }), { seed: 2, numRuns: 3000 })
  })

  it('encodes field names as numbers that never change', () => {
    expect(MESSAGE_KEYS.slice(0, 54).join(' ')).toMatchInlineSnapshot('"kind id message type protocol fleet instance incarnation availabilityZone region nonce proof counter state url peerAddress news members revision listVersion listAgeMs reached haveRevision values haveVersion version ageMs entries role target tokens sequences validForMs priority histograms heldTokens heldSequences wantTokens wantSequences heldMean heldDeviation totalTokens totalSequences key text digest keptDigest afterKey nextAfterKey baseRevision deleted kept baseVersion removed"')
    expect(new Set(MESSAGE_KEYS).size).toBe(MESSAGE_KEYS.length)
  })
})
