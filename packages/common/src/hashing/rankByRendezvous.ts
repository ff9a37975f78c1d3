import murmurhash from 'murmurhash'

/**
 * Ranks candidates for a key by rendezvous hashing, highest score first. Removing a candidate does not change the order
 * of the others.
 * Source: D. Thaler and C. Ravishankar, "Using name-based mappings to increase hit rates", 1998.
 * @param key - Key to assign to a candidate.
 * @param candidates - Names of the candidates.
 */
export function rankByRendezvous (key: string, candidates: readonly string[]): string[] {
  const scored = candidates.map(candidate => ({ candidate, score: computeScore(key, candidate) }))
  scored.sort((a, b) => b.score - a.score || (a.candidate < b.candidate ? -1 : 1))
  return scored.map(({ candidate }) => candidate)
}

function computeScore (key: string, candidate: string): number {
  return murmurhash.v3(`${candidate}\u0000${key}`)
}
