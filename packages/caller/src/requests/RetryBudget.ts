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

  private remainingRetries: number

  /** @internal */
  private constructor (private readonly options: RetryBudgetOptions) {
    this.remainingRetries = options.burst
  }

  /** Records a request of the application. */
  recordRequest (): void {
    this.remainingRetries = Math.min(this.options.burst, this.remainingRetries + this.options.ratio)
  }

  /** Takes one retry, or returns false when none is left. */
  tryConsumeRetry (): boolean {
    if (this.remainingRetries < 1) return false
    this.remainingRetries -= 1
    return true
  }
}
