import { type RandomGenerator } from 'pure-rand/types/RandomGenerator'
import { uniformInt } from 'pure-rand/distribution/uniformInt'
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'
import { type Random } from './Random.js'

const FLOAT_STEPS = 0x40000000

/** Random numbers that repeat for the same seed. */
export class SeededRandom implements Random {
  /**
   * Creates a source.
   * @param seed - Whole number.
   */
  static create (seed: number): SeededRandom {
    return new SeededRandom(xoroshiro128plus(seed))
  }

  /** @internal */
  private constructor (private readonly generator: RandomGenerator) {}

  /** Gets a number from 0 up to, not including, 1. */
  nextFloat (): number {
    return uniformInt(this.generator, 0, FLOAT_STEPS - 1) / FLOAT_STEPS
  }

  /**
   * Gets a text of hexadecimal digits; unlike the system's it can be guessed.
   * @param bytes - Number of random bytes in it.
   */
  nextText (bytes: number): string {
    const digits = Array.from({ length: bytes }, () => uniformInt(this.generator, 0, 255).toString(16).padStart(2, '0'))
    return digits.join('')
  }
}
