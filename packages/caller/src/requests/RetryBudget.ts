/** Options of a retry budget. */
export interface RetryBudgetOptions {
  /** Number of retries that each request adds to the budget. */
  readonly ratio: number
  /** Maximum number of retries in the budget. */
  readonly burst: number
}

/** Limits retries to a fraction of all requests, so that failures do not multiply the load. */
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

  /** Records a request of the application, which adds to the budget. */
  recordRequest (): void {
    this.remainingRetries = Math.min(this.options.burst, this.remainingRetries + this.options.ratio)
  }

  /** Takes one retry from the budget. Returns false if the budget is exhausted. */
  tryConsumeRetry (): boolean {
    if (this.remainingRetries < 1) return false
    this.remainingRetries -= 1
    return true
  }
}
