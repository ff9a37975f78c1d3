import { addJitter, type AnyPeerMessage, type Clock, type Random } from '@fescuespoke/common'
import { type Hello } from '@fescuespoke/schema'
import { Result } from 'true-myth'
import { encodeFrame } from '../framing/encodeFrame.js'
import { type MessageCodec } from '../framing/MessageCodec.js'
import { type PeerConnection } from './PeerConnection.js'
import { type CounterSet } from './PeerCounters.js'
import { type PeerLimits } from './PeerLimits.js'
import { PendingRequests, type PeerOutcome } from './PendingRequests.js'

/** Connection that has completed its handshake. @internal */
export interface EstablishedConnection {
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
  readonly openConnection: (signal: AbortSignal) => Promise<Result<EstablishedConnection, 'unreachable'>>
}

interface QueuedFrame {
  readonly id: number
  readonly frame: Buffer
}

/** Sends requests to one peer over a single connection, which is opened on demand and reopened when lost. @internal */
export class OutgoingPeer {
  /**
   * Creates an outgoing peer without a connection.
   * @param options - Options of the peer.
   */
  static create (options: OutgoingPeerOptions): OutgoingPeer {
    return new OutgoingPeer(options)
  }

  private readonly pending: PendingRequests
  private readonly stopController = new AbortController()
  private queuedFrames: QueuedFrame[] = []
  private established: EstablishedConnection | undefined
  /** Number of requests that were sent on the current connection and have no answer yet, also not one that came too late. */
  private unansweredRequests = 0
  private backoffController: AbortController | undefined
  private consecutiveFailures = 0
  private hasConnectedBefore = false
  private lastRequestAtMs: number

  /** @internal */
  private constructor (private readonly options: OutgoingPeerOptions) {
    this.pending = PendingRequests.create({ clock: options.clock, getFrameSilenceMs: () => this.established?.connection.getFrameSilenceMs(), maxProlongationMs: options.limits.frameTimeoutMs })
    this.lastRequestAtMs = options.clock.nowMs()
  }

  /**
   * Sends a request and waits for its outcome.
   * @param message - Request to send.
   * @param timeoutMs - Maximum time to wait in milliseconds.
   */
  async request (message: AnyPeerMessage, timeoutMs: number): Promise<PeerOutcome> {
    if (this.stopController.signal.aborted) return Result.err('closed')
    this.lastRequestAtMs = this.options.clock.nowMs()
    if (this.backoffController !== undefined) return Result.err('unreachable')
    const id = this.pending.allocateId()
    const frame = encodeFrame(this.options.codec.encodeEnvelope({ kind: 'request', id, message }))
    if (!this.hasQueueCapacity(frame)) return Result.err('unreachable')
    const outcome = this.pending.waitForOutcome(id, timeoutMs)
    this.sendOrQueue({ id, frame })
    return await outcome
  }

  /**
   * Called when the peer has connected. Ends a backoff, and closes the connection if it belongs to another incarnation.
   * @param incarnation - Current incarnation of the peer.
   */
  handleIncarnation (incarnation: string): void {
    this.backoffController?.abort()
    if (this.established !== undefined && this.established.hello.incarnation !== incarnation) this.established.connection.close()
  }

  /** Stops the connection loop. Pending requests fail with `closed`. */
  stop (): void {
    this.stopController.abort()
    this.backoffController?.abort()
    this.established?.connection.close()
    this.pending.failAll('closed')
  }

  /** Runs until stopped or idle: connects, dispatches answers, and reconnects with exponential backoff. */
  async run (): Promise<void> {
    while (!this.stopController.signal.aborted && this.isActive()) {
      const established = await this.options.openConnection(this.stopController.signal)
      if (established.isOk) {
        await this.runConnection(established.value)
        this.pending.failAll('closed')
      } else {
        this.consecutiveFailures++
        this.pending.failAll('unreachable')
      }
      this.queuedFrames = []
      if (this.consecutiveFailures > 0) await this.waitForBackoff()
    }
  }

  private isActive (): boolean {
    return this.pending.getSize() > 0 || this.options.clock.nowMs() - this.lastRequestAtMs < this.options.limits.idleTimeoutMs
  }

  private async runConnection (established: EstablishedConnection): Promise<void> {
    const { connection } = established
    this.established = established
    this.unansweredRequests = 0
    if (this.hasConnectedBefore) this.options.counters.reconnects++
    this.hasConnectedBefore = true
    const idleCheck = this.closeWhenIdle(connection)
    this.flushQueue(connection)
    // A connection that closes before its first answer counts as a failure, so that it is not reopened in a tight loop.
    this.consecutiveFailures++
    for (let envelope = await connection.readEnvelope(); envelope !== undefined; envelope = await connection.readEnvelope()) {
      this.unansweredRequests--
      if (this.unansweredRequests < 0) {
        connection.close('unexpected')
        this.consecutiveFailures++
        break
      }
      this.consecutiveFailures = 0
      if (envelope.kind === 'answer') this.pending.settle(envelope.id, Result.ok(envelope.message))
    }
    connection.close()
    this.established = undefined
    await idleCheck
  }

  private async closeWhenIdle (connection: PeerConnection): Promise<void> {
    const { clock, limits } = this.options
    while (!connection.isClosed() && this.isActive()) await clock.sleep(limits.idleTimeoutMs / 4, connection.getSignal())
    connection.close()
  }

  private flushQueue (connection: PeerConnection): void {
    const frames = this.queuedFrames
    this.queuedFrames = []
    for (const { id, frame } of frames) {
      if (this.pending.has(id)) this.sendRequestFrame(connection, frame)
    }
  }

  private sendOrQueue (queuedFrame: QueuedFrame): void {
    if (this.established !== undefined) this.sendRequestFrame(this.established.connection, queuedFrame.frame)
    else this.queuedFrames.push(queuedFrame)
  }

  private sendRequestFrame (connection: PeerConnection, frame: Buffer): void {
    this.unansweredRequests++
    connection.sendFrame(frame)
  }

  private hasQueueCapacity (frame: Buffer): boolean {
    this.queuedFrames = this.queuedFrames.filter(({ id }) => this.pending.has(id))
    const queuedFrameBytes = this.queuedFrames.reduce((sum, queuedFrame) => sum + queuedFrame.frame.length, 0)
    const totalQueuedBytes = queuedFrameBytes + (this.established?.connection.getQueuedBytes() ?? 0)
    const { limits, counters } = this.options
    const isWithinLimits = totalQueuedBytes + frame.length <= limits.maxQueuedBytes && frame.length <= limits.maxFrameBytes
    if (!isWithinLimits) counters.recordFault('overflow')
    return isWithinLimits
  }

  private async waitForBackoff (): Promise<void> {
    const { clock, limits, random } = this.options
    const exponentialBackoffMs = limits.minBackoffMs * 2 ** Math.min(this.consecutiveFailures - 1, 20)
    this.backoffController = new AbortController()
    await clock.sleep(addJitter(random, Math.min(exponentialBackoffMs, limits.maxBackoffMs)), this.backoffController.signal)
    this.backoffController = undefined
  }
}
