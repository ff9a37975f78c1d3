import { type Random } from '@fescuespoke/common'
import { type TargetLoad } from '../loads/TargetLoads.js'
import { type EngineProfile } from '../model/RelayConfiguration.js'
import { type KnownTarget } from '../targets/TargetTable.js'

/** A target that may be chosen, with what is known of it now. */
export interface TargetOption {
  readonly known: KnownTarget
  readonly load: TargetLoad
  /** Share of its requests that failed lately. */
  readonly failureShare: number
  readonly isUnreachable: boolean
  /** Whether it still works slowly after its start. */
  readonly isSlow: boolean
  readonly isNear: boolean
  /** Whether its load is known well: others that use it tell of their work. */
  readonly isPreferred?: boolean
}

/** A choice with the score that decided it; lower is better. */
export interface TargetChoice {
  readonly known: KnownTarget
  readonly score: number
}

/** Weights of scores, in units of a fully used target. */
const FAILURE_WEIGHT = 3
const UNREACHABLE_WEIGHT = 100
const SLOW_WEIGHT = 0.5
const FAR_CALL_WEIGHT = 0.12
const FAR_ENGINE_WEIGHT = 0.06
const JITTER_WEIGHT = 0.04

/** Weight of an engine in the zone that is left to other groups of instances. */
const UNKNOWN_LOAD_WEIGHT = 0.6

/** Weight of memory against running requests in the score of an engine. */
const MEMORY_WEIGHT = 2

/** Prompt tokens waiting to be read that weigh as much as a fully used engine. */
const UNREAD_SCALE_TOKENS = 5000

/** Slots assumed where a target states none. */
const ASSUMED_SLOTS = 4

/** Share of an engine's memory that placement fills; the rest is for outputs longer than expected. */
const MEMORY_SHARE = 0.92

/**
 * Picks a target of a plain service: the least used one, near ones and those that answer well before others.
 * @param options - Targets that may be chosen.
 * @param random - Breaks ties, so that instances do not choose alike.
 */
export function pickCallTarget (options: readonly TargetOption[], random: Random): TargetChoice | undefined {
  return pickLowest(options, option => {
    const slots = option.known.target.slots > 0 ? option.known.target.slots : ASSUMED_SLOTS
    return option.load.running / slots + (option.isNear ? 0 : FAR_CALL_WEIGHT) + computePenalty(option, random)
  })
}

/** What an engine is picked by. */
export interface EngineNeed {
  readonly profile: EngineProfile
  /** Memory that the generation is expected to need, in tokens. */
  readonly tokens: number
  /** Breaks ties, so that instances do not choose alike. */
  readonly random: Random
  /** How much a far engine is avoided, in units of a fully used one. */
  readonly farWeight?: number
  /** Whether the generation waits until prompts before it are read; one that goes on from a copy does not. */
  readonly waitsForPrompts?: boolean
}

/**
 * Picks an engine with a free slot and room for a generation: the one whose batch and memory are least used.
 * @param options - Engines that may be chosen.
 * @param need - What it is picked by.
 */
export function pickEngine (options: readonly TargetOption[], { profile, tokens, random, farWeight = FAR_ENGINE_WEIGHT, waitsForPrompts = true }: EngineNeed): TargetChoice | undefined {
  const fitting = options.filter(({ load, isUnreachable }) => !isUnreachable && hasRoom(load, profile, tokens))
  return pickLowest(fitting, option => {
    const batch = option.load.running / profile.slots
    const memory = (option.load.tokens + tokens) / profile.memoryTokens
    const backlog = waitsForPrompts ? (option.load.unread ?? 0) / UNREAD_SCALE_TOKENS : 0
    return batch + MEMORY_WEIGHT * memory + backlog + (option.isNear ? 0 : farWeight) + (option.isPreferred === false ? UNKNOWN_LOAD_WEIGHT : 0) + computePenalty(option, random)
  })
}

/**
 * Tells whether an engine has a slot and memory for a generation. One that is alone may use the whole memory.
 * @param load - Load of the engine.
 * @param profile - What the engine can do.
 * @param tokens - Memory that the generation is expected to need.
 */
export function hasRoom (load: TargetLoad, profile: EngineProfile, tokens: number): boolean {
  if (load.running >= profile.slots) return false
  return load.running === 0 || load.tokens + tokens <= profile.memoryTokens * MEMORY_SHARE
}

function computePenalty ({ failureShare, isUnreachable, isSlow }: TargetOption, random: Random): number {
  return failureShare * FAILURE_WEIGHT + (isUnreachable ? UNREACHABLE_WEIGHT : 0) + (isSlow ? SLOW_WEIGHT : 0) + random.nextFloat() * JITTER_WEIGHT
}

function pickLowest (options: readonly TargetOption[], computeScore: (option: TargetOption) => number): TargetChoice | undefined {
  let best: TargetChoice | undefined
  for (const option of options) {
    const score = computeScore(option)
    if (best === undefined || score < best.score) best = { known: option.known, score }
  }
  return best
}
