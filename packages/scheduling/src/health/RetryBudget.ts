/** Retries added to the budget by each success. */
const RETRIES_PER_SUCCESS = 0.1

/** Retries available before the first success, and maximum size of the budget. */
const INITIAL_RETRIES = 10
const MAX_RETRIES = 50

/** Limits the retries of each service to a fraction of its successes, so that retries do not multiply the load during failures. */
export class RetryBudget {
  /** Creates a budget. */
  static create (): RetryBudget {
    return new RetryBudget()
  }

  private readonly balances = new Map<string, number>()

  /** @internal */
  private constructor () {}

  /**
   * Records a success.
   * @param service - Name of the service.
   */
  observeSuccess (service: string): void {
    this.balances.set(service, Math.min(MAX_RETRIES, this.getBalance(service) + RETRIES_PER_SUCCESS))
  }

  /**
   * Consumes one retry from the budget if one is available.
   * @param service - Name of the service.
   * @returns Whether a retry was available.
   */
  tryConsumeRetry (service: string): boolean {
    const balance = this.getBalance(service)
    if (balance < 1) return false
    this.balances.set(service, balance - 1)
    return true
  }

  private getBalance (service: string): number {
    return this.balances.get(service) ?? INITIAL_RETRIES
  }
}
