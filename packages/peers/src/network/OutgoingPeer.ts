import { addJitter, type AnyPeerMessage, type Clock, type Random } from '@fescuespoke/common'
import { type Hello } from '@fescuespoke/schema'
import { Result } from 'true-myth'
import { encodeFrame } from '../framing/encodeFrame.js'
import { type MessageCodec } from '../framing/MessageCodec.js'
import { type PeerConnection } from './PeerConnection.js'
import { type CounterSet } from './PeerCounters.js'
import { type PeerLimits } from './PeerLimits.js'
import { PendingRequests, type PeerOutcome } from './PendingRequests.js'

/** A connection that has ended its handshake. @internal */
export interface OpenedConnection {
  readonly connection: PeerConnection
  readonly hello: Hello
}

/** Options of an outgoing peer. @internal */
export interface OutgoingPeerOptions {
  readonly clock: Clock
  readonly random: Random
  readonly codec: MessageCodec
  readonly counters: CounterSet
  readonly limits: PeerLimits
  /** Opens a connection to the peer and runs its handshake. */
  readonly openConnection: (signal: AbortSignal) => Promise<Result<OpenedConnection, 'unreachable'>>
}

interface WaitingFrame {
  readonly id: number
  readonly frame: Buffer
}

/** Requests to one peer over one connection, which is opened when needed and replaced when lost. @internal */
export class OutgoingPeer {
  /**
   * Creates a peer without a connection.
   * @param options - Options of the peer.
   */
  static create (options: OutgoingPeerOptions): OutgoingPeer {
    return new OutgoingPeer(options)
  }

  private readonly pending: PendingRequests
  private readonly stopped = new AbortController()
  private waiting: WaitingFrame[] = []
  private opened: OpenedConnection | undefined
  private backoff: AbortController | undefined
  private failures = 0
  private hadConnection = false
  private lastRequestMs: number

  /** @internal */
  private constructor (private readonly options: OutgoingPeerOptions) {
    this.pending = PendingRequests.create(options.clock)
    this.lastRequestMs = options.clock.nowMs()
  }

  /**
   * Sends a request and waits for its outcome.
   * @param message - The request.
   * @param timeoutMs - Longest wait in milliseconds.
   */
  async request (message: AnyPeerMessage, timeoutMs: number): Promise<PeerOutcome> {
    if (this.stopped.signal.aborted) return Result.err('closed')
    this.lastRequestMs = this.options.clock.nowMs()
    if (this.backoff !== undefined) return Result.err('unreachable')
    const id = this.pending.takeId()
    const frame = encodeFrame(this.options.codec.encodeEnvelope({ kind: 'request', id, message }))
    if (!this.hasRoomFor(frame)) return Result.err('unreachable')
    const outcome = this.pending.waitOutcome(id, timeoutMs)
    this.sendOrKeep({ id, frame })
    return await outcome
  }

  /**
   * Observes that the peer is alive and which incarnation it is: an older connection is replaced, a wait ends.
   * @param incarnation - Incarnation of the peer.
   */
  observeIncarnation (incarnation: string): void {
    this.backoff?.abort()
    if (this.opened !== undefined && this.opened.hello.incarnation !== incarnation) this.opened.connection.close()
  }

  /** Stops the task; what waits fails as closed. */
  stop (): void {
    this.stopped.abort()
    this.backoff?.abort()
    this.opened?.connection.close()
    this.pending.settleAll('closed')
  }

  /** Runs until stopped or no longer used: connects, passes answers on, reconnects after a growing wait. */
  async run (): Promise<void> {
    while (!this.stopped.signal.aborted && this.isInUse()) {
      const opened = await this.options.openConnection(this.stopped.signal)
      if (opened.isOk) {
        await this.runConnection(opened.value)
        this.pending.settleAll('closed')
      } else {
        this.failures++
        this.pending.settleAll('unreachable')
      }
      this.waiting = []
      if (this.failures > 0) await this.waitBackoff()
    }
  }

  private isInUse (): boolean {
    return this.pending.getSize() > 0 || this.options.clock.nowMs() - this.lastRequestMs < this.options.limits.idleMs
  }

  private async runConnection (opened: OpenedConnection): Promise<void> {
    const { connection } = opened
    this.opened = opened
    if (this.hadConnection) this.options.counters.reconnects++
    this.hadConnection = true
    const idleCheck = this.runIdleCheck(connection)
    this.sendWaiting(connection)
    // A connection that ends before its first answer counts as a failure, so that it is not reopened in a tight loop.
    this.failures++
    for (let envelope = await connection.readEnvelope(); envelope !== undefined; envelope = await connection.readEnvelope()) {
      this.failures = 0
      if (envelope.kind === 'answer') this.pending.settle(envelope.id, Result.ok(envelope.message))
    }
    connection.close()
    this.opened = undefined
    await idleCheck
  }

  private async runIdleCheck (connection: PeerConnection): Promise<void> {
    const { clock, limits } = this.options
    while (!connection.isClosed() && this.isInUse()) await clock.sleep(limits.idleMs / 4, connection.getSignal())
    connection.close()
  }

  private sendWaiting (connection: PeerConnection): void {
    const frames = this.waiting
    this.waiting = []
    for (const { id, frame } of frames) {
      if (this.pending.has(id)) connection.sendFrame(frame)
    }
  }

  private sendOrKeep (waiting: WaitingFrame): void {
    if (this.opened !== undefined) this.opened.connection.sendFrame(waiting.frame)
    else this.waiting.push(waiting)
  }

  private hasRoomFor (frame: Buffer): boolean {
    this.waiting = this.waiting.filter(({ id }) => this.pending.has(id))
    const waitingBytes = this.waiting.reduce((sum, waiting) => sum + waiting.frame.length, 0)
    const queuedBytes = waitingBytes + (this.opened?.connection.getQueuedBytes() ?? 0)
    const { limits, counters } = this.options
    const fits = queuedBytes + frame.length <= limits.maxQueuedBytes && frame.length <= limits.maxFrameBytes
    if (!fits) counters.recordFault('overflow')
    return fits
  }

  private async waitBackoff (): Promise<void> {
    const { clock, limits, random } = this.options
    const doubledMs = limits.minBackoffMs * 2 ** Math.min(this.failures - 1, 20)
    this.backoff = new AbortController()
    await clock.sleep(addJitter(random, Math.min(doubledMs, limits.maxBackoffMs)), this.backoff.signal)
    this.backoff = undefined
  }
}
