import { type Random } from '@fescuespoke/common'
import { type TargetLoad } from '../loads/TargetLoads.js'
import { type EngineProfile } from '../model/RelayConfiguration.js'
import { type TrackedTarget } from '../targets/TargetTable.js'

/** A target that may be chosen, with what is known of it now. */
export interface TargetCandidate {
  readonly tracked: TrackedTarget
  readonly load: TargetLoad
  /** Share of its requests that failed lately. */
  readonly failureRate: number
  readonly isUnreachable: boolean
  /** Whether it still works slowly after its start. */
  readonly isInSlowStart: boolean
  readonly isLocal: boolean
  /** Whether its load is known well: others that use it tell of their work. */
  readonly isPreferred?: boolean
}

/** A choice with the score that decided it; lower is better. */
export interface TargetChoice {
  readonly tracked: TrackedTarget
  readonly score: number
}

/** Weights of scores, in units of a fully used target. */
const FAILURE_WEIGHT = 3
const UNREACHABLE_WEIGHT = 100
const SLOW_START_WEIGHT = 0.5
const REMOTE_CALL_WEIGHT = 0.12
const REMOTE_ENGINE_WEIGHT = 0.06
const JITTER_WEIGHT = 0.04

/** Weight of an engine in the zone that is left to other groups of instances. */
const OTHER_GROUP_WEIGHT = 0.6

/** Weight of memory against running requests in the score of an engine. */
const MEMORY_WEIGHT = 2

/** Prompt tokens waiting to be read that weigh as much as a fully used engine. */
const PREFILL_SCALE_TOKENS = 5000

/** Slots assumed where a target states none. */
const DEFAULT_SLOTS = 4

/** Share of an engine's memory that placement fills; the rest is for outputs longer than expected. */
const USABLE_MEMORY_SHARE = 0.92

/**
 * Picks a target of a plain service: the least used one, near ones and those that answer well before others.
 * @param candidates - Targets that may be chosen.
 * @param random - Breaks ties, so that instances do not choose alike.
 */
export function pickCallTarget (candidates: readonly TargetCandidate[], random: Random): TargetChoice | undefined {
  return pickLowestScore(candidates, candidate => {
    const slots = candidate.tracked.target.slots > 0 ? candidate.tracked.target.slots : DEFAULT_SLOTS
    return candidate.load.running / slots + (candidate.isLocal ? 0 : REMOTE_CALL_WEIGHT) + computePenalty(candidate, random)
  })
}

/** What an engine is picked by. */
export interface EngineRequirements {
  readonly profile: EngineProfile
  /** Memory that the generation is expected to need, in tokens. */
  readonly tokens: number
  /** Breaks ties, so that instances do not choose alike. */
  readonly random: Random
  /** How much a far engine is avoided, in units of a fully used one. */
  readonly remoteZoneWeight?: number
  /** Whether the generation waits until prompts before it are read; one that goes on from a copy does not. */
  readonly mustWaitForPrefill?: boolean
}

/**
 * Picks an engine with a free slot and room for a generation: the one whose batch and memory are least used.
 * @param candidates - Engines that may be chosen.
 * @param need - What it is picked by.
 */
export function pickEngine (candidates: readonly TargetCandidate[], { profile, tokens, random, remoteZoneWeight = REMOTE_ENGINE_WEIGHT, mustWaitForPrefill = true }: EngineRequirements): TargetChoice | undefined {
  const available = candidates.filter(({ load, isUnreachable }) => !isUnreachable && hasCapacity(load, profile, tokens))
  return pickLowestScore(available, candidate => {
    const batch = candidate.load.running / profile.slots
    const memory = (candidate.load.tokens + tokens) / profile.memoryTokens
    const backlog = mustWaitForPrefill ? (candidate.load.pendingPrefillTokens ?? 0) / PREFILL_SCALE_TOKENS : 0
    return batch + MEMORY_WEIGHT * memory + backlog + (candidate.isLocal ? 0 : remoteZoneWeight) + (candidate.isPreferred === false ? OTHER_GROUP_WEIGHT : 0) + computePenalty(candidate, random)
  })
}

/**
 * Tells whether an engine has a slot and memory for a generation. One that is alone may use the whole memory.
 * @param load - Load of the engine.
 * @param profile - What the engine can do.
 * @param tokens - Memory that the generation is expected to need.
 */
export function hasCapacity (load: TargetLoad, profile: EngineProfile, tokens: number): boolean {
  if (load.running >= profile.slots) return false
  return load.running === 0 || load.tokens + tokens <= profile.memoryTokens * USABLE_MEMORY_SHARE
}

function computePenalty ({ failureRate, isUnreachable, isInSlowStart }: TargetCandidate, random: Random): number {
  return failureRate * FAILURE_WEIGHT + (isUnreachable ? UNREACHABLE_WEIGHT : 0) + (isInSlowStart ? SLOW_START_WEIGHT : 0) + random.nextFloat() * JITTER_WEIGHT
}

function pickLowestScore (candidates: readonly TargetCandidate[], computeScore: (candidate: TargetCandidate) => number): TargetChoice | undefined {
  let best: TargetChoice | undefined
  for (const candidate of candidates) {
    const score = computeScore(candidate)
    if (best === undefined || score < best.score) best = { tracked: candidate.tracked, score }
  }
  return best
}
