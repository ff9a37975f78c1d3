import { type AnyPeerMessage, type CancelTimer, type Clock, type PeerError } from '@fescuespoke/common'
import { Result } from 'true-myth'

/** Outcome of a request to a peer. */
export type PeerOutcome = Result<AnyPeerMessage, PeerError>

interface PendingRequest {
  readonly settle: (outcome: PeerOutcome) => void
  cancelTimer: CancelTimer
}

/** Options of pending requests. */
export interface PendingRequestsOptions {
  /** Clock used for the timeouts. */
  readonly clock: Clock
  /** Returns the time since the last bytes of a frame that is arriving, in milliseconds; undefined when none is. */
  readonly getFrameSilenceMs?: () => number | undefined
  /** Maximum time by which arriving frames prolong a timeout, in milliseconds. */
  readonly maxProlongationMs?: number
}

/** Requests to one peer that are waiting for an answer. A frame that is arriving when the timeout of a request ends prolongs it. @internal */
export class PendingRequests {
  /**
   * Creates an empty set.
   * @param options - Options of the requests.
   */
  static create (options: PendingRequestsOptions): PendingRequests {
    return new PendingRequests(options)
  }

  private readonly requests = new Map<number, PendingRequest>()
  private nextId = 1

  /** @internal */
  private constructor (private readonly options: PendingRequestsOptions) {}

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
   * @param timeoutMs - Maximum time to wait in milliseconds; a frame that is arriving at its end prolongs it until no bytes came for as long.
   */
  async waitForOutcome (id: number, timeoutMs: number): Promise<PeerOutcome> {
    const { clock, maxProlongationMs = 0 } = this.options
    return await new Promise(resolve => {
      const latestEndMs = clock.nowMs() + timeoutMs + maxProlongationMs
      const request: PendingRequest = { settle: resolve, cancelTimer: () => undefined }
      this.requests.set(id, request)
      this.startTimer(id, request, { delayMs: timeoutMs, timeoutMs, latestEndMs })
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

  /** Ends a request after a delay, unless a frame is arriving that may be its answer or precede it. */
  private startTimer (id: number, request: PendingRequest, { delayMs, timeoutMs, latestEndMs }: { delayMs: number, timeoutMs: number, latestEndMs: number }): void {
    const { clock, getFrameSilenceMs } = this.options
    request.cancelTimer = clock.startTimer(delayMs, () => {
      const remainingMs = Math.min(timeoutMs - (getFrameSilenceMs?.() ?? timeoutMs), latestEndMs - clock.nowMs())
      if (remainingMs > 0) this.startTimer(id, request, { delayMs: remainingMs, timeoutMs, latestEndMs })
      else this.settle(id, Result.err('timeout'))
    })
  }

  /**
   * Fails all pending requests.
   * @param error - Error to settle them with.
   */
  failAll (error: PeerError): void {
    for (const id of [...this.requests.keys()]) this.settle(id, Result.err(error))
  }
}
