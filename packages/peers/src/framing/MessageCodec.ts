import { type AnyPeerMessage } from '@fescuespoke/common'
import { PEER_MESSAGE_CHECKS } from '@fescuespoke/schema'
import { Decoder, Encoder } from 'cbor-x'
import { Result } from 'true-myth'
import { MESSAGE_KEYS } from './messageKeys.js'

/** Purpose of a frame. */
export type EnvelopeKind = 'request' | 'answer' | 'handshake'

/** Message with the id that correlates an answer with its request. */
export interface Envelope {
  readonly kind: EnvelopeKind
  /** Id of the request, unique on its connection; 0 during the handshake. */
  readonly id: number
  readonly message: AnyPeerMessage
}

const KEY_MAP = Object.fromEntries(MESSAGE_KEYS.map((key, index) => [key, index + 1]))
const CODEC_OPTIONS = { useRecords: false, mapsAsObjects: true, keyMap: KEY_MAP }
const ENVELOPE_KINDS: ReadonlySet<unknown> = new Set<EnvelopeKind>(['request', 'answer', 'handshake'])

/** Encodes and decodes messages as CBOR (RFC 8949) and validates decoded messages against the schema. */
export class MessageCodec {
  /** Creates a codec. */
  static create (): MessageCodec {
    return new MessageCodec()
  }

  private readonly encoder = new Encoder(CODEC_OPTIONS)
  private readonly decoder = new Decoder(CODEC_OPTIONS)

  /** @internal */
  private constructor () {}

  /**
   * Encodes an envelope.
   * @param envelope - The envelope.
   */
  encodeEnvelope (envelope: Envelope): Uint8Array {
    return this.encoder.encode(envelope)
  }

  /**
   * Decodes an envelope. Fails if the bytes are not valid CBOR or the message does not conform to the schema.
   * @param bytes - Content of a frame.
   */
  decodeEnvelope (bytes: Uint8Array): Result<Envelope, 'malformed'> {
    const decoded = this.decodeBytes(bytes)
    if (!isEnvelope(decoded)) return Result.err('malformed')
    const isValid = PEER_MESSAGE_CHECKS.get(decoded.message.type)?.(decoded.message) === true
    return isValid ? Result.ok(decoded) : Result.err('malformed')
  }

  private decodeBytes (bytes: Uint8Array): unknown {
    try {
      return this.decoder.decode(bytes)
    } catch {
      return undefined
    }
  }
}

function isEnvelope (value: unknown): value is Envelope {
  if (typeof value !== 'object' || value === null) return false
  const { kind, id, message } = value as Partial<Record<keyof Envelope, unknown>>
  return ENVELOPE_KINDS.has(kind) && Number.isSafeInteger(id) && typeof message === 'object' && message !== null
}
