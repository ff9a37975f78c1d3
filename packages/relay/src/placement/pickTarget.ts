import { type Random } from '@fescuespoke/common'
import { type TargetLoad } from '../loads/TargetLoads.js'
import { type EngineProfile } from '../model/RelayConfiguration.js'
import { type TrackedTarget } from '../targets/TargetTable.js'

/** A target that may be selected, with its current load and health. */
export interface TargetCandidate {
  readonly tracked: TrackedTarget
  readonly load: TargetLoad
  /** Recent share of failed requests. */
  readonly failureRate: number
  readonly isUnreachable: boolean
  /** Whether the target is still in its slow start. */
  readonly isInSlowStart: boolean
  readonly isLocal: boolean
  /** Whether the total load is well known because the other instances that use the target report their loads. */
  readonly isPreferred?: boolean
  /** Whether its software version loses targets while another one gains some. */
  readonly isDeclining?: boolean
  /** Speed relative to the other targets of its service; 1 by default. */
  readonly speed?: number
  /** Number of running requests up to which a slow engine keeps the acceptable gap between two events. */
  readonly maxRunning?: number
}

/** Selected target and its score; lower scores are better. */
export interface TargetChoice {
  readonly tracked: TrackedTarget
  readonly score: number
}

/** Weights of the score; 1 corresponds to a fully used target. */
const FAILURE_WEIGHT = 3
const UNREACHABLE_WEIGHT = 100
const SLOW_START_WEIGHT = 0.5
const REMOTE_CALL_WEIGHT = 0.12
const REMOTE_ENGINE_WEIGHT = 0.06
const JITTER_WEIGHT = 0.04

/** Weight of an engine that other groups of instances prefer. */
const OTHER_GROUP_WEIGHT = 0.6

/** Weight of an engine whose software version declines, so that fewer streams begin that have to end with it. */
const DECLINING_VERSION_WEIGHT = 0.3

/** Weight of memory relative to running requests in the score of an engine. */
const MEMORY_WEIGHT = 2

/** Number of pending prefill tokens that weigh as much as a fully used engine. */
const PREFILL_SCALE_TOKENS = 5000

/** Slots assumed for a target that reports none. */
const DEFAULT_SLOTS = 4

/** Share of an engine's memory that is allocated; the rest is reserved for outputs that are longer than expected. */
const USABLE_MEMORY_SHARE = 0.92

/**
 * Picks the target of a plain service that is expected to answer first; prefers local targets and targets with few failures. At equal
 * speeds, this is the least used one.
 * @param candidates - Targets that may be selected.
 * @param random - Randomizes the choice between similar targets, so that instances do not all pick the same one.
 */
export function pickCallTarget (candidates: readonly TargetCandidate[], random: Random): TargetChoice | undefined {
  return pickLowestScore(candidates, candidate => {
    const slots = candidate.tracked.target.slots > 0 ? candidate.tracked.target.slots : DEFAULT_SLOTS
    return ((candidate.load.running + 1) / (candidate.speed ?? 1) - 1) / slots + (candidate.isLocal ? 0 : REMOTE_CALL_WEIGHT) + computePenalty(candidate, random)
  })
}

/** Requirements on an engine. */
export interface EngineRequirements {
  readonly profile: EngineProfile
  /** Memory that the generation is expected to need, in tokens. */
  readonly tokens: number
  /** Randomizes the choice between similar engines, so that instances do not all pick the same one. */
  readonly random: Random
  /** Score penalty of an engine outside the local availability zone; 1 corresponds to a fully used engine. */
  readonly remoteZoneWeight?: number
  /** Whether the generation waits for the prefill of earlier prompts; a generation that continues from a copy does not. */
  readonly mustWaitForPrefill?: boolean
  /** Prompt tokens of the generation that the engine has to process, which a slow engine does later. */
  readonly prefillTokens?: number
  /** Memory that the generation holds already; if given, the memory in use now decides whether an engine has room, not the memory expected later. */
  readonly heldTokens?: number
}

/**
 * Picks the engine with the smallest expected time to the first event and between events, by its speed, batch, memory use and pending
 * prompts, among those with a free slot and enough memory for a generation.
 * @param candidates - Engines that may be selected.
 * @param requirements - Requirements on the engine.
 */
export function pickEngine (candidates: readonly TargetCandidate[], { profile, tokens, heldTokens, random, remoteZoneWeight = REMOTE_ENGINE_WEIGHT, mustWaitForPrefill = true, prefillTokens = 0 }: EngineRequirements): TargetChoice | undefined {
  const hasRoom = (load: TargetLoad): boolean => heldTokens === undefined ? hasCapacity(load, profile, tokens) : hasRoomNow(load, profile, heldTokens)
  const available = candidates.filter(({ load, isUnreachable, maxRunning = Infinity }) => !isUnreachable && hasRoom(load) && load.running < maxRunning)
  return pickLowestScore(available, candidate => {
    const batch = candidate.load.running / profile.slots
    const memory = (candidate.load.tokens + tokens) / profile.memoryTokens
    const backlog = mustWaitForPrefill ? (candidate.load.pendingPrefillTokens ?? 0) / PREFILL_SCALE_TOKENS : 0
    const { speed = 1 } = candidate
    const ownPrefill = (1 / speed - 1) * prefillTokens / PREFILL_SCALE_TOKENS
    return (batch + backlog) / speed + MEMORY_WEIGHT * memory + ownPrefill + (candidate.isLocal ? 0 : remoteZoneWeight) + (candidate.isPreferred === false ? OTHER_GROUP_WEIGHT : 0) + (candidate.isDeclining === true ? DECLINING_VERSION_WEIGHT : 0) + computePenalty(candidate, random)
  })
}

/**
 * Returns whether an engine has a free slot and memory for a generation. A generation that runs alone may use the whole memory.
 * @param load - Load of the engine.
 * @param profile - Capabilities of the engine.
 * @param tokens - Memory that the generation is expected to need, in tokens.
 */
export function hasCapacity (load: TargetLoad, profile: EngineProfile, tokens: number): boolean {
  if (load.running >= profile.slots) return false
  return load.running === 0 || load.tokens + tokens <= profile.memoryTokens * USABLE_MEMORY_SHARE
}

/**
 * Returns whether an engine has a free slot and memory for what a generation holds now. Generations may need more later.
 * @param load - Load of the engine.
 * @param profile - Capabilities of the engine.
 * @param tokens - Memory that the generation holds, in tokens.
 */
export function hasRoomNow ({ running, heldTokens = 0, pendingPrefillTokens = 0 }: TargetLoad, profile: EngineProfile, tokens: number): boolean {
  return running < profile.slots && heldTokens + pendingPrefillTokens + tokens <= profile.memoryTokens * USABLE_MEMORY_SHARE
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
