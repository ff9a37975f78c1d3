import { type AnyPeerMessage, type CancelTimer, type Clock, type PeerError } from '@fescuespoke/common'
import { Result } from 'true-myth'

/** Outcome of a request to a peer. */
export type PeerOutcome = Result<AnyPeerMessage, PeerError>

interface PendingRequest {
  readonly settle: (outcome: PeerOutcome) => void
  readonly cancelTimer: CancelTimer
}

/** Requests to one peer that are waiting for an answer. @internal */
export class PendingRequests {
  /**
   * Creates an empty set.
   * @param clock - Clock used for the timeouts.
   */
  static create (clock: Clock): PendingRequests {
    return new PendingRequests(clock)
  }

  private readonly requests = new Map<number, PendingRequest>()
  private nextId = 1

  /** @internal */
  private constructor (private readonly clock: Clock) {}

  /** Returns the id of the next request. */
  allocateId (): number {
    return this.nextId++
  }

  /** Returns the number of pending requests. */
  getSize (): number {
    return this.requests.size
  }

  /**
   * Returns whether a request is pending.
   * @param id - Id of the request.
   */
  has (id: number): boolean {
    return this.requests.has(id)
  }

  /**
   * Adds a request and waits for its outcome.
   * @param id - Id of the request.
   * @param timeoutMs - Maximum time to wait in milliseconds.
   */
  async waitForOutcome (id: number, timeoutMs: number): Promise<PeerOutcome> {
    return await new Promise(resolve => {
      const cancelTimer = this.clock.startTimer(timeoutMs, () => this.settle(id, Result.err('timeout')))
      this.requests.set(id, { settle: resolve, cancelTimer })
    })
  }

  /**
   * Settles a request. Does nothing if the request is no longer pending.
   * @param id - Id of the request.
   * @param outcome - Outcome of the request.
   */
  settle (id: number, outcome: PeerOutcome): void {
    const request = this.requests.get(id)
    if (request === undefined) return
    this.requests.delete(id)
    request.cancelTimer()
    request.settle(outcome)
  }

  /**
   * Fails all pending requests.
   * @param error - Error to settle them with.
   */
  failAll (error: PeerError): void {
    for (const id of [...this.requests.keys()]) this.settle(id, Result.err(error))
  }
}
