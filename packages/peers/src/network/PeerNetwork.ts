import {
  type AnyPeerMessage, BufferBudget, type Clock, type Logger, type PeerError, type PeerHandler, type PeerMessageOf, type PeerMessageType,
  type PeerTransport, type Random
} from '@fescuespoke/common'
import { type Hello } from '@fescuespoke/schema'
import { createServer, connect, type AddressInfo, type Server, type Socket } from 'node:net'
import { Maybe, Result } from 'true-myth'
import { type Envelope, MessageCodec } from '../framing/MessageCodec.js'
import { type HandshakeFault, type PeerIdentity, runAcceptorHandshake, runDialerHandshake } from '../handshake/runHandshake.js'
import { type EstablishedConnection, OutgoingPeer } from './OutgoingPeer.js'
import { parsePeerAddress } from './parsePeerAddress.js'
import { PeerConnection } from './PeerConnection.js'
import { CounterSet, type PeerCounters } from './PeerCounters.js'
import { DEFAULT_PEER_LIMITS, type PeerLimits } from './PeerLimits.js'
import { RefusalLog } from './RefusalLog.js'

/** Options of a peer network. */
export interface PeerNetworkOptions extends PeerIdentity {
  readonly clock: Clock
  readonly random: Random
  /**
   * Returns the address on which a peer listens, as `host:port`.
   * @param instance - Name of the peer.
   */
  readonly findPeerAddress: (instance: string) => Maybe<string>
  /** Address to listen on. */
  readonly host?: string
  /** Port to listen on. With 0, the operating system assigns a port. */
  readonly port?: number
  readonly logger?: Logger
  /** Overrides of `DEFAULT_PEER_LIMITS`. */
  readonly limits?: Partial<PeerLimits>
  /** Bounds the bytes that the process buffers; by default those of this network alone. */
  readonly bufferBudget?: BufferBudget
}

/** Sends messages between instances over TCP, as CBOR frames after an authenticated handshake. */
export class PeerNetwork implements PeerTransport {
  /**
   * Creates a network. Call `listen` to accept connections.
   * @param options - Options of the network.
   */
  static create (options: PeerNetworkOptions): PeerNetwork {
    return new PeerNetwork(options)
  }

  private readonly limits: PeerLimits
  private readonly bufferBudget: BufferBudget
  private readonly codec = MessageCodec.create()
  private readonly counters = new CounterSet()
  private readonly handlers = new Map<string, PeerHandler<PeerMessageType>>()
  private readonly outgoingPeers = new Map<string, OutgoingPeer>()
  private readonly incomingConnections = new Map<string, EstablishedConnection>()
  private readonly connections = new Set<PeerConnection>()
  private readonly refusalLog: RefusalLog
  private server: Server | undefined
  private isClosed = false

  /** @internal */
  private constructor (private readonly options: PeerNetworkOptions) {
    this.limits = { ...DEFAULT_PEER_LIMITS, ...options.limits }
    this.bufferBudget = options.bufferBudget ?? BufferBudget.create()
    this.refusalLog = RefusalLog.create(options.logger)
  }

  /** Starts to listen. Returns the address as `host:port`, or the error message if listening failed. */
  async listen (): Promise<Result<string, string>> {
    const server = createServer(socket => { this.handleIncomingSocket(socket) })
    server.maxConnections = this.limits.maxConnections
    this.server = server
    return await new Promise(resolve => {
      server.once('error', error => resolve(Result.err(error.message)))
      server.listen(this.options.port ?? 0, this.options.host ?? '127.0.0.1', () => {
        const { address, port } = server.address() as AddressInfo
        resolve(Result.ok(`${address}:${port}`))
      })
    })
  }

  /** Closes all connections and stops listening. Pending requests fail with `closed`. */
  async close (): Promise<void> {
    this.isClosed = true
    for (const peer of this.outgoingPeers.values()) peer.stop()
    for (const connection of this.connections) connection.close()
    const { server } = this
    if (server === undefined) return
    await new Promise<void>(resolve => server.close(() => resolve()))
  }

  /** Returns the traffic and fault counters. */
  getCounters (): PeerCounters {
    return this.counters.getCounters()
  }

  /** Returns the names of the peers that have an outgoing connection or are being connected, sorted. */
  listOutgoingPeers (): string[] {
    return [...this.outgoingPeers.keys()].sort()
  }

  /**
   * Sends a request and waits for its answer.
   * @param instance - Name of the peer.
   * @param message - Request to send.
   * @param timeoutMs - Maximum time to wait in milliseconds.
   */
  async request<T extends PeerMessageType>(instance: string, message: AnyPeerMessage, timeoutMs: number): Promise<Result<PeerMessageOf<T>, PeerError>> {
    if (this.isClosed) return Result.err('closed')
    const outcome = await this.getOrCreateOutgoingPeer(instance).request(message, timeoutMs)
    return outcome as Result<PeerMessageOf<T>, PeerError>
  }

  /**
   * Sets the handler for requests of one type.
   * @param type - Type name of the request.
   * @param handler - Returns the answer to a request.
   */
  setHandler<T extends PeerMessageType>(type: T, handler: PeerHandler<T>): void {
    this.handlers.set(type, handler as unknown as PeerHandler<PeerMessageType>)
  }

