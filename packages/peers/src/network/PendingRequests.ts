import { type AnyPeerMessage, type CancelTimer, type Clock, type PeerError } from '@fescuespoke/common'
import { Result } from 'true-myth'

/** Outcome of a request to a peer. */
export type PeerOutcome = Result<AnyPeerMessage, PeerError>

interface PendingRequest {
  readonly settle: (outcome: PeerOutcome) => void
  readonly cancelTimer: CancelTimer
}

/** Requests of one peer that wait for their answers. @internal */
export class PendingRequests {
  /**
   * Creates an empty set.
   * @param clock - Clock of the timeouts.
   */
  static create (clock: Clock): PendingRequests {
    return new PendingRequests(clock)
  }

  private readonly requests = new Map<number, PendingRequest>()
  private nextId = 1

  /** @internal */
  private constructor (private readonly clock: Clock) {}

  /** Takes the number of the next request. */
  takeId (): number {
    return this.nextId++
  }

  /** Gets the number of waiting requests. */
  getSize (): number {
    return this.requests.size
  }

  /**
   * Tells whether a request still waits.
   * @param id - Number of the request.
   */
  has (id: number): boolean {
    return this.requests.has(id)
  }

  /**
   * Waits for the outcome of a request.
   * @param id - Number of the request.
   * @param timeoutMs - Longest wait in milliseconds.
   */
  async waitOutcome (id: number, timeoutMs: number): Promise<PeerOutcome> {
    return await new Promise(resolve => {
      const cancelTimer = this.clock.startTimer(timeoutMs, () => this.settle(id, Result.err('timeout')))
      this.requests.set(id, { settle: resolve, cancelTimer })
    })
  }

  /**
   * Settles a request; one that waits no more is left alone.
   * @param id - Number of the request.
   * @param outcome - Its outcome.
   */
  settle (id: number, outcome: PeerOutcome): void {
    const request = this.requests.get(id)
    if (request === undefined) return
    this.requests.delete(id)
    request.cancelTimer()
    request.settle(outcome)
  }

  /**
   * Settles every request with an error.
   * @param error - The error.
   */
  settleAll (error: PeerError): void {
    for (const id of [...this.requests.keys()]) this.settle(id, Result.err(error))
  }
}
