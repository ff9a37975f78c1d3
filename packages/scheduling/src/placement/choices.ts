import { pickIndex, type Random } from '@fescuespoke/common'
import { type Choice } from '../policies/policies.js'
import { type Candidate, computeLoadShare } from './Candidate.js'

/** Load share that a cached prefix is worth. */
const PREFIX_BONUS = 0.15

/** Load share that a shorter way is worth. */
const ZONE_BONUS = 0.02

type Chooser = (candidates: readonly Candidate[], random: Random) => Candidate | undefined

const CHOOSERS: Record<Choice, Chooser> = {
  random: (candidates, random) => candidates[pickIndex(random, candidates.length)],
  leastInFlight: (candidates, random) => pickLowest(candidates, random, candidate => candidate.own.count()),
  powerOfTwo: (candidates, random) => {
    const first = candidates[pickIndex(random, candidates.length)]
    const second = candidates[pickIndex(random, candidates.length)]
    if (first === undefined || second === undefined) return first
    return second.capacity.reportedSequences < first.capacity.reportedSequences ? second : first
  },
  projected: (candidates, random) => pickLowest(candidates, random, computeScore)
}

/**
 * Picks one of the targets that admit a request.
 * @param choice - How to choose.
 * @param candidates - The targets.
 * @param random - Source of random numbers.
 */
export function pickCandidate (choice: Choice, candidates: readonly Candidate[], random: Random): Candidate | undefined {
  return candidates.length === 0 ? undefined : CHOOSERS[choice](candidates, random)
}

/**
 * Computes how little a target suits a request; the lowest is the best.
 * @param candidate - The target.
 */
export function computeScore (candidate: Candidate): number {
  const prefix = candidate.hasPrefix ? PREFIX_BONUS : 0
  const zone = candidate.isSameZone ? ZONE_BONUS : 0
  return computeLoadShare(candidate) - prefix - zone
}

/**
 * Describes why a target was chosen, for operators.
 * @param choice - How it was chosen.
 * @param candidate - The target.
 * @param admitted - Number of targets that admitted the request.
 * @param considered - Number of targets considered.
 */
export function explainChoice (choice: Choice, candidate: Candidate, admitted: number, considered: number): string {
  const { capacity, totalTokens, totalSequences, needTokens } = candidate
  const memory = Number.isFinite(capacity.capacityTokens) ? `, memory ${Math.round(totalTokens)}+${Math.round(needTokens)} of ${Math.round(capacity.capacityTokens)} tokens` : ''
  const prefix = candidate.hasPrefix ? ', prefix cached' : ''
  return `${choice}: ${admitted} of ${considered} targets had room; requests ${totalSequences} of ${capacity.maxSequences}${memory}${prefix}`
}

function pickLowest (candidates: readonly Candidate[], random: Random, compute: (candidate: Candidate) => number): Candidate | undefined {
  let best: Candidate | undefined
  let bestValue = Infinity
  const start = pickIndex(random, candidates.length)
  for (let index = 0; index < candidates.length; index++) {
    const candidate = candidates[(start + index) % candidates.length] as Candidate
    const value = compute(candidate)
    if (value >= bestValue) continue
    best = candidate
    bestValue = value
  }
  return best
}
