import { createHash } from 'node:crypto'
import { type Clock, type ModelReference, type Random } from '@fescuespoke/common'
import { type GenerationSpec } from '@fescuespoke/schema'
import { type Result } from 'true-myth'
import { type ErrorResponse } from '../http/ErrorResponse.js'

/** Source from which an engine fetches the weights of models. */
export interface WeightSource {
  /**
   * Fetches the weights of a model.
   * @param model - Name of the model.
   * @returns An empty result, or the error response if the fetch is rejected or fails.
   */
  fetchWeights(model: string): Promise<Result<void, ErrorResponse>>
}

/** Options of an engine. */
export interface EngineOptions {
  readonly clock: Clock
  readonly random: Random
  readonly targetName: string
  /** Capacity of the cache memory, in tokens. */
  readonly capacityTokens?: number
  /** Maximum number of generations in the batch. */
  readonly maxSequences?: number
  /** Base duration of a step, in milliseconds. */
  readonly stepBaseMs?: number
  /** Milliseconds that each running generation adds to a step. */
  readonly stepSequenceMs?: number
  /** Milliseconds that each computed prompt token adds to a step. */
  readonly prefillTokenMs?: number
  /** Maximum number of prompt tokens computed in one step. */
  readonly prefillStepTokens?: number
  /** Fraction of the cache memory kept free when a generation is admitted, between 0 and 1. */
  readonly reserveFraction?: number
  /** Factor by which the step durations above are divided. */
  readonly speed?: number
  /** Capacity of the prefix cache, in tokens. */
  readonly prefixCacheTokens?: number
  /** Computes the length of a prompt, in tokens. */
  readonly computePromptTokens?: (spec: GenerationSpec) => number
  /** Computes the length of the named prefix of a prompt, in tokens. */
  readonly computePrefixTokens?: (spec: GenerationSpec) => number
  /** Computes after how many tokens a generation ends with reason `stop`. Clients of the engine cannot see it. */
  readonly computeOutputTokens?: (spec: GenerationSpec, id: string) => number
  readonly heartbeatMs?: number
  /** Time in milliseconds for which an ended generation can still be read. */
  readonly retentionMs?: number
  /** Delay of the published load values, in milliseconds. */
  readonly loadLagMs?: number
  /** Delay of the cache events, in milliseconds. */
  readonly eventLagMs?: number
  /** Fraction of cache events that are dropped, between 0 and 1. */
  readonly eventLossRate?: number
  /** Models loaded at the start. If absent, the engine serves any model. */
  readonly models?: readonly ModelReference[]
  /** Whether orders with an outdated fencing token are rejected. */
  readonly isFencingEnforced?: boolean
  /** Whether new generations are rejected while the engine is leaving. */
  readonly shouldRejectWhenLeaving?: boolean
  readonly weightSource?: WeightSource
  /** Duration of loading a model after its weights have been fetched, in milliseconds. */
  readonly loadMs?: number
  /** Delay before a failed fetch of weights is retried, in milliseconds. */
  readonly loadRetryMs?: number
}

/** Options of an engine after the defaults have been applied. */
export type EngineSettings = Required<Omit<EngineOptions, 'models' | 'weightSource'>> & Pick<EngineOptions, 'models' | 'weightSource'>

const CHARACTERS_PER_TOKEN = 4
const DEFAULT_PREFIX_TOKENS = 256
const DEFAULT_MEAN_OUTPUT_TOKENS = 150

const DEFAULTS = {
  capacityTokens: 32_768,
  maxSequences: 32,
  stepBaseMs: 20,
  stepSequenceMs: 0.4,
  prefillTokenMs: 0.02,
  prefillStepTokens: 2048,
  reserveFraction: 0.01,
  speed: 1,
  prefixCacheTokens: 8192,
  computePromptTokens: countPromptTokens,
  computePrefixTokens: countPrefixTokens,
  computeOutputTokens: sampleOutputTokens,
  heartbeatMs: 1000,
  retentionMs: 120_000,
  loadLagMs: 500,
  eventLagMs: 500,
  eventLossRate: 0,
  isFencingEnforced: false,
  shouldRejectWhenLeaving: false,
  loadMs: 2000,
  loadRetryMs: 1000
}

/**
 * Merges options with the defaults. An option that is `undefined` counts as absent.
 * @param options - Options of an engine.
 */
export function mergeEngineDefaults (options: EngineOptions): EngineSettings {
  const definedOptions = Object.entries(options).filter(([, value]) => value !== undefined)
  return { ...DEFAULTS, ...Object.fromEntries(definedOptions) as unknown as EngineOptions }
}

function countPromptTokens (spec: GenerationSpec): number {
  return Math.max(1, Math.ceil(spec.prompt.length / CHARACTERS_PER_TOKEN))
}

function countPrefixTokens (spec: GenerationSpec): number {
  return spec.prefix === undefined ? 0 : DEFAULT_PREFIX_TOKENS
}

/** Samples an exponential distribution deterministically, using a hash of the prompt as the random number. */
function sampleOutputTokens (spec: GenerationSpec): number {
  const fraction = createHash('sha1').update(spec.prompt).digest().readUInt32BE(0) / 2 ** 32
  return Math.ceil(-Math.log(1 - fraction) * DEFAULT_MEAN_OUTPUT_TOKENS)
}
