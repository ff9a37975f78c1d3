import { addJitter, type Random } from '@fescuespoke/common'

/** First wait between two attempts, in milliseconds. */
const INITIAL_BACKOFF_MS = 50

/** Longest wait between two attempts, in milliseconds. */
const MAX_BACKOFF_MS = 1000

/**
 * Computes a wait that doubles with each failed attempt and is spread at random.
 * @param random - Source of random numbers.
 * @param failures - Number of attempts that have failed; no wait after the first.
 */
export function computeBackoffMs (random: Random, failures: number): number {
  if (failures <= 1) return 0
  return addJitter(random, Math.min(MAX_BACKOFF_MS, INITIAL_BACKOFF_MS * 2 ** (failures - 2)))
}
