import {
  type AnyPeerMessage, type Clock, type Logger, type PeerError, type PeerHandler, type PeerMessageOf, type PeerMessageType,
  type PeerTransport, type Random
} from '@fescuespoke/common'
import { type Hello } from '@fescuespoke/schema'
import { createServer, connect, type AddressInfo, type Server, type Socket } from 'node:net'
import { Maybe, Result } from 'true-myth'
import { type Envelope, MessageCodec } from '../framing/MessageCodec.js'
import { type HandshakeFault, type PeerIdentity, runAcceptorHandshake, runDialerHandshake } from '../handshake/runHandshake.js'
import { type OpenedConnection, OutgoingPeer } from './OutgoingPeer.js'
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
   * Finds where a peer listens.
   * @param instance - Name of the peer.
   */
  readonly findPeerAddress: (instance: string) => Maybe<string>
  /** Address to listen on. */
  readonly host?: string
  /** Port to listen on; 0 lets the system choose. */
  readonly port?: number
  readonly logger?: Logger
  /** Bounds that differ from `DEFAULT_PEER_LIMITS`. */
  readonly limits?: Partial<PeerLimits>
}

/** Sends messages between instances over TCP: frames of CBOR behind an authenticated handshake. */
export class PeerNetwork implements PeerTransport {
  /**
   * Creates a network that does not listen yet.
   * @param options - Options of the network.
   */
  static create (options: PeerNetworkOptions): PeerNetwork {
    return new PeerNetwork(options)
  }

  private readonly limits: PeerLimits
  private readonly codec = MessageCodec.create()
  private readonly counters = new CounterSet()
  private readonly handlers = new Map<string, PeerHandler<PeerMessageType>>()
  private readonly outgoing = new Map<string, OutgoingPeer>()
  private readonly incoming = new Map<string, OpenedConnection>()
  private readonly connections = new Set<PeerConnection>()
  private readonly refusals: RefusalLog
  private server: Server | undefined
  private closed = false

  /** @internal */
  private constructor (private readonly options: PeerNetworkOptions) {
    this.limits = { ...DEFAULT_PEER_LIMITS, ...options.limits }
    this.refusals = RefusalLog.create(options.logger)
  }

