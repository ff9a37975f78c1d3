/** A source of random numbers. */
export interface Random {
  /** Gets a number from 0 up to, not including, 1. */
  nextFloat(): number
  /**
   * Gets an unguessable text of letters and digits.
   * @param bytes - Number of random bytes in it.
   */
  nextText(bytes: number): string
}

/**
 * Picks a whole number from 0 up to, not including, a limit.
 * @param random - Source of random numbers.
 * @param limit - Upper limit.
 */
export function pickIndex (random: Random, limit: number): number {
  return Math.floor(random.nextFloat() * limit)
}

/**
 * Spreads a duration evenly between half and one and a half of itself.
 * @param random - Source of random numbers.
 * @param durationMs - Duration in milliseconds.
 */
export function addJitter (random: Random, durationMs: number): number {
  return durationMs * (0.5 + random.nextFloat())
}
