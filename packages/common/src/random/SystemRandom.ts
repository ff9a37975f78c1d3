import { randomBytes } from 'node:crypto'
import { type Random } from './Random.js'

/** Random numbers from the operating system. */
export class SystemRandom implements Random {
  /** Creates a source. */
  static create (): SystemRandom {
    return new SystemRandom()
  }

  /** @internal */
  private constructor () {}

  /** Gets a number from 0 up to, not including, 1. */
  nextFloat (): number {
    return Math.random()
  }

  /**
   * Gets an unguessable text of letters and digits.
   * @param bytes - Number of random bytes in it.
   */
  nextText (bytes: number): string {
    return randomBytes(bytes).toString('hex')
  }
}
