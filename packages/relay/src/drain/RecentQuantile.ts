/** Number of values that are kept. */
const KEPT_VALUES = 400

/** Number of values from which on their quantiles are used. */
const MIN_VALUES = 20

/** The latest values, and what they likely do not exceed. */
export class RecentQuantile {
  /** Creates a quantile without values. */
  static create (): RecentQuantile {
    return new RecentQuantile()
  }

  private readonly values: number[] = []
  private nextIndex = 0
  /** The values in ascending order; undefined after a change. */
  private sorted: readonly number[] | undefined

  /** @internal */
  private constructor () {}

  /**
   * Records a value.
   * @param value - The value.
   */
  record (value: number): void {
    this.values[this.nextIndex] = value
    this.nextIndex = (this.nextIndex + 1) % KEPT_VALUES
    this.sorted = undefined
  }

  /**
   * Returns the value that a share of the latest values does not exceed; undefined while there are few.
   * @param share - The share, from 0 to 1.
   */
  get (share: number): number | undefined {
    if (this.values.length < MIN_VALUES) return undefined
    const sorted = this.getSorted()
    return sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * share))]
  }

  /** Returns the highest of the latest values; undefined when there is none. */
  getMaximum (): number | undefined {
    return this.getSorted().at(-1)
  }

  private getSorted (): readonly number[] {
    this.sorted ??= [...this.values].sort((a, b) => a - b)
    return this.sorted
  }
}
