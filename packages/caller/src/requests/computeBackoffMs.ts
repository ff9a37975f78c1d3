import { addJitter, type Random } from '@fescuespoke/common'

/** First wait between two attempts, in milliseconds. */
const FIRST_WAIT_MS = 50

/** Longest wait between two attempts, in milliseconds. */
const LONGEST_WAIT_MS = 1000

/**
 * Computes a wait that doubles with each failed attempt and is spread at random.
 * @param random - Source of random numbers.
 * @param failures - Number of attempts that have failed; no wait after the first.
 */
export function computeBackoffMs (random: Random, failures: number): number {
  if (failures <= 1) return 0
  return addJitter(random, Math.min(LONGEST_WAIT_MS, FIRST_WAIT_MS * 2 ** (failures - 2)))
}
