/** Maximum number of failed requests that are kept. */
const MAX_FAILED_REQUESTS = 1000

/** Ids of requests whose last target failed. Their next placement counts as a retry. */
export class FailedRequests {
  /** Creates a set without requests. */
  static create (): FailedRequests {
    return new FailedRequests()
  }

  /** Ids, oldest first. */
  private readonly ids = new Set<string>()

  /** @internal */
  private constructor () {}

  /**
   * Adds a request; drops the oldest one when there are too many.
   * @param requestId - Id of the request.
   */
  add (requestId: string): void {
    this.ids.add(requestId)
    const oldest = this.ids.values().next().value
    if (this.ids.size > MAX_FAILED_REQUESTS && oldest !== undefined) this.ids.delete(oldest)
  }

  /**
   * Removes a request, and returns whether it was there.
   * @param requestId - Id of the request.
   */
  take (requestId: string): boolean {
    return this.ids.delete(requestId)
  }
}
