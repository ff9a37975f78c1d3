/** A source of random numbers. */
export interface Random {
  /** Returns a number in the range [0, 1). */
  nextFloat(): number
  /**
   * Returns a random string of letters and digits. It is unpredictable unless the source is seeded.
   * @param byteCount - Number of random bytes in the string.
   */
  nextString(byteCount: number): string
}

/**
 * Picks an integer in the range [0, limit).
 * @param random - Source of random numbers.
 * @param limit - Exclusive upper limit.
 */
export function pickIndex (random: Random, limit: number): number {
  return Math.floor(random.nextFloat() * limit)
}

/** Smallest and largest factor by which a duration is randomized. */
const MIN_JITTER_FACTOR = 0.5
export const MAX_JITTER_FACTOR = 1.5

/**
 * Randomizes a duration, uniformly distributed between 0.5 and 1.5 times its value.
 * @param random - Source of random numbers.
 * @param durationMs - Duration in milliseconds.
 */
export function addJitter (random: Random, durationMs: number): number {
  return durationMs * (MIN_JITTER_FACTOR + (MAX_JITTER_FACTOR - MIN_JITTER_FACTOR) * random.nextFloat())
}
