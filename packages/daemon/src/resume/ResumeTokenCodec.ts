import { createHmac, timingSafeEqual } from 'node:crypto'
import { type Target } from '@fescuespoke/common'
import { type Delivery } from '@fescuespoke/schema'
import { Maybe } from 'true-myth'

/** Content of a resume token. */
export interface ResumeTokenPayload {
  /** Public id of the request. */
  readonly request: string
  readonly generation: string
  readonly target: Target
  readonly delivery: Delivery
}

/** Options of a resume token codec. */
export interface ResumeTokenCodecOptions {
  /** Secret key shared by the fleet. */
  readonly fleetKey: string
}

/** Encodes and decodes resume tokens. They are authenticated with the fleet's key, so every instance of the fleet accepts them. */
export class ResumeTokenCodec {
  /**
   * Creates a codec.
   * @param options - Options of the codec.
   */
  static create (options: ResumeTokenCodecOptions): ResumeTokenCodec {
    return new ResumeTokenCodec(options)
  }

  /** @internal */
  private constructor (private readonly options: ResumeTokenCodecOptions) {}

  /**
   * Encodes a token.
   * @param payload - Content of the token.
   */
  encodeToken (payload: ResumeTokenPayload): string {
    const encodedPayload = Buffer.from(JSON.stringify(payload)).toString('base64url')
    return `${encodedPayload}.${this.computeMac(encodedPayload).toString('base64url')}`
  }

  /**
   * Verifies and decodes a token.
   * @param token - The token.
   * @returns The payload, or `Maybe.nothing()` when the token was not issued by this fleet.
   */
  decodeToken (token: string): Maybe<ResumeTokenPayload> {
    const [encodedPayload = '', mac = ''] = token.split('.')
    const expectedMac = this.computeMac(encodedPayload)
    const receivedMac = Buffer.from(mac, 'base64url')
    if (receivedMac.length !== expectedMac.length || !timingSafeEqual(receivedMac, expectedMac)) return Maybe.nothing()
    return Maybe.just(JSON.parse(Buffer.from(encodedPayload, 'base64url').toString('utf8')) as ResumeTokenPayload)
  }

  private computeMac (encodedPayload: string): Buffer {
    return createHmac('sha256', this.options.fleetKey).update(encodedPayload).digest()
  }
}
