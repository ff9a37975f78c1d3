import { createHash } from 'node:crypto'
import { type Clock, type ModelReference, type Random } from '@fescuespoke/common'
import { type GenerationSpec } from '@fescuespoke/schema'
import { type Result } from 'true-myth'
import { type ErrorResponse } from '../http/ErrorResponse.js'

/** Where an engine gets the weights of a model. */
export interface WeightSource {
  /**
   * Fetches the weights of a model.
   * @param model - Name of the model.
   */
  fetchWeights(model: string): Promise<Result<void, ErrorResponse>>
}

/** Options of an engine. */
export interface EngineOptions {
  readonly clock: Clock
  readonly random: Random
  readonly targetName: string
  /** Cache memory, in tokens. */
  readonly capacityTokens?: number
  /** Largest batch. */
  readonly maxSequences?: number
  /** Duration of a step without sequences. */
  readonly stepBaseMs?: number
  /** Duration added by each sequence. */
  readonly stepSequenceMs?: number
  /** Duration added by each token of a prompt that is computed. */
  readonly prefillTokenMs?: number
  /** Most prompt tokens computed in one step. */
  readonly prefillStepTokens?: number
  /** Share of the memory kept free when a generation is admitted. */
  readonly reserveFraction?: number
  /** How many times faster than the durations above. */
  readonly speed?: number
  /** Memory that cached prefixes may take, in tokens. */
  readonly prefixCacheTokens?: number
  /** Computes the length of a prompt in tokens. */
  readonly computePromptTokens?: (spec: GenerationSpec) => number
  /** Computes the length of a prompt's named prefix in tokens. */
  readonly computePrefixTokens?: (spec: GenerationSpec) => number
  /** Computes the length at which a generation stops by itself; nobody outside knows it. */
  readonly computeOutputTokens?: (spec: GenerationSpec, id: string) => number
  readonly heartbeatMs?: number
  /** How long an ended generation can be read. */
  readonly retentionMs?: number
  /** Delay of the load figures. */
  readonly loadLagMs?: number
  /** Delay of cache events. */
  readonly eventLagMs?: number
  /** Share of cache events that are lost. */
  readonly eventLossRate?: number
  /** Models loaded at the start. Any model is served when absent. */
  readonly models?: readonly ModelReference[]
  /** Whether orders with an old fencing number are refused. */
  readonly enforcesFences?: boolean
  /** Whether new work is refused while leaving. */
  readonly shouldRejectWhenLeaving?: boolean
  readonly weightSource?: WeightSource
  /** Duration of a load after its weights have been fetched. */
  readonly loadMs?: number
  /** Wait before weights are asked for again. */
  readonly loadRetryMs?: number
}

/** Options of an engine with all defaults filled in. */
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
  enforcesFences: false,
  shouldRejectWhenLeaving: false,
  loadMs: 2000,
  loadRetryMs: 1000
}

/**
 * Merges options with the defaults; an option that is `undefined` counts as absent.
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

/** Draws from an exponential distribution, by a hash of the prompt. */
function sampleOutputTokens (spec: GenerationSpec): number {
  const fraction = createHash('sha1').update(spec.prompt).digest().readUInt32BE(0) / 2 ** 32
  return Math.ceil(-Math.log(1 - fraction) * DEFAULT_MEAN_OUTPUT_TOKENS)
}
