import { type BufferAccount, type BufferBudget, type Clock } from '@fescuespoke/common'
import { type Socket } from 'node:net'
import { HEARTBEAT_FRAME, encodeFrame } from '../framing/encodeFrame.js'
import { FrameDecoder } from '../framing/FrameDecoder.js'
import { type Envelope, type MessageCodec } from '../framing/MessageCodec.js'
import { type CounterSet, type PeerFault } from './PeerCounters.js'
import { type PeerLimits } from './PeerLimits.js'

/** Maximum length of a frame in bytes until the other side is authenticated. */
const MAX_HANDSHAKE_FRAME_BYTES = 4096

/** Options of a connection. @internal */
export interface PeerConnectionOptions {
  readonly socket: Socket
  readonly clock: Clock
  readonly codec: MessageCodec
  readonly counters: CounterSet
  readonly limits: PeerLimits
  /** Bounds the bytes that the process buffers. */
  readonly bufferBudget: BufferBudget
  /** Whether to answer heartbeats of the other side instead of sending heartbeats at an interval. */
  readonly shouldEchoHeartbeats: boolean
}

/** TCP connection with another instance. Reads and writes frames, sends heartbeats and enforces limits. @internal */
export class PeerConnection {
  /**
   * Creates a connection on an open socket.
   * @param options - Options of the connection.
   */
  static create (options: PeerConnectionOptions): PeerConnection {
    return new PeerConnection(options)
  }

  private readonly decoder = FrameDecoder.create({ maxFrameBytes: MAX_HANDSHAKE_FRAME_BYTES })
  private readonly closeController = new AbortController()
  /** Account of the frame that is arriving and of what is queued for sending. */
  private readonly bufferAccount: BufferAccount
  private readonly envelopes: AsyncGenerator<Envelope>
  private lastReceivedAtMs: number
  private lastSentAtMs: number
  private frameStartedAtMs: number | undefined
  private fault: PeerFault | undefined

  /** @internal */
  private constructor (private readonly options: PeerConnectionOptions) {
    const { socket, clock, bufferBudget } = options
    this.lastReceivedAtMs = clock.nowMs()
    this.lastSentAtMs = clock.nowMs()
    this.bufferAccount = bufferBudget.openAccount({ kind: 'peerMessage', peer: formatRemoteAddress(socket), end: () => this.close('bufferBudget') })
    socket.setNoDelay(true)
    socket.on('error', () => this.close())
    socket.on('close', () => this.close())
    this.envelopes = this.readFrames()
  }

  /** Returns a signal that is aborted when the connection closes. */
  getSignal (): AbortSignal {
    return this.closeController.signal
  }

  /** Returns whether the connection is closed. */
  isClosed (): boolean {
    return this.closeController.signal.aborted
  }

  /** Returns the fault that closed the connection, or undefined if it is open or was closed without a fault. */
  getFault (): PeerFault | undefined {
    return this.fault
  }

  /** Returns the number of bytes queued for sending. */
  getQueuedBytes (): number {
    return this.options.socket.writableLength
  }

  /** Returns the time since the last bytes of a frame that is arriving, in milliseconds; undefined when none is. */
  getFrameSilenceMs (): number | undefined {
    return this.frameStartedAtMs === undefined ? undefined : this.options.clock.nowMs() - this.lastReceivedAtMs
  }

  /** Reads the next message. Returns undefined when the connection is closed. */
  async readEnvelope (): Promise<Envelope | undefined> {
    const next = await this.envelopes.next()
    return next.done === true ? undefined : next.value
  }

  /** Raises the maximum frame length to the configured limit, after the other side has been authenticated. */
  allowFullSizeFrames (): void {
    this.decoder.setMaxFrameBytes(this.options.limits.maxFrameBytes)
  }

  /**
   * Sends a message. A message that exceeds the maximum frame length is counted as a fault and not sent.
   * @param envelope - Message to send.
   */
  sendEnvelope (envelope: Envelope): void {
    const content = this.options.codec.encodeEnvelope(envelope)
    if (content.length > this.options.limits.maxFrameBytes) this.options.counters.recordFault('oversize')
    else this.sendFrame(encodeFrame(content))
  }

