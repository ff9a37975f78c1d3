import { pickIndex, type Random } from '@fescuespoke/common'
import { type PickStrategy } from '../policies/policies.js'
import { type Candidate, computeUtilization } from './Candidate.js'

/** Amount of utilization by which a cached prefix lowers the score. */
const PREFIX_BONUS = 0.15

/** Amount of utilization by which the same availability zone lowers the score. */
const ZONE_BONUS = 0.02

type CandidatePicker = (candidates: readonly Candidate[], random: Random) => Candidate | undefined

const CANDIDATE_PICKERS: Record<PickStrategy, CandidatePicker> = {
  random: (candidates, random) => candidates[pickIndex(random, candidates.length)],
  leastInFlight: (candidates, random) => pickLowest(candidates, random, candidate => candidate.localLoad.count()),
  powerOfTwo: (candidates, random) => {
    const first = candidates[pickIndex(random, candidates.length)]
    const second = candidates[pickIndex(random, candidates.length)]
    if (first === undefined || second === undefined) return first
    return second.capacity.reportedSequences < first.capacity.reportedSequences ? second : first
  },
  projected: (candidates, random) => pickLowest(candidates, random, computeScore)
}

/**
 * Picks one of the targets that admit a request; undefined if there are none.
 * @param pickStrategy - Strategy to pick by.
 * @param candidates - Targets that admit the request.
 * @param random - Source of random numbers.
 */
export function pickCandidate (pickStrategy: PickStrategy, candidates: readonly Candidate[], random: Random): Candidate | undefined {
  return candidates.length === 0 ? undefined : CANDIDATE_PICKERS[pickStrategy](candidates, random)
}

/**
 * Returns the score of a target for a request. A lower score is better.
 * @param candidate - The candidate target.
 */
export function computeScore (candidate: Candidate): number {
  const prefixBonus = candidate.hasPrefix ? PREFIX_BONUS : 0
  const zoneBonus = candidate.isSameZone ? ZONE_BONUS : 0
  return computeUtilization(candidate) - prefixBonus - zoneBonus
}

/**
 * Returns an explanation of why a target was picked, for operators.
 * @param pickStrategy - Strategy by which it was picked.
 * @param candidate - The picked target.
 * @param admittedCount - Number of targets that admitted the request.
 * @param consideredCount - Number of candidate targets.
 */
export function describePick (pickStrategy: PickStrategy, candidate: Candidate, admittedCount: number, consideredCount: number): string {
  const { capacity, totalTokens, totalSequences, requiredTokens } = candidate
  const memory = Number.isFinite(capacity.capacityTokens) ? `, memory ${Math.round(totalTokens)}+${Math.round(requiredTokens)} of ${Math.round(capacity.capacityTokens)} tokens` : ''
  const prefix = candidate.hasPrefix ? ', prefix cached' : ''
  return `${pickStrategy}: ${admittedCount} of ${consideredCount} targets had capacity; requests ${totalSequences} of ${capacity.maxSequences}${memory}${prefix}`
}

function pickLowest (candidates: readonly Candidate[], random: Random, computeValue: (candidate: Candidate) => number): Candidate | undefined {
  let best: Candidate | undefined
  let bestValue = Infinity
  const start = pickIndex(random, candidates.length)
  for (let index = 0; index < candidates.length; index++) {
    const candidate = candidates[(start + index) % candidates.length] as Candidate
    const value = computeValue(candidate)
    if (value >= bestValue) continue
    best = candidate
    bestValue = value
  }
  return best
}
