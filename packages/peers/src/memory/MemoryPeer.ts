import {
  type AnyPeerMessage, type Clock, type PeerError, type PeerHandler, type PeerMessageOf, type PeerMessageType, type PeerTransport
} from '@fescuespoke/common'
import { Result } from 'true-myth'
import { CounterSet, type PeerCounters } from '../network/PeerCounters.js'
import { PendingRequests, type PeerOutcome } from '../network/PendingRequests.js'
import { type PausableClock } from './PausableClock.js'

/** Sends a request of a peer into its network. @internal */
export type SendRequest = (from: MemoryPeer, to: string, message: AnyPeerMessage, settle: (outcome: PeerOutcome) => void) => void

/** Options of a peer of a memory network. @internal */
export interface MemoryPeerOptions {
  readonly instance: string
  readonly clock: PausableClock
  readonly sendRequest: SendRequest
}

/** One process on a memory network: its transport and its clock. */
export class MemoryPeer implements PeerTransport {
  /** @internal */
  static create (options: MemoryPeerOptions): MemoryPeer {
    return new MemoryPeer(options)
  }

  /** @internal */
  readonly counters = new CounterSet()
  private readonly handlers = new Map<string, PeerHandler<PeerMessageType>>()
  private readonly pending: PendingRequests
  private closed = false

  /** @internal */
  private constructor (private readonly options: MemoryPeerOptions) {
    this.pending = PendingRequests.create(options.clock)
  }

  /** Name of the instance. */
  get instance (): string {
    return this.options.instance
  }

  /** Clock of the process, which stands still for it during a pause. */
  get clock (): Clock {
    return this.options.clock
  }

  /** @internal */
  get pausableClock (): PausableClock {
    return this.options.clock
  }

  /** Tells whether the process has ended. */
  isClosed (): boolean {
    return this.closed
  }

  /** Ends the process: requests to it are unreachable, its own ones closed. */
  close (): void {
    this.closed = true
    this.pending.settleAll('closed')
  }

  /** Gets the counts of traffic; bytes are counted when the network encodes. */
  getCounters (): PeerCounters {
    return this.counters.getCounters()
  }

  /**
   * Sends a request and waits for its answer.
   * @param instance - Name of the peer.
   * @param message - The request.
   * @param timeoutMs - Longest wait in milliseconds.
   */
  async request<T extends PeerMessageType>(instance: string, message: AnyPeerMessage, timeoutMs: number): Promise<Result<PeerMessageOf<T>, PeerError>> {
    if (this.closed) return Result.err('closed')
    const id = this.pending.takeId()
    const outcome = this.pending.waitOutcome(id, timeoutMs)
    this.options.sendRequest(this, instance, message, settled => this.pending.settle(id, settled))
    return await outcome as Result<PeerMessageOf<T>, PeerError>
  }

  /**
   * Sets the handler for requests of one type.
   * @param type - Type name of the message.
   * @param handler - Answers the request.
   */
  setHandler<T extends PeerMessageType>(type: T, handler: PeerHandler<T>): void {
    this.handlers.set(type, handler as unknown as PeerHandler<PeerMessageType>)
  }

  /** @internal */
  async answerRequest (message: AnyPeerMessage, from: string): Promise<AnyPeerMessage | undefined> {
    return await this.handlers.get(message.type)?.(message, from)
  }
}
