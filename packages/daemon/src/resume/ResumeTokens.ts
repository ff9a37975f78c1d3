import { createHmac, timingSafeEqual } from 'node:crypto'
import { type Target } from '@fescuespoke/common'
import { type Delivery } from '@fescuespoke/schema'
import { Maybe } from 'true-myth'

/** What a resume token names. */
export interface ResumeName {
  /** Public id of the request. */
  readonly request: string
  readonly generation: string
  readonly target: Target
  readonly delivery: Delivery
}

/** Options of resume tokens. */
export interface ResumeTokensOptions {
  /** Secret of the fleet. */
  readonly fleetKey: string
}

/** Encodes and decodes authenticated resume tokens, which any instance of the fleet understands. */
export class ResumeTokens {
  /**
   * Creates an encoder.
   * @param options - Options of the encoder.
   */
  static create (options: ResumeTokensOptions): ResumeTokens {
    return new ResumeTokens(options)
  }

  /** @internal */
  private constructor (private readonly options: ResumeTokensOptions) {}

  /**
   * Encodes a token.
   * @param name - What it names.
   */
  encodeToken (name: ResumeName): string {
    const content = Buffer.from(JSON.stringify(name)).toString('base64url')
    return `${content}.${this.computeMac(content).toString('base64url')}`
  }

  /**
   * Decodes a token; nothing is returned for one that this fleet did not make.
   * @param token - The token.
   */
  decodeToken (token: string): Maybe<ResumeName> {
    const [content = '', mac = ''] = token.split('.')
    const expected = this.computeMac(content)
    const given = Buffer.from(mac, 'base64url')
    if (given.length !== expected.length || !timingSafeEqual(given, expected)) return Maybe.nothing()
    return Maybe.just(JSON.parse(Buffer.from(content, 'base64url').toString('utf8')) as ResumeName)
  }

  private computeMac (content: string): Buffer {
    return createHmac('sha256', this.options.fleetKey).update(content).digest()
  }
}