  /** Starts to listen and returns the address, host and port. */
  async listen (): Promise<Result<string, string>> {
    const server = createServer(socket => { this.runIncoming(socket) })
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

  /** Closes every connection; requests that wait fail as closed. */
  async close (): Promise<void> {
    this.closed = true
    for (const peer of this.outgoing.values()) peer.stop()
    for (const connection of this.connections) connection.close()
    const { server } = this
    if (server === undefined) return
    await new Promise<void>(resolve => server.close(() => resolve()))
  }

  /** Gets the counts of traffic and faults. */
  getCounters (): PeerCounters {
    return this.counters.getCounters()
  }

  /** Lists the peers with an open or opening outgoing connection, sorted. */
  listConnected (): string[] {
    return [...this.outgoing.keys()].sort()
  }

  /**
   * Sends a request and waits for its answer.
   * @param instance - Name of the peer.
   * @param message - The request.
   * @param timeoutMs - Longest wait in milliseconds.
   */
  async request<T extends PeerMessageType>(instance: string, message: AnyPeerMessage, timeoutMs: number): Promise<Result<PeerMessageOf<T>, PeerError>> {
    if (this.closed) return Result.err('closed')
    const outcome = await this.getOutgoing(instance).request(message, timeoutMs)
    return outcome as Result<PeerMessageOf<T>, PeerError>
  }

  /**
   * Sets the handler for requests of one type.
   * @param type - Type name of the message.
   * @param handler - Answers the request.
   */
  setHandler<T extends PeerMessageType>(type: T, handler: PeerHandler<T>): void {
    this.handlers.set(type, handler as unknown as PeerHandler<PeerMessageType>)
  }

  private getOutgoing (instance: string): OutgoingPeer {
    const known = this.outgoing.get(instance)
    if (known !== undefined) return known
    const { clock, random } = this.options
    const peer = OutgoingPeer.create({
      clock,
      random,
      codec: this.codec,
      counters: this.counters,
      limits: this.limits,
      openConnection: async signal => await this.openConnection(instance, signal)
    })
    this.outgoing.set(instance, peer)
    peer.run().finally(() => { this.removeOutgoing(instance, peer) })
    return peer
  }

  private removeOutgoing (instance: string, peer: OutgoingPeer): void {
    peer.stop()
    if (this.outgoing.get(instance) === peer) this.outgoing.delete(instance)
  }

  private async openConnection (instance: string, signal: AbortSignal): Promise<Result<OpenedConnection, 'unreachable'>> {
    const address = this.options.findPeerAddress(instance).andThen(parsePeerAddress)
    if (address.isNothing || signal.aborted) return Result.err('unreachable')
    const connection = this.createConnection(connect(address.value), false)
    const { random } = this.options
    const hello = await this.runWithDeadline(connection, async () =>
      await runDialerHandshake({ connection, identity: this.options, random, expectedInstance: instance }))
    if (hello.isErr) return this.refuseConnection(connection, hello.error, instance)
    this.refusals.recordAcceptance(instance)
    return Result.ok(this.acceptConnection(connection, hello.value))
  }

  private async runIncoming (socket: Socket): Promise<void> {
    const remote = socket.remoteAddress ?? 'unknown'
    const connection = this.createConnection(socket, true)
    const { random } = this.options
    const hello = await this.runWithDeadline(connection, async () =>
      await runAcceptorHandshake({ connection, identity: this.options, random }))
    if (hello.isErr) {
      this.refuseConnection(connection, hello.error, remote)
      return
    }
    this.refusals.recordAcceptance(remote)
    const opened = this.acceptConnection(connection, hello.value)
    this.replaceIncoming(opened)
    await this.runRequests(opened)
    connection.close()
    if (this.incoming.get(hello.value.instance) === opened) this.incoming.delete(hello.value.instance)
  }

  private createConnection (socket: Socket, echoesHeartbeats: boolean): PeerConnection {
    const { clock } = this.options
    const connection = PeerConnection.create({ socket, clock, codec: this.codec, counters: this.counters, limits: this.limits, echoesHeartbeats })
    this.connections.add(connection)
    connection.getSignal().addEventListener('abort', () => this.connections.delete(connection))
    if (this.closed) connection.close()
    return connection
  }

  private async runWithDeadline (connection: PeerConnection, run: () => Promise<Result<Hello, HandshakeFault>>): Promise<Result<Hello, HandshakeFault>> {
    const cancel = this.options.clock.startTimer(this.limits.handshakeTimeoutMs, () => connection.close('handshakeTimeout'))
    const hello = await run()
    cancel()
    return hello
  }

  private refuseConnection (connection: PeerConnection, fault: HandshakeFault, peer: string): Result<never, 'unreachable'> {
    const endedWithoutFault = connection.isClosed() && connection.getFault() === undefined
    if (endedWithoutFault && !this.closed) this.counters.recordFault(fault)
    connection.close(fault)
    if (fault !== 'connectFailed') this.refusals.recordRefusal(peer, fault)
    return Result.err('unreachable')
  }

  private acceptConnection (connection: PeerConnection, hello: Hello): OpenedConnection {
    connection.acceptLongFrames()
    this.counters.connections++
    connection.runHeartbeats()
    return { connection, hello }
  }

  private replaceIncoming (opened: OpenedConnection): void {
    const { instance, incarnation } = opened.hello
    this.incoming.get(instance)?.connection.close()
    this.incoming.set(instance, opened)
    this.outgoing.get(instance)?.observeIncarnation(incarnation)
  }

  private async runRequests ({ connection, hello }: OpenedConnection): Promise<void> {
    const running = new Set<Promise<void>>()
    for (let envelope = await connection.readEnvelope(); envelope !== undefined; envelope = await connection.readEnvelope()) {
      const answered = this.answerRequest(connection, hello.instance, envelope)
      running.add(answered)
      answered.finally(() => running.delete(answered))
      if (running.size >= this.limits.maxConcurrentRequests) await Promise.race(running)
    }
  }

  private async answerRequest (connection: PeerConnection, from: string, { kind, id, message }: Envelope): Promise<void> {
    const handler = this.handlers.get(message.type)
    if (kind !== 'request' || handler === undefined) return
    const answer = await handler(message, from)
    if (answer !== undefined) connection.sendEnvelope({ kind: 'answer', id, message: answer })
  }
}
