import { type LengthDistribution } from '../lengths/LengthDistribution.js'

/** Horizons of the projection, as numbers of decode steps from now. */
export const HORIZON_STEPS: readonly number[] = [0, 32, 64, 128, 256, 512, 1024, 2048, 4096, 8192]

/** Mean and variance of the projected memory of generations at each horizon, in tokens. */
export interface MemoryProfile {
  readonly mean: Float64Array
  readonly variance: Float64Array
}

/** Properties of a generation that the projection is based on. */
export interface ProjectedGeneration {
  readonly promptTokens: number
  readonly producedTokens: number
  /** Maximum length of the output. */
  readonly maxTokens: number
  readonly lengthDistribution: LengthDistribution
}

/** Creates a profile without generations. */
export function createEmptyProfile (): MemoryProfile {
  return { mean: new Float64Array(HORIZON_STEPS.length), variance: new Float64Array(HORIZON_STEPS.length) }
}

/**
 * Estimates the memory of one generation at each horizon: the prompt and output tokens up to then, weighted by the
 * probability that the generation is still running then, given the tokens it has produced.
 * @param generation - The generation.
 */
export function estimateProfile (generation: ProjectedGeneration): MemoryProfile {
  const { promptTokens, producedTokens, maxTokens, lengthDistribution } = generation
  const currentSurvival = lengthDistribution.estimateSurvival(producedTokens)
  const profile = createEmptyProfile()
  HORIZON_STEPS.forEach((steps, index) => {
    const futureTokens = producedTokens + steps
    const survivalProbability = futureTokens >= maxTokens && steps > 0 ? 0 : lengthDistribution.estimateSurvival(futureTokens) / currentSurvival
    const memoryTokens = promptTokens + futureTokens
    profile.mean[index] = memoryTokens * survivalProbability
    profile.variance[index] = memoryTokens * memoryTokens * survivalProbability * (1 - survivalProbability)
  })
  return profile
}

/**
 * Adds a profile to another one in place, or subtracts it.
 * @param sum - Profile that is modified.
 * @param profile - Profile to add.
 * @param sign - 1 to add, -1 to subtract.
 */
export function addProfile (sum: MemoryProfile, profile: MemoryProfile, sign: 1 | -1 = 1): void {
  for (let index = 0; index < HORIZON_STEPS.length; index++) {
    sum.mean[index] = (sum.mean[index] as number) + sign * (profile.mean[index] as number)
    sum.variance[index] = (sum.variance[index] as number) + sign * (profile.variance[index] as number)
  }
}

/**
 * Returns the highest memory over all horizons in tokens, with a margin in standard deviations.
 * @param profile - The profile.
 * @param deviations - Number of standard deviations added to the mean.
 */
export function computePeak (profile: MemoryProfile, deviations: number): number {
  let peak = 0
  for (let index = 0; index < HORIZON_STEPS.length; index++) {
    const margin = deviations * Math.sqrt(Math.max(0, profile.variance[index] as number))
    peak = Math.max(peak, (profile.mean[index] as number) + margin)
  }
  return peak
}
