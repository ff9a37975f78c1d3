/** Number of generations whose ratios are kept. */
const KEPT_RATIOS = 200

/** Number of generations from which on their quantile is used. */
const MIN_RATIOS = 20

/** Share of generations whose output is at most the likely one. */
const LIKELY_QUANTILE = 0.9

/** Ratios of the output of generations to a stated size, such as the caller's estimate. */
export class OutputRatios {
  /**
   * Creates ratios without records.
   * @param defaultRatio - Ratio that is likely not exceeded until enough generations have ended.
   */
  static create (defaultRatio: number): OutputRatios {
    return new OutputRatios(defaultRatio)
  }

  private readonly ratios: number[] = []
  private nextIndex = 0
  /** Quantile of the ratios; undefined after a change. */
  private likely: number | undefined

  /** @internal */
  private constructor (private readonly defaultRatio: number) {}

  /**
   * Records the output of a generation.
   * @param outputTokens - Its output, in tokens.
   * @param statedTokens - The stated size, in tokens.
   */
  record (outputTokens: number, statedTokens: number): void {
    if (statedTokens <= 0) return
    this.ratios[this.nextIndex] = outputTokens / statedTokens
    this.nextIndex = (this.nextIndex + 1) % KEPT_RATIOS
    this.likely = undefined
  }

  /** Returns the ratio that is likely not exceeded. */
  getLikely (): number {
    if (this.ratios.length < MIN_RATIOS) return this.defaultRatio
    this.likely ??= computeQuantile(this.ratios, LIKELY_QUANTILE)
    return this.likely
  }
}

function computeQuantile (values: readonly number[], quantile: number): number {
  const sorted = [...values].sort((a, b) => a - b)
  return sorted[Math.floor(sorted.length * quantile)]!
}
