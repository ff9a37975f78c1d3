import murmurhash from 'murmurhash'

/** A candidate and its weight. */
export interface WeightedCandidate {
  readonly name: string
  /** Positive weight; a candidate comes first for a share of the keys that is proportional to it. */
  readonly weight: number
}

/** Number of different hash values. */
const HASH_VALUES = 2 ** 32

/**
 * Ranks candidates for a key by weighted rendezvous hashing, highest score first. Removing a candidate or changing its weight does not
 * change the order of the others.
 * Source: C. Schindelhauer and G. Schomaker, "Weighted distributed hash tables", 2005.
 * @param key - Key to assign to a candidate.
 * @param candidates - The candidates.
 */
export function rankByWeightedRendezvous<T extends WeightedCandidate> (key: string, candidates: readonly T[]): T[] {
  const scored = candidates.map(candidate => ({ candidate, score: computeScore(key, candidate) }))
  scored.sort((a, b) => b.score - a.score || (a.candidate.name < b.candidate.name ? -1 : 1))
  return scored.map(({ candidate }) => candidate)
}

function computeScore (key: string, { name, weight }: WeightedCandidate): number {
  const fraction = (murmurhash.v3(`${name}\u0000${key}`) + 0.5) / HASH_VALUES
  return -weight / Math.log(fraction)
}
