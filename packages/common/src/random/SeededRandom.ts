import { type RandomGenerator } from 'pure-rand/types/RandomGenerator'
import { uniformInt } from 'pure-rand/distribution/uniformInt'
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'
import { type Random } from './Random.js'

const FLOAT_STEPS = 0x40000000

/** Pseudo-random numbers. Two sources with the same seed return the same sequence. */
export class SeededRandom implements Random {
  /**
   * Creates a source.
   * @param seed - Integer seed.
   */
  static create (seed: number): SeededRandom {
    return new SeededRandom(xoroshiro128plus(seed))
  }

  /** @internal */
  private constructor (private readonly generator: RandomGenerator) {}

  /** Returns a number in the range [0, 1). */
  nextFloat (): number {
    return uniformInt(this.generator, 0, FLOAT_STEPS - 1) / FLOAT_STEPS
  }

  /**
   * Returns a string of hexadecimal digits. It is predictable, unlike that of SystemRandom.
   * @param byteCount - Number of random bytes in the string.
   */
  nextString (byteCount: number): string {
    const digits = Array.from({ length: byteCount }, () => uniformInt(this.generator, 0, 255).toString(16).padStart(2, '0'))
    return digits.join('')
  }
}
