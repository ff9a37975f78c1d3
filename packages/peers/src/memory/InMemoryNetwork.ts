import { type AnyPeerMessage, type Clock, type Random } from '@fescuespoke/common'
import { Result } from 'true-myth'
import { FRAME_HEADER_BYTES } from '../framing/FrameDecoder.js'
import { type Envelope, MessageCodec } from '../framing/MessageCodec.js'
import { type PeerOutcome } from '../network/PendingRequests.js'
import { InMemoryPeer } from './InMemoryPeer.js'
import { PausableClock } from './PausableClock.js'

/** Faults injected into the delivery of messages. Each request and each answer is one message. */
export interface NetworkFaults {
  /** Delivery latency in milliseconds. */
  readonly latencyMs: number
  /** Maximum random addition to the latency in milliseconds. Messages may be reordered. */
  readonly jitterMs: number
  /** Fraction of messages that are lost. */
  readonly lossRate: number
  /** Fraction of messages that are delivered twice. */
  readonly duplicateRate: number
  /** Fraction of messages that are delayed by `delayMs`. */
  readonly delayRate: number
  readonly delayMs: number
}

/** Default faults: a latency of one millisecond and no other fault. */
export const DEFAULT_NETWORK_FAULTS: NetworkFaults = { latencyMs: 1, jitterMs: 0, lossRate: 0, duplicateRate: 0, delayRate: 0, delayMs: 0 }

/** Options of an in-memory network. */
export interface InMemoryNetworkOptions {
  /** Clock shared by all simulated processes. */
  readonly clock: Clock
  readonly random: Random
  readonly faults?: Partial<NetworkFaults>
  /** Whether messages are encoded, counted in bytes, decoded and validated as over TCP, or passed as objects. */
  readonly shouldEncode?: boolean
}

/** Delivers messages between simulated processes and injects faults that are reproducible with a random seed. */
export class InMemoryNetwork {
  /**
   * Creates a network without peers.
   * @param options - Options of the network.
   */
  static create (options: InMemoryNetworkOptions): InMemoryNetwork {
    return new InMemoryNetwork(options)
  }

  private readonly peers = new Map<string, InMemoryPeer>()
  private readonly codec: MessageCodec | undefined
  private faults: NetworkFaults
  private blockedLinks = new Set<string>()

  /** @internal */
  private constructor (private readonly options: InMemoryNetworkOptions) {
    this.faults = { ...DEFAULT_NETWORK_FAULTS, ...options.faults }
    this.codec = options.shouldEncode === true ? MessageCodec.create() : undefined
  }

  /**
   * Creates a peer. An existing peer of the same name is closed, as in a restart.
   * @param instance - Name of the instance.
   */
  createPeer (instance: string): InMemoryPeer {
    this.peers.get(instance)?.close()
    const clock = PausableClock.create(this.options.clock)
    const peer = InMemoryPeer.create({ instance, clock, sendRequest: (from, to, message, settle) => this.sendRequest(from, to, message, settle) })
    this.peers.set(instance, peer)
    return peer
  }

  /**
   * Changes the faults of messages sent from now on.
   * @param faults - Faults to change; the others are kept.
   */
  setFaults (faults: Partial<NetworkFaults>): void {
    this.faults = { ...this.faults, ...faults }
  }

  /**
   * Drops all messages between two groups, including messages in transit.
   * @param groupA - Names of the instances of one group.
   * @param groupB - Names of the instances of the other group.
   */
  partition (groupA: readonly string[], groupB: readonly string[]): void {
    for (const a of groupA) {
      for (const b of groupB) this.blockedLinks.add(formatLinkKey(a, b)).add(formatLinkKey(b, a))
    }
  }

  /**
   * Pauses a process. Its timers and the messages to it are deferred until it is resumed.
   * @param instance - Name of the instance.
   */
  pause (instance: string): void {
    this.peers.get(instance)?.pausableClock.pause()
  }

  /**
   * Resumes a process. Its deferred timers and messages run in the order in which they became due.
   * @param instance - Name of the instance.
   */
  resume (instance: string): void {
    this.peers.get(instance)?.pausableClock.resume()
  }

  /** Ends all partitions, pauses and message faults. The latency is kept. */
  heal (): void {
    this.blockedLinks = new Set()
    this.faults = { ...DEFAULT_NETWORK_FAULTS, latencyMs: this.faults.latencyMs }
    for (const peer of this.peers.values()) peer.pausableClock.resume()
  }

  private sendRequest (from: InMemoryPeer, to: string, message: AnyPeerMessage, settle: (outcome: PeerOutcome) => void): void {
    const envelope = this.encode(from, { kind: 'request', id: 0, message })
    this.sendMessage(from.instance, to, () => {
      const receiver = this.peers.get(to)
      if (receiver === undefined || receiver.isClosed()) {
        this.sendMessage(to, from.instance, () => from.pausableClock.runOrDefer(() => settle(Result.err('unreachable'))))
        return
      }
      receiver.pausableClock.runOrDefer(() => { this.deliverRequest(from, receiver, envelope, settle) })
    })
  }

  private async deliverRequest (from: InMemoryPeer, receiver: InMemoryPeer, envelope: Envelope | Uint8Array, settle: (outcome: PeerOutcome) => void): Promise<void> {
    if (receiver.isClosed()) return
    const answer = await receiver.handleRequest(this.decode(receiver, envelope), from.instance)
    if (answer === undefined || receiver.isClosed()) return
    const encoded = this.encode(receiver, { kind: 'answer', id: 0, message: answer })
    this.sendMessage(receiver.instance, from.instance, () => {
      from.pausableClock.runOrDefer(() => {
        if (!from.isClosed()) settle(Result.ok(this.decode(from, encoded)))
      })
    })
  }

  private sendMessage (from: string, to: string, deliver: () => void): void {
    const { random } = this.options
    if (this.faults.lossRate > 0 && random.nextFloat() < this.faults.lossRate) return
    this.sendCopy(from, to, deliver)
    if (this.faults.duplicateRate > 0 && random.nextFloat() < this.faults.duplicateRate) this.sendCopy(from, to, deliver)
  }

  private sendCopy (from: string, to: string, deliver: () => void): void {
    const { random, clock } = this.options
    const { latencyMs, jitterMs, delayRate, delayMs } = this.faults
    const extraDelayMs = delayRate > 0 && random.nextFloat() < delayRate ? delayMs : 0
    const addedJitterMs = jitterMs > 0 ? random.nextFloat() * jitterMs : 0
    clock.startTimer(latencyMs + addedJitterMs + extraDelayMs, () => {
      if (!this.blockedLinks.has(formatLinkKey(from, to))) deliver()
    })
  }

  private encode (sender: InMemoryPeer, envelope: Envelope): Envelope | Uint8Array {
    sender.counters.framesOut++
    if (this.codec === undefined) return envelope
    const bytes = this.codec.encodeEnvelope(envelope)
    sender.counters.bytesOut += bytes.length + FRAME_HEADER_BYTES
    return bytes
  }

  private decode (receiver: InMemoryPeer, encoded: Envelope | Uint8Array): AnyPeerMessage {
    receiver.counters.framesIn++
    if (!(encoded instanceof Uint8Array)) return encoded.message
    receiver.counters.bytesIn += encoded.length + FRAME_HEADER_BYTES
    const decoded = this.codec?.decodeEnvelope(encoded)
    if (decoded?.isOk !== true) throw new Error('failed to decode a message that was encoded by this network')
    return decoded.value.message
  }
}

function formatLinkKey (from: string, to: string): string {
  return `${from}\u0000${to}`
}
