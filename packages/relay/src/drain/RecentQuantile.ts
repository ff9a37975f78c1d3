/** Number of values that are kept. */
const KEPT_VALUES = 200

/** Number of values from which on their quantile is used. */
const MIN_VALUES = 20

/** Share of the values that are at most the likely one. */
const LIKELY_QUANTILE = 0.9

/** The value that the latest values likely do not exceed. */
export class RecentQuantile {
  /** Creates a quantile without values. */
  static create (): RecentQuantile {
    return new RecentQuantile()
  }

  private readonly values: number[] = []
  private nextIndex = 0
  /** The quantile; undefined after a change. */
  private likely: number | undefined

  /** @internal */
  private constructor () {}

  /**
   * Records a value.
   * @param value - The value.
   */
  record (value: number): void {
    this.values[this.nextIndex] = value
    this.nextIndex = (this.nextIndex + 1) % KEPT_VALUES
    this.likely = undefined
  }

  /** Returns the value that nine of ten do not exceed; undefined while there are few. */
  get (): number | undefined {
    if (this.values.length < MIN_VALUES) return undefined
    this.likely ??= computeQuantile(this.values, LIKELY_QUANTILE)
    return this.likely
  }
}

function computeQuantile (values: readonly number[], quantile: number): number {
  const sorted = [...values].sort((a, b) => a - b)
  return sorted[Math.floor(sorted.length * quantile)]!
}
