import { addJitter, type Random } from '@fescuespoke/common'

/** Initial backoff between two attempts, in milliseconds. */
const INITIAL_BACKOFF_MS = 50

/** Maximum backoff between two attempts, in milliseconds. */
const MAX_BACKOFF_MS = 1000

/**
 * Computes an exponential backoff with jitter, in milliseconds.
 * @param random - Source of random numbers.
 * @param failedAttempts - Number of failed attempts. The backoff is 0 after the first one and doubles with each further
 * one.
 */
export function computeBackoffMs (random: Random, failedAttempts: number): number {
  if (failedAttempts <= 1) return 0
  return addJitter(random, Math.min(MAX_BACKOFF_MS, INITIAL_BACKOFF_MS * 2 ** (failedAttempts - 2)))
}
