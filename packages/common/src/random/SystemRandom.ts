import { randomBytes } from 'node:crypto'
import { type Random } from './Random.js'

/** Random numbers that are not reproducible. */
export class SystemRandom implements Random {
  /** Creates a source. */
  static create (): SystemRandom {
    return new SystemRandom()
  }

  /** @internal */
  private constructor () {}

  /** Returns a number in the range [0, 1). It is not cryptographically secure. */
  nextFloat (): number {
    return Math.random()
  }

  /**
   * Returns an unpredictable string of hexadecimal digits from the random number generator of the operating system.
   * @param byteCount - Number of random bytes in the string.
   */
  nextString (byteCount: number): string {
    return randomBytes(byteCount).toString('hex')
  }
}