  private getOrCreateOutgoingPeer (instance: string): OutgoingPeer {
    const existing = this.outgoingPeers.get(instance)
    if (existing !== undefined) return existing
    const { clock, random } = this.options
    const peer = OutgoingPeer.create({
      clock,
      random,
      codec: this.codec,
      counters: this.counters,
      limits: this.limits,
      openConnection: async signal => await this.openConnection(instance, signal)
    })
    this.outgoingPeers.set(instance, peer)
    peer.run().finally(() => { this.removeOutgoingPeer(instance, peer) })
    return peer
  }

  private removeOutgoingPeer (instance: string, peer: OutgoingPeer): void {
    peer.stop()
    if (this.outgoingPeers.get(instance) === peer) this.outgoingPeers.delete(instance)
  }

  private async openConnection (instance: string, signal: AbortSignal): Promise<Result<EstablishedConnection, 'unreachable'>> {
    const address = this.options.findPeerAddress(instance).andThen(parsePeerAddress)
    if (address.isNothing || signal.aborted) return Result.err('unreachable')
    const connection = this.createConnection(connect(address.value), false)
    const { random } = this.options
    const hello = await this.runWithHandshakeTimeout(connection, async () =>
      await runDialerHandshake({ connection, identity: this.options, random, expectedInstance: instance }))
    if (hello.isErr) return this.refuseConnection(connection, hello.error, instance)
    this.refusalLog.recordAcceptance(instance)
    return Result.ok(this.establishConnection(connection, hello.value))
  }

  private async handleIncomingSocket (socket: Socket): Promise<void> {
    const remoteAddress = socket.remoteAddress ?? 'unknown'
    const connection = this.createConnection(socket, true)
    const { random } = this.options
    const hello = await this.runWithHandshakeTimeout(connection, async () =>
      await runAcceptorHandshake({ connection, identity: this.options, random }))
    if (hello.isErr) {
      this.refuseConnection(connection, hello.error, remoteAddress)
      return
    }
    this.refusalLog.recordAcceptance(remoteAddress)
    const established = this.establishConnection(connection, hello.value)
    this.replaceIncomingConnection(established)
    await this.serveRequests(established)
    connection.close()
    if (this.incomingConnections.get(hello.value.instance) === established) this.incomingConnections.delete(hello.value.instance)
  }

  private createConnection (socket: Socket, shouldEchoHeartbeats: boolean): PeerConnection {
    const { clock } = this.options
    const connection = PeerConnection.create({ socket, clock, codec: this.codec, counters: this.counters, limits: this.limits, bufferBudget: this.bufferBudget, shouldEchoHeartbeats })
    this.connections.add(connection)
    connection.getSignal().addEventListener('abort', () => this.connections.delete(connection))
    if (this.isClosed) connection.close()
    return connection
  }

  private async runWithHandshakeTimeout (connection: PeerConnection, runHandshake: () => Promise<Result<Hello, HandshakeFault>>): Promise<Result<Hello, HandshakeFault>> {
    const cancelTimer = this.options.clock.startTimer(this.limits.handshakeTimeoutMs, () => connection.close('handshakeTimeout'))
    const hello = await runHandshake()
    cancelTimer()
    return hello
  }

  private refuseConnection (connection: PeerConnection, fault: HandshakeFault, peer: string): Result<never, 'unreachable'> {
    const wasClosedWithoutFault = connection.isClosed() && connection.getFault() === undefined
    if (wasClosedWithoutFault && !this.isClosed) this.counters.recordFault(fault)
    connection.close(fault)
    if (fault !== 'connectFailed') this.refusalLog.recordRefusal(peer, fault)
    return Result.err('unreachable')
  }

  private establishConnection (connection: PeerConnection, hello: Hello): EstablishedConnection {
    connection.allowFullSizeFrames()
    this.counters.connections++
    connection.runHeartbeats()
    return { connection, hello }
  }

  private replaceIncomingConnection (established: EstablishedConnection): void {
    const { instance, incarnation } = established.hello
    this.incomingConnections.get(instance)?.connection.close()
    this.incomingConnections.set(instance, established)
    this.outgoingPeers.get(instance)?.handleIncarnation(incarnation)
  }

  private async serveRequests ({ connection, hello }: EstablishedConnection): Promise<void> {
    const inFlight = new Set<Promise<void>>()
    for (let envelope = await connection.readEnvelope(); envelope !== undefined; envelope = await connection.readEnvelope()) {
      const handling = this.answerRequest(connection, hello.instance, envelope)
      inFlight.add(handling)
      handling.finally(() => inFlight.delete(handling))
      if (inFlight.size >= this.limits.maxConcurrentRequests) await Promise.race(inFlight)
    }
  }

  private async answerRequest (connection: PeerConnection, from: string, { kind, id, message }: Envelope): Promise<void> {
    const handler = this.handlers.get(message.type)
    if (kind !== 'request' || handler === undefined) return
    try {
      const answer = await handler(message, from)
      if (answer !== undefined) connection.sendEnvelope({ kind: 'answer', id, message: answer })
    } catch (error) {
      // A fault in one handler ends one request, whose sender waits for its timeout, and not the process.
      this.counters.recordFault('handlerFailed')
      this.options.logger?.error({ err: error, peer: from, type: message.type }, 'handler of a peer message failed')
    }
  }
}
