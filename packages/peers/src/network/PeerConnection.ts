import { type Clock } from '@fescuespoke/common'
import { type Socket } from 'node:net'
import { HEARTBEAT_FRAME, encodeFrame } from '../framing/encodeFrame.js'
import { FrameDecoder } from '../framing/FrameDecoder.js'
import { type Envelope, type MessageCodec } from '../framing/MessageCodec.js'
import { type CounterSet, type PeerFault } from './PeerCounters.js'
import { type PeerLimits } from './PeerLimits.js'

/** Longest frame before the other side has proved who it is, in bytes. */
const MAX_HANDSHAKE_FRAME_BYTES = 4096

/** Options of a connection. @internal */
export interface PeerConnectionOptions {
  readonly socket: Socket
  readonly clock: Clock
  readonly codec: MessageCodec
  readonly counters: CounterSet
  readonly limits: PeerLimits
  /** Whether heartbeats of the other side are sent back. */
  readonly echoesHeartbeats: boolean
}

/** One TCP connection with another instance: frames in and out, heartbeats, bounds. @internal */
export class PeerConnection {
  /**
   * Creates a connection on an open socket.
   * @param options - Options of the connection.
   */
  static create (options: PeerConnectionOptions): PeerConnection {
    return new PeerConnection(options)
  }

  private readonly decoder = FrameDecoder.create({ maxFrameBytes: MAX_HANDSHAKE_FRAME_BYTES })
  private readonly ended = new AbortController()
  private readonly envelopes: AsyncGenerator<Envelope>
  private lastReceivedMs: number
  private lastSentMs: number
  private frameStartedMs: number | undefined
  private fault: PeerFault | undefined

  /** @internal */
  private constructor (private readonly options: PeerConnectionOptions) {
    const { socket, clock } = options
    this.lastReceivedMs = clock.nowMs()
    this.lastSentMs = clock.nowMs()
    socket.setNoDelay(true)
    socket.on('error', () => this.close())
    socket.on('close', () => this.close())
    this.envelopes = this.readFrames()
  }

  /** Gets a signal that is aborted when the connection ends. */
  getSignal (): AbortSignal {
    return this.ended.signal
  }

  /** Tells whether the connection has ended. */
  isClosed (): boolean {
    return this.ended.signal.aborted
  }

  /** Gets what was counted as the cause of its end. */
  getFault (): PeerFault | undefined {
    return this.fault
  }

  /** Gets the number of bytes that wait to be sent. */
  getQueuedBytes (): number {
    return this.options.socket.writableLength
  }

  /** Reads the next message; undefined when the connection has ended. */
  async readEnvelope (): Promise<Envelope | undefined> {
    const next = await this.envelopes.next()
    return next.done === true ? undefined : next.value
  }

  /** Accepts frames of full length from now on; the other side has proved who it is. */
  acceptLongFrames (): void {
    this.decoder.setMaxFrameBytes(this.options.limits.maxFrameBytes)
  }

  /**
   * Sends a message; one that the other side would refuse as too long is counted and not sent.
   * @param envelope - The message.
   */
  sendEnvelope (envelope: Envelope): void {
    const content = this.options.codec.encodeEnvelope(envelope)
    if (content.length > this.options.limits.maxFrameBytes) this.options.counters.recordFault('oversize')
    else this.sendFrame(encodeFrame(content))
  }

  /**
   * Sends an encoded frame; closes the connection when more bytes wait than allowed.
   * @param frame - Header and content.
   */
  sendFrame (frame: Buffer): void {
    if (this.isClosed()) return
    if (this.getQueuedBytes() + frame.length > this.options.limits.maxQueuedBytes) {
      this.close('overflow')
      return
    }
    this.options.counters.framesOut++
    this.options.counters.bytesOut += frame.length
    this.lastSentMs = this.options.clock.nowMs()
    this.options.socket.write(frame)
  }

  /**
   * Closes the connection.
   * @param fault - What is counted as its cause.
   */
  close (fault?: PeerFault): void {
    if (this.isClosed()) return
    this.fault = fault
    if (fault !== undefined) this.options.counters.recordFault(fault)
    this.ended.abort()
    this.options.socket.destroy()
  }

  /** Runs until the connection ends: sends heartbeats and closes the connection when the other side is silent. */
  async runHeartbeats (): Promise<void> {
    const { clock, limits, echoesHeartbeats } = this.options
    while (!this.isClosed()) {
      const startedMs = clock.nowMs()
      await clock.sleep(limits.heartbeatMs, this.getSignal())
      const wasPaused = clock.nowMs() - startedMs > limits.heartbeatMs + limits.silenceMs / 2
      if (wasPaused) this.lastReceivedMs = clock.nowMs()
      this.checkLiveness()
      const isQuiet = clock.nowMs() - this.lastSentMs >= limits.heartbeatMs / 2
      if (isQuiet && !echoesHeartbeats) this.sendFrame(HEARTBEAT_FRAME)
    }
  }

  private checkLiveness (): void {
    const { clock, limits } = this.options
    const nowMs = clock.nowMs()
    if (nowMs - this.lastReceivedMs > limits.silenceMs) this.close('silent')
    if (this.frameStartedMs !== undefined && nowMs - this.frameStartedMs > limits.frameTimeoutMs) this.close('slowFrame')
  }

  private async * readFrames (): AsyncGenerator<Envelope> {
    try {
      for await (const chunk of this.options.socket as AsyncIterable<Buffer>) {
        this.lastReceivedMs = this.options.clock.nowMs()
        this.options.counters.bytesIn += chunk.length
        yield * this.decodeChunk(chunk)
      }
    } catch {
      // A reset connection ends like a closed one.
    }
    this.close()
  }

  private * decodeChunk (chunk: Buffer): Generator<Envelope> {
    const frames = this.decoder.decodeBytes(chunk)
    if (frames.isErr) {
      this.close(frames.error)
      return
    }
    for (const frame of frames.value) {
      if (this.isClosed()) return
      const envelope = this.decodeFrame(frame)
      if (envelope !== undefined) yield envelope
    }
    this.observePartialFrame(frames.value.length > 0)
  }

  private decodeFrame (frame: Buffer): Envelope | undefined {
    this.options.counters.framesIn++
    if (frame.length === 0) {
      if (this.options.echoesHeartbeats) this.sendFrame(HEARTBEAT_FRAME)
      return undefined
    }
    const envelope = this.options.codec.decodeEnvelope(frame)
    if (envelope.isOk) return envelope.value
    this.close(envelope.error)
    return undefined
  }

  private observePartialFrame (frameEnded: boolean): void {
    if (!this.decoder.hasPartialFrame()) this.frameStartedMs = undefined
    else if (frameEnded || this.frameStartedMs === undefined) this.frameStartedMs = this.options.clock.nowMs()
  }
}
