import murmurhash from 'murmurhash'

/** Number of hash values. */
const HASH_RANGE = 2 ** 32

/**
 * Computes a number in the range [0, 1) that is the same for a key in every process.
 * @param key - The key.
 */
export function computeHashShare (key: string): number {
  return murmurhash.v3(key) / HASH_RANGE
}
