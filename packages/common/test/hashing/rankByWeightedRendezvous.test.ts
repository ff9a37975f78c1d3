import { describe, expect, it } from 'vitest'
import { rankByWeightedRendezvous, type WeightedCandidate } from '../../src/hashing/rankByWeightedRendezvous.js'

const CANDIDATES: readonly WeightedCandidate[] = [{ name: 'a', weight: 1 }, { name: 'b', weight: 2 }, { name: 'c', weight: 5 }]
const KEYS = Array.from({ length: 4000 }, (_, index) => `10.0.${index >> 8}.${index & 255}`)

/** Returns the share of the keys for which each candidate comes first, rounded. */
function doTest (candidates: readonly WeightedCandidate[]): Record<string, number> {
  const first = KEYS.map(key => rankByWeightedRendezvous(key, candidates)[0]!.name)
  return Object.fromEntries(candidates.map(({ name }) => [name, Math.round(first.filter(other => other === name).length / KEYS.length * 20) / 20]))
}

describe('rankByWeightedRendezvous', () => {
  it('ranks candidates first in proportion to their weights', () => expect(doTest(CANDIDATES)).toEqual({ a: 0.15, b: 0.25, c: 0.6 }))
  it('ranks candidates of equal weight first equally often', () => expect(doTest(CANDIDATES.map(({ name }) => ({ name, weight: 7 })))).toEqual({ a: 0.35, b: 0.35, c: 0.35 }))

  it('keeps the order of the others when a candidate is removed', () => {
    const rank = (candidates: readonly WeightedCandidate[]): string[][] => KEYS.map(key => rankByWeightedRendezvous(key, candidates).map(({ name }) => name))
    expect(rank(CANDIDATES.slice(1))).toEqual(rank(CANDIDATES).map(names => names.filter(name => name !== 'a')))
  })
})
