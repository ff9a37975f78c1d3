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
  /** Tokens at the beginning of the prompt that the engine is expected to hold; it does not read them again. */
  readonly heldPrefixTokens?: number
  /** Memory that has to stay free for more urgent requests, in tokens. */
  readonly headroomTokens?: number
}

/** Selected target and its score; lower scores are better. */
export interface TargetChoice {
  readonly tracked: TrackedTarget
  readonly score: number
  readonly heldPrefixTokens?: number
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

/** Number of prompt tokens that an engine processes in the time in which it produces one output token of each of its generations. */
const PROMPT_TOKENS_PER_OUTPUT_TOKEN = 100

/** Weight of a fast engine for a generation whose output takes less time than its prompt, so that longer ones find capacity there. */
const FAST_ENGINE_WEIGHT = 0.5
/** Weight of a step of distance where nearer engines come first; more than the other weights of an engine with room add up to. */
const DISTANCE_WEIGHT = 50

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
  /** Output that the generation is expected to produce, in tokens; it occupies a slow engine longer. */
  readonly outputTokens?: number
  /** Memory that the generation holds already; if given, the memory in use now decides whether an engine has room, not the memory expected later. */
  readonly heldTokens?: number
  /** Whether an engine without known room may be picked when no other one is left; it decides itself then. */
  readonly isDecidedByEngine?: boolean
  /** Whether engines that this instance's group prefers come first, then others in the local zone, then those of other zones. */
  readonly isNearestFirst?: boolean
}

/**
 * Picks the engine with the smallest expected time to the first event and between events, by its speed, batch, memory use and pending
 * prompts, among those with a free slot and enough memory for a generation.
 * @param candidates - Engines that may be selected.
 * @param requirements - Requirements on the engine.
 */
export function pickEngine (candidates: readonly TargetCandidate[], requirements: EngineRequirements): TargetChoice | undefined {
  const { isDecidedByEngine = false } = requirements
  const reachable = candidates.filter(({ isUnreachable, load, maxRunning = Infinity }) => !isUnreachable && load.running < maxRunning)
  const withRoom = reachable.filter(candidate => hasRoom(candidate, requirements))
  // Engines whose free memory is kept for more urgent requests are not asked.
  const available = isDecidedByEngine && withRoom.length === 0 ? reachable.filter(({ headroomTokens = 0 }) => headroomTokens === 0) : withRoom
  return pickLowestScore(available, candidate => computeEngineScore(candidate, requirements))
}

function hasRoom ({ load, headroomTokens = 0 }: TargetCandidate, { profile, tokens, heldTokens }: EngineRequirements): boolean {
  return heldTokens === undefined ? hasCapacity(load, profile, tokens + headroomTokens) : hasRoomNow(load, profile, heldTokens)
}

function computeEngineScore (candidate: TargetCandidate, { profile, tokens, random, remoteZoneWeight = REMOTE_ENGINE_WEIGHT, mustWaitForPrefill = true, prefillTokens = 0, outputTokens = 0, isNearestFirst = false }: EngineRequirements): number {
  const { load, speed = 1, heldPrefixTokens = 0 } = candidate
  const batch = load.running / profile.slots
  const memory = (load.tokens + tokens) / profile.memoryTokens
  const backlog = mustWaitForPrefill ? ((load.pendingPrefillTokens ?? 0) - heldPrefixTokens) / PREFILL_SCALE_TOKENS : 0
  const ownRun = computeRunPenalty(candidate, prefillTokens, outputTokens)
  const distance = isNearestFirst ? DISTANCE_WEIGHT * computeDistance(candidate) : 0
  return (batch + backlog) / speed + MEMORY_WEIGHT * memory + ownRun + distance + computePlacePenalty(candidate, remoteZoneWeight) + computePenalty(candidate, random)
}

function computePlacePenalty ({ isLocal, isPreferred, isDeclining }: TargetCandidate, remoteZoneWeight: number): number {
  return (isLocal ? 0 : remoteZoneWeight) + (isPreferred === false ? OTHER_GROUP_WEIGHT : 0) + (isDeclining === true ? DECLINING_VERSION_WEIGHT : 0)
}

/** Returns 0 for an engine that this instance's group prefers, 1 for another one in the local zone, and 2 for one of another zone. */
function computeDistance ({ isPreferred, isLocal }: TargetCandidate): number {
  if (isPreferred !== false) return 0
  return isLocal ? 1 : 2
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

/**
 * Computes how much longer or shorter than at an engine of ordinary speed a generation takes. Long generations thus go to fast engines
 * while these have capacity, and short ones leave it to them. Slow engines are not avoided for their output: the others would be overloaded.
 */
function computeRunPenalty ({ speed = 1 }: TargetCandidate, prefillTokens: number, outputTokens: number): number {
  const decodeTokens = speed > 1 ? outputTokens * PROMPT_TOKENS_PER_OUTPUT_TOKEN : 0
  if (speed > 1 && decodeTokens < prefillTokens) return FAST_ENGINE_WEIGHT
  return (1 / speed - 1) * (prefillTokens + decodeTokens) / PREFILL_SCALE_TOKENS
}

function computePenalty ({ failureRate, isUnreachable, isInSlowStart }: TargetCandidate, random: Random): number {
  return failureRate * FAILURE_WEIGHT + (isUnreachable ? UNREACHABLE_WEIGHT : 0) + (isInSlowStart ? SLOW_START_WEIGHT : 0) + random.nextFloat() * JITTER_WEIGHT
}

function pickLowestScore (candidates: readonly TargetCandidate[], computeScore: (candidate: TargetCandidate) => number): TargetChoice | undefined {
  let best: TargetChoice | undefined
  for (const candidate of candidates) {
    const score = computeScore(candidate)
    if (best === undefined || score < best.score) best = { tracked: candidate.tracked, score, heldPrefixTokens: candidate.heldPrefixTokens }
  }
  return best
}
