/** Retries earned by each success. */
const RETRIES_PER_SUCCESS = 0.1

/** Retries available before any success, and most that can be saved up. */
const INITIAL_RETRIES = 10
const MAX_RETRIES = 50

/** Limits the retries of each service to a share of its successes, so that failures do not multiply load. */
export class RetryBudget {
  /** Creates a budget. */
  static create (): RetryBudget {
    return new RetryBudget()
  }

  private readonly balances = new Map<string, number>()

  /** @internal */
  private constructor () {}

  /**
   * Observes a success.
   * @param service - Name of the service.
   */
  observeSuccess (service: string): void {
    this.balances.set(service, Math.min(MAX_RETRIES, this.getBalance(service) + RETRIES_PER_SUCCESS))
  }

  /**
   * Takes one retry, if there is one left.
   * @param service - Name of the service.
   * @returns Whether the retry may be made.
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
