/** Options of a retry budget. */
export interface RetryBudgetOptions {
  /** Retries allowed for each request made. */
  readonly ratio: number
  /** Retries allowed at once. */
  readonly burst: number
}

/** Bounds how often requests are made again, as a share of the requests made, so that failures do not multiply load. */
export class RetryBudget {
  /**
   * Creates a full budget.
   * @param options - Options of the budget.
   */
  static create (options: RetryBudgetOptions): RetryBudget {
    return new RetryBudget(options)
  }

  private left: number

  /** @internal */
  private constructor (private readonly options: RetryBudgetOptions) {
    this.left = options.burst
  }

  /** Records a request of the application. */
  recordRequest (): void {
    this.left = Math.min(this.options.burst, this.left + this.options.ratio)
  }

  /** Takes one retry, or returns false when none is left. */
  takeRetry (): boolean {
    if (this.left < 1) return false
    this.left -= 1
    return true
  }
}
