import { createServer, type IncomingHttpHeaders, type IncomingMessage, type Server, type ServerResponse } from 'node:http'
import { type AddressInfo, createServer as createListener, type Server as Listener, type Socket } from 'node:net'
import { type CancelTimer, type Clock } from '@fescuespoke/common'
import { ConnectionGate } from './ConnectionGate.js'

/** Received request with the means to respond to it. */
export interface Exchange {
  /** URL-decoded capture groups of the path pattern. */
  readonly parameters: readonly string[]
  readonly query: URLSearchParams
  readonly headers: IncomingHttpHeaders
  readonly body: string
  readonly response: ServerResponse
  /** Gate of the connection that carries the response. */
  readonly gate: ConnectionGate
  /** Aborted when the response is finished or its connection is closed. */
  readonly signal: AbortSignal
  /**
   * Responds with JSON as soon as the connection is not stalled.
   * @param status - HTTP status code.
   * @param body - Value of the JSON body; the body is empty if absent.
   */
  respond(status: number, body?: unknown): void
}

/** Handler of the requests with one method and path pattern. */
export interface Route {
  readonly method: string
  /** Pattern that the path must match. */
  readonly path: RegExp
  /**
   * Handles a request.
   * @param exchange - The request.
   */
  handle(exchange: Exchange): void | Promise<void>
}

/** Options of a fault-injecting HTTP server. */
export interface FaultInjectingHttpServerOptions {
  readonly clock: Clock
  readonly routes: readonly Route[]
}

const HOST = '127.0.0.1'

/**
 * HTTP server on a port chosen by the operating system that can close, stall or freeze its connections. A separate
 * socket server listens and passes its connections to the HTTP server, since closing a listening HTTP server would also
 * close idle connections.
 */
export class FaultInjectingHttpServer {
  /**
   * Creates a listening server.
   * @param options - Options of the server.
   */
  static async create (options: FaultInjectingHttpServerOptions): Promise<FaultInjectingHttpServer> {
    const server = new FaultInjectingHttpServer(options)
    await server.listen(0)
    return server
  }

  private readonly gates = new Map<Socket, ConnectionGate>()
  private readonly stallTimers = new Set<CancelTimer>()
  private readonly server: Server
  private listener: Listener | undefined
  private port = 0
  private acceptedConnectionCount = 0

  /** @internal */
  private constructor (private readonly options: FaultInjectingHttpServerOptions) {
    this.server = createServer((request, response) => this.handleRequest(request, response))
    this.server.keepAliveTimeout = 0
  }

  /** Base URL. */
  get url (): string {
    return `http://${HOST}:${this.port}`
  }

  /** Returns the number of connections accepted so far. */
  getAcceptedConnectionCount (): number {
    return this.acceptedConnectionCount
  }

  /** Permanently stops responding on the current connections; new connections work. */
  freezeConnections (): void {
    for (const gate of this.gates.values()) gate.setState('frozen')
  }

  /**
   * Stops responding on the current connections for a limited time. Requests received during the stall are handled
   * after it, even if the client has given up waiting.
   * @param durationMs - Duration in milliseconds.
   */
  stall (durationMs: number): void {
    const stalledGates = [...this.gates.values()].filter(gate => gate.isOpen())
    for (const gate of stalledGates) gate.setState('stalled')
    const cancelTimer = this.options.clock.startTimer(durationMs, () => {
      this.stallTimers.delete(cancelTimer)
      stalledGates.forEach(gate => gate.setState('open'))
    })
    this.stallTimers.add(cancelTimer)
  }

  /** Refuses new connections; current connections stay open. */
  refuseConnections (): void {
    this.listener?.close()
    this.listener = undefined
  }

  /** Accepts new connections again on the same port. */
  async acceptConnections (): Promise<void> {
    if (this.listener === undefined) await this.listen(this.port)
  }

  /** Closes the port and destroys all connections. */
  kill (): void {
    this.refuseConnections()
    for (const socket of this.gates.keys()) socket.destroy()
    this.gates.clear()
    for (const cancelTimer of this.stallTimers) cancelTimer()
    this.stallTimers.clear()
  }

  /** Closes the port and all connections and waits until the port is closed. */
  async close (): Promise<void> {
    const listener = this.listener
    const closed = new Promise<void>(resolve => {
      if (listener === undefined) resolve()
      else listener.once('close', resolve)
    })
    this.kill()
    await closed
  }

  private async listen (port: number): Promise<void> {
    const listener = createListener({ noDelay: true }, socket => this.addConnection(socket))
    this.listener = listener
    await new Promise<void>((resolve, reject) => {
      listener.once('error', reject)
      listener.listen(port, HOST, resolve)
    })
    this.port = (listener.address() as AddressInfo).port
  }

  private addConnection (socket: Socket): void {
    this.acceptedConnectionCount++
    this.gates.set(socket, ConnectionGate.create())
    socket.on('error', () => socket.destroy())
    socket.on('close', () => this.gates.delete(socket))
    this.server.emit('connection', socket)
  }

  private async handleRequest (request: IncomingMessage, response: ServerResponse): Promise<void> {
    const gate = this.gates.get(request.socket)
    if (gate === undefined || gate.isFrozen()) return
    const body = await readBody(request)
    if (body === undefined) return
    gate.runWhenOpen(() => this.dispatch({ request, response, gate, body }))
  }

  private async dispatch (receivedRequest: ReceivedRequest): Promise<void> {
    const { request, response } = receivedRequest
    const url = new URL(request.url ?? '/', this.url)
    for (const route of this.options.routes) {
      const match = route.method === request.method ? route.path.exec(url.pathname) : null
      if (match === null) continue
      const parameters = match.slice(1).map(decodeURIComponent)
      await route.handle(createExchange({ ...receivedRequest, parameters, query: url.searchParams }))
      return
    }
    writeJson(response, 404, { error: 'notFound' })
  }
}

interface ReceivedRequest {
  readonly request: IncomingMessage
  readonly response: ServerResponse
  readonly gate: ConnectionGate
  readonly body: string
}

interface RoutedRequest extends ReceivedRequest {
  readonly parameters: readonly string[]
  readonly query: URLSearchParams
}

function createExchange (routedRequest: RoutedRequest): Exchange {
  const { request, response, gate, body, parameters, query } = routedRequest
  const controller = new AbortController()
  response.on('close', () => controller.abort())
  return {
    parameters,
    query,
    headers: request.headers,
    body,
    response,
    gate,
    signal: controller.signal,
    respond: (status, value) => gate.runWhenOpen(() => writeJson(response, status, value))
  }
}

/** Reads the whole body. Returns `undefined` if the connection is closed before the end of the body. */
async function readBody (request: IncomingMessage): Promise<string | undefined> {
  const chunks: Buffer[] = []
  try {
    for await (const chunk of request) chunks.push(chunk as Buffer)
  } catch {
    return undefined
  }
  return Buffer.concat(chunks).toString('utf8')
}

function writeJson (response: ServerResponse, status: number, value: unknown): void {
  if (response.destroyed) return
  const text = value === undefined ? '' : JSON.stringify(value)
  response.writeHead(status, { 'content-type': 'application/json', 'content-length': Buffer.byteLength(text) })
  response.end(text)
}