  /**
   * Sends an encoded frame. Closes the connection if the queued bytes would exceed the limit.
   * @param frame - Header and content of the frame.
   */
  sendFrame (frame: Buffer): void {
    if (this.isClosed()) return
    if (this.getQueuedBytes() + frame.length > this.options.limits.maxQueuedBytes) {
      this.close('overflow')
      return
    }
    this.options.counters.framesOut++
    this.options.counters.bytesOut += frame.length
    this.lastSentAtMs = this.options.clock.nowMs()
    this.options.socket.write(frame, () => this.updateBufferedBytes())
    this.updateBufferedBytes()
  }

  /**
   * Closes the connection.
   * @param fault - Fault to count as the cause; none is counted if absent.
   */
  close (fault?: PeerFault): void {
    if (this.isClosed()) return
    this.fault = fault
    if (fault !== undefined) this.options.counters.recordFault(fault)
    this.bufferAccount.close()
    this.closeController.abort()
    this.options.socket.destroy()
  }

  /** Runs until the connection closes: sends heartbeats and closes the connection if the other side is silent. */
  async runHeartbeats (): Promise<void> {
    const { clock, limits, shouldEchoHeartbeats } = this.options
    while (!this.isClosed()) {
      const startedAtMs = clock.nowMs()
      await clock.sleep(limits.heartbeatIntervalMs, this.getSignal())
      const wasPaused = clock.nowMs() - startedAtMs > limits.heartbeatIntervalMs + limits.silenceTimeoutMs / 2
      if (wasPaused) this.lastReceivedAtMs = clock.nowMs()
      this.checkLiveness()
      const isSenderIdle = clock.nowMs() - this.lastSentAtMs >= limits.heartbeatIntervalMs / 2
      if (isSenderIdle && !shouldEchoHeartbeats) this.sendFrame(HEARTBEAT_FRAME)
    }
  }

  private checkLiveness (): void {
    const { clock, limits } = this.options
    const nowMs = clock.nowMs()
    if (nowMs - this.lastReceivedAtMs > limits.silenceTimeoutMs) this.close('silent')
    if (this.frameStartedAtMs !== undefined && nowMs - this.frameStartedAtMs > limits.frameTimeoutMs) this.close('slowFrame')
  }

  private async * readFrames (): AsyncGenerator<Envelope> {
    try {
      for await (const chunk of this.options.socket as AsyncIterable<Buffer>) {
        this.lastReceivedAtMs = this.options.clock.nowMs()
        this.options.counters.bytesIn += chunk.length
        yield * this.decodeChunk(chunk)
      }
    } catch {
      // A reset connection is handled like a closed one.
    }
    this.close()
  }

  private * decodeChunk (chunk: Buffer): Generator<Envelope> {
    const frames = this.decoder.decodeBytes(chunk)
    this.updateBufferedBytes()
    if (frames.isErr) {
      this.close(frames.error)
      return
    }
    for (const frame of frames.value) {
      if (this.isClosed()) return
      const envelope = this.decodeFrame(frame)
      if (envelope !== undefined) yield envelope
    }
    this.trackPartialFrame(frames.value.length > 0)
  }

  private decodeFrame (frame: Buffer): Envelope | undefined {
    this.options.counters.framesIn++
    if (frame.length === 0) {
      if (this.options.shouldEchoHeartbeats) this.sendFrame(HEARTBEAT_FRAME)
      return undefined
    }
    const envelope = this.options.codec.decodeEnvelope(frame)
    if (envelope.isOk) return envelope.value
    this.close(envelope.error)
    return undefined
  }

  private updateBufferedBytes (): void {
    this.bufferAccount.setBytes(this.decoder.getAllocatedBytes() + this.getQueuedBytes())
  }

  private trackPartialFrame (hasCompletedFrame: boolean): void {
    if (!this.decoder.hasPartialFrame()) this.frameStartedAtMs = undefined
    else if (hasCompletedFrame || this.frameStartedAtMs === undefined) this.frameStartedAtMs = this.options.clock.nowMs()
  }
}

/** Returns the other side of a connection; absent while it is being opened. */
function formatRemoteAddress ({ remoteAddress, remotePort }: Socket): string | undefined {
  return remoteAddress === undefined ? undefined : `${remoteAddress}:${remotePort}`
}
