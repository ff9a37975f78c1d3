import { type Histogram, type JsHistogram } from 'hdr-histogram-js'

/** Longest output that the distribution distinguishes, in tokens. */
export const MAX_OUTPUT_TOKENS = 262_144

const BUCKET_GROWTH_FACTOR = 1.25

/** Bucket bounds at which survival is computed, in tokens, ascending from 0. */
const BUCKET_BOUNDS: readonly number[] = createBucketBounds()

/** Weight of the prior, as a number of outputs. */
const PRIOR_SAMPLES = 10
const PRIOR_SHORT_TOKENS = 300
const PRIOR_LONG_TOKENS = 2000
const PRIOR_LONG_FRACTION = 0.3

/** Distribution of output lengths, stored as the survival probability at each bucket bound. */
export class LengthDistribution {
  /**
   * Creates a distribution from recorded lengths, blended with a broad prior that dominates while there are few samples.
   * @param histograms - Recorded lengths. Each histogram is weighted by its number of samples.
   */
  static create (histograms: readonly Histogram[]): LengthDistribution {
    return new LengthDistribution(computeSurvival(histograms))
  }

  /** @internal */
  private constructor (private readonly survival: Float64Array) {}

  /**
   * Estimates the survival probability: the fraction of outputs that are longer than a number of tokens.
   * @param tokens - Length in tokens.
   */
  estimateSurvival (tokens: number): number {
    if (tokens <= 0) return 1
    const position = findBucketPosition(tokens)
    const index = Math.min(BUCKET_BOUNDS.length - 2, Math.floor(position))
    const fraction = Math.min(1, position - index)
    return (this.survival[index] as number) * (1 - fraction) + (this.survival[index + 1] as number) * fraction
  }

  /**
   * Estimates a quantile of the output length, in tokens.
   * @param quantile - Quantile from 0 to 1.
   */
  estimateQuantile (quantile: number): number {
    const index = this.survival.findIndex(survival => survival <= 1 - quantile)
    return BUCKET_BOUNDS[Math.max(0, index - 1)] ?? 0
  }

  /**
   * Estimates the expected number of remaining tokens, given the number produced.
   * @param producedTokens - Number of tokens produced so far.
   * @param maxTokens - Maximum length of the whole output.
   */
  estimateRemaining (producedTokens: number, maxTokens = MAX_OUTPUT_TOKENS): number {
    const currentSurvival = this.estimateSurvival(producedTokens)
    if (currentSurvival <= 0 || producedTokens >= maxTokens) return 0
    let sum = 0
    let from = producedTokens
    let survivalFrom = currentSurvival
    for (const bound of BUCKET_BOUNDS) {
      if (bound <= producedTokens) continue
      const to = Math.min(bound, maxTokens)
      const survivalTo = this.estimateSurvival(to)
      sum += (to - from) * (survivalFrom + survivalTo) / 2
      if (bound >= maxTokens) break
      from = to
      survivalFrom = survivalTo
    }
    return sum / currentSurvival
  }
}

function createBucketBounds (): number[] {
  const bounds = [0]
  for (let bound = 1; bound < MAX_OUTPUT_TOKENS; bound = Math.max(bound + 1, Math.round(bound * BUCKET_GROWTH_FACTOR))) bounds.push(bound)
  return [...bounds, MAX_OUTPUT_TOKENS]
}

function findBucketPosition (tokens: number): number {
  let low = 0
  let high = BUCKET_BOUNDS.length - 1
  while (high - low > 1) {
    const middle = (low + high) >> 1
    if ((BUCKET_BOUNDS[middle] as number) <= tokens) low = middle
    else high = middle
  }
  const from = BUCKET_BOUNDS[low] as number
  return low + (tokens - from) / ((BUCKET_BOUNDS[high] as number) - from)
}

function computeSurvival (histograms: readonly Histogram[]): Float64Array {
  const counts = new Float64Array(BUCKET_BOUNDS.length)
  for (const histogram of histograms) addCounts(counts, histogram)
  const total = counts.reduce((sum, count) => sum + count, 0)
  let longerCount = total
  return Float64Array.from(BUCKET_BOUNDS, (bound, index) => {
    longerCount -= counts[index] as number
    return (longerCount + PRIOR_SAMPLES * computePriorSurvival(bound)) / (total + PRIOR_SAMPLES)
  })
}

/** Counts each recorded length at the first bucket bound that is not shorter. */
function addCounts (counts: Float64Array, histogram: Histogram): void {
  const values = (histogram as unknown as JsHistogram).recordedValuesIterator
  values.reset()
  while (values.hasNext()) {
    const step = values.next()
    const position = findBucketPosition(Math.min(step.valueIteratedTo, MAX_OUTPUT_TOKENS))
    const index = Math.ceil(position)
    counts[index] = (counts[index] as number) + step.countAddedInThisIterationStep
  }
}

function computePriorSurvival (tokens: number): number {
  return (1 - PRIOR_LONG_FRACTION) * Math.exp(-tokens / PRIOR_SHORT_TOKENS) + PRIOR_LONG_FRACTION * Math.exp(-tokens / PRIOR_LONG_TOKENS)
}
