import { createHmac, timingSafeEqual } from 'node:crypto'
import { type Target } from '@fescuespoke/common'
import { type Delivery } from '@fescuespoke/schema'
import { Maybe } from 'true-myth'

/** What a resume token names. */
export interface ResumeTokenPayload {
  /** Public id of the request. */
  readonly request: string
  readonly generation: string
  readonly target: Target
  readonly delivery: Delivery
}

/** Options of resume tokens. */
export interface ResumeTokenCodecOptions {
  /** Secret of the fleet. */
  readonly fleetKey: string
}

/** Encodes and decodes authenticated resume tokens, which any instance of the fleet understands. */
export class ResumeTokens {
  /**
   * Creates an encoder.
   * @param options - Options of the encoder.
   */
  static create (options: ResumeTokenCodecOptions): ResumeTokens {
    return new ResumeTokens(options)
  }

  /** @internal */
  private constructor (private readonly options: ResumeTokenCodecOptions) {}

  /**
   * Encodes a token.
   * @param payload - What it names.
   */
  encodeToken (payload: ResumeTokenPayload): string {
    const encodedPayload = Buffer.from(JSON.stringify(payload)).toString('base64url')
    return `${encodedPayload}.${this.computeMac(encodedPayload).toString('base64url')}`
  }

  /**
   * Decodes a token; nothing is returned for one that this fleet did not make.
   * @param token - The token.
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
