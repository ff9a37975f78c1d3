import { type AnyPeerMessage, type Clock, type Random } from '@fescuespoke/common'
import { Result } from 'true-myth'
import { FRAME_HEADER_BYTES } from '../framing/FrameDecoder.js'
import { type Envelope, MessageCodec } from '../framing/MessageCodec.js'
import { type PeerOutcome } from '../network/PendingRequests.js'
import { MemoryPeer } from './MemoryPeer.js'
import { PausableClock } from './PausableClock.js'

/** What happens to messages on their way; each request and each answer is one message. */
export interface MemoryFaults {
  /** Time on the way in milliseconds. */
  readonly latencyMs: number
  /** Largest random addition to the latency in milliseconds; messages overtake each other. */
  readonly jitterMs: number
  /** Share of messages that are lost. */
  readonly lossRate: number
  /** Share of messages that arrive twice. */
  readonly duplicateRate: number
  /** Share of messages that are late by `delayMs`. */
  readonly delayRate: number
  readonly delayMs: number
}

/** Faults that hold where an option is absent: a millisecond of latency, nothing else. */
export const DEFAULT_MEMORY_FAULTS: MemoryFaults = { latencyMs: 1, jitterMs: 0, lossRate: 0, duplicateRate: 0, delayRate: 0, delayMs: 0 }

/** Options of a memory network. */
export interface MemoryNetworkOptions {
  /** Clock of the whole test. */
  readonly clock: Clock
  readonly random: Random
  readonly faults?: Partial<MemoryFaults>
  /** Whether messages are encoded, counted in bytes, decoded and checked as on TCP; otherwise they are passed as they are. */
  readonly encodes?: boolean
}

/** Carries messages between simulated processes, with faults that a seed repeats. */
export class MemoryNetwork {
  /**
   * Creates a network without peers.
   * @param options - Options of the network.
   */
  static create (options: MemoryNetworkOptions): MemoryNetwork {
    return new MemoryNetwork(options)
  }

  private readonly peers = new Map<string, MemoryPeer>()
  private readonly codec: MessageCodec | undefined
  private faults: MemoryFaults
  private blocked = new Set<string>()

  /** @internal */
  private constructor (private readonly options: MemoryNetworkOptions) {
    this.faults = { ...DEFAULT_MEMORY_FAULTS, ...options.faults }
    this.codec = options.encodes === true ? MessageCodec.create() : undefined
  }

  /**
   * Creates a peer; one of the same name ends, as in a restart.
   * @param instance - Name of the instance.
   */
  createPeer (instance: string): MemoryPeer {
    this.peers.get(instance)?.close()
    const clock = PausableClock.create(this.options.clock)
    const peer = MemoryPeer.create({ instance, clock, sendRequest: (from, to, message, settle) => this.sendRequest(from, to, message, settle) })
    this.peers.set(instance, peer)
    return peer
  }

  /**
   * Changes what happens to messages from now on.
   * @param faults - The faults to change.
   */
  setFaults (faults: Partial<MemoryFaults>): void {
    this.faults = { ...this.faults, ...faults }
  }

  /**
   * Drops every message between two groups, also those on their way.
   * @param groupA - Names of instances.
   * @param groupB - Names of instances.
   */
  partition (groupA: readonly string[], groupB: readonly string[]): void {
    for (const a of groupA) {
      for (const b of groupB) this.blocked.add(formatLink(a, b)).add(formatLink(b, a))
    }
  }

  /**
   * Pauses a process: its timers and the messages to it wait.
   * @param instance - Name of the instance.
   */
  pause (instance: string): void {
    this.peers.get(instance)?.pausableClock.pause()
  }

  /**
   * Ends the pause of a process: its timers run, then the messages arrive.
   * @param instance - Name of the instance.
   */
  resume (instance: string): void {
    this.peers.get(instance)?.pausableClock.resume()
  }

  /** Ends partitions, pauses and message faults. */
  heal (): void {
    this.blocked = new Set()
    this.faults = { ...DEFAULT_MEMORY_FAULTS, latencyMs: this.faults.latencyMs }
    for (const peer of this.peers.values()) peer.pausableClock.resume()
  }

  private sendRequest (from: MemoryPeer, to: string, message: AnyPeerMessage, settle: (outcome: PeerOutcome) => void): void {
    const envelope = this.encode(from, { kind: 'request', id: 0, message })
    this.sendMessage(from.instance, to, () => {
      const receiver = this.peers.get(to)
      if (receiver === undefined || receiver.isClosed()) {
        this.sendMessage(to, from.instance, () => from.pausableClock.runOrHold(() => settle(Result.err('unreachable'))))
        return
      }
      receiver.pausableClock.runOrHold(() => { this.deliverRequest(from, receiver, envelope, settle) })
    })
  }

  private async deliverRequest (from: MemoryPeer, receiver: MemoryPeer, envelope: Envelope | Uint8Array, settle: (outcome: PeerOutcome) => void): Promise<void> {
    if (receiver.isClosed()) return
    const answer = await receiver.answerRequest(this.decode(receiver, envelope), from.instance)
    if (answer === undefined || receiver.isClosed()) return
    const encoded = this.encode(receiver, { kind: 'answer', id: 0, message: answer })
    this.sendMessage(receiver.instance, from.instance, () => {
      from.pausableClock.runOrHold(() => {
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
    const lateMs = delayRate > 0 && random.nextFloat() < delayRate ? delayMs : 0
    const variedMs = jitterMs > 0 ? random.nextFloat() * jitterMs : 0
    clock.startTimer(latencyMs + variedMs + lateMs, () => {
      if (!this.blocked.has(formatLink(from, to))) deliver()
    })
  }

  private encode (sender: MemoryPeer, envelope: Envelope): Envelope | Uint8Array {
    sender.counters.framesOut++
    if (this.codec === undefined) return envelope
    const bytes = this.codec.encodeEnvelope(envelope)
    sender.counters.bytesOut += bytes.length + FRAME_HEADER_BYTES
    return bytes
  }

  private decode (receiver: MemoryPeer, sent: Envelope | Uint8Array): AnyPeerMessage {
    receiver.counters.framesIn++
    if (!(sent instanceof Uint8Array)) return sent.message
    receiver.counters.bytesIn += sent.length + FRAME_HEADER_BYTES
    const decoded = this.codec?.decodeEnvelope(sent)
    if (decoded?.isOk !== true) throw new Error('a message that was encoded here cannot be decoded')
    return decoded.value.message
  }
}

function formatLink (from: string, to: string): string {
  return `${from}\u0000${to}`
}
