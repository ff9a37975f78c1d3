import {
  type AnyPeerMessage, type Clock, type PeerError, type PeerHandler, type PeerMessageOf, type PeerMessageType, type PeerTransport
} from '@fescuespoke/common'
import { Result } from 'true-myth'
import { CounterSet, type PeerCounters } from '../network/PeerCounters.js'
import { PendingRequests, type PeerOutcome } from '../network/PendingRequests.js'
import { type PausableClock } from './PausableClock.js'

/** Sends a request of a peer over its network. @internal */
export type SendRequest = (from: InMemoryPeer, to: string, message: AnyPeerMessage, settle: (outcome: PeerOutcome) => void) => void

/** Options of a peer of an in-memory network. @internal */
export interface InMemoryPeerOptions {
  readonly instance: string
  readonly clock: PausableClock
  readonly sendRequest: SendRequest
}

/** Simulated process on an in-memory network, with its transport and clock. */
export class InMemoryPeer implements PeerTransport {
  /** @internal */
  static create (options: InMemoryPeerOptions): InMemoryPeer {
    return new InMemoryPeer(options)
  }

  /** @internal */
  readonly counters = new CounterSet()
  private readonly handlers = new Map<string, PeerHandler<PeerMessageType>>()
  private readonly pending: PendingRequests
  private closed = false

  /** @internal */
  private constructor (private readonly options: InMemoryPeerOptions) {
    this.pending = PendingRequests.create({ clock: options.clock })
  }

  /** Name of the instance. */
  get instance (): string {
    return this.options.instance
  }

  /** Clock of the process. Its timers do not run while the process is paused. */
  get clock (): Clock {
    return this.options.clock
  }

  /** @internal */
  get pausableClock (): PausableClock {
    return this.options.clock
  }

  /** Returns whether the process has ended. */
  isClosed (): boolean {
    return this.closed
  }

  /** Ends the process. Requests to it fail with `unreachable`, its pending requests with `closed`. */
  close (): void {
    this.closed = true
    this.pending.failAll('closed')
  }

  /** Returns the traffic counters. Bytes are counted only if the network encodes messages. */
  getCounters (): PeerCounters {
    return this.counters.getCounters()
  }

  /**
   * Sends a request and waits for its answer.
   * @param instance - Name of the peer.
   * @param message - Request to send.
   * @param timeoutMs - Maximum time to wait in milliseconds.
   */
  async request<T extends PeerMessageType>(instance: string, message: AnyPeerMessage, timeoutMs: number): Promise<Result<PeerMessageOf<T>, PeerError>> {
    if (this.closed) return Result.err('closed')
    const id = this.pending.allocateId()
    const outcome = this.pending.waitForOutcome(id, timeoutMs)
    this.options.sendRequest(this, instance, message, settled => this.pending.settle(id, settled))
    return await outcome as Result<PeerMessageOf<T>, PeerError>
  }

  /**
   * Sets the handler for requests of one type.
   * @param type - Type name of the request.
   * @param handler - Returns the answer to a request.
   */
  setHandler<T extends PeerMessageType>(type: T, handler: PeerHandler<T>): void {
    this.handlers.set(type, handler as unknown as PeerHandler<PeerMessageType>)
  }

  /** @internal */
  async handleRequest (message: AnyPeerMessage, from: string): Promise<AnyPeerMessage | undefined> {
    return await this.handlers.get(message.type)?.(message, from)
  }
}
