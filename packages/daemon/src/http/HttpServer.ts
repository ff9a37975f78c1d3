import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http'
import { type AddressInfo } from 'node:net'
import { findRoute, type HttpRoute } from './HttpRoute.js'
import { sendError } from './sendResponse.js'

const DEFAULT_HEADERS_TIMEOUT_MS = 10_000
const DEFAULT_REQUEST_TIMEOUT_MS = 30_000

/** Number of checks for slow requests during the shorter of the two timeouts. */
const CHECKS_PER_TIMEOUT = 4

/** Maximum total size of the headers, in bytes. */
const MAX_HEADER_BYTES = 16_384

/** Base URL for parsing request paths. */
const BASE_URL = 'http://instance'

/** Options of an HTTP server. */
export interface HttpServerOptions {
  readonly host: string
  /** Port; 0 selects a free port. */
  readonly port: number
  readonly routes: readonly HttpRoute[]
  /** Maximum time to receive the headers of a request, in milliseconds. */
  readonly headersTimeoutMs?: number
  /** Maximum time to receive a whole request, in milliseconds. */
  readonly requestTimeoutMs?: number
  /** Called with errors that a route handler threw. */
  readonly onInternalError: (error: unknown) => void
}

/** HTTP server for a list of routes. */
export class HttpServer {
  /**
   * Creates a server that is not listening yet.
   * @param options - Options of the server.
   */
  static create (options: HttpServerOptions): HttpServer {
    return new HttpServer(options)
  }

  private readonly server: Server
  private exchanges = 0

  /** @internal */
  private constructor (private readonly options: HttpServerOptions) {
    const { headersTimeoutMs = DEFAULT_HEADERS_TIMEOUT_MS, requestTimeoutMs = DEFAULT_REQUEST_TIMEOUT_MS } = options
    this.server = createServer({
      headersTimeout: headersTimeoutMs,
      requestTimeout: requestTimeoutMs,
      connectionsCheckingInterval: Math.min(headersTimeoutMs, requestTimeoutMs) / CHECKS_PER_TIMEOUT,
      maxHeaderSize: MAX_HEADER_BYTES
    }, (incoming, outgoing) => { this.handleRequest(incoming, outgoing) })
  }

  /** Starts listening. */
  async start (): Promise<void> {
    await new Promise<void>((resolve, reject) => {
      this.server.once('error', reject)
      this.server.listen(this.options.port, this.options.host, resolve)
    })
  }

  /** Returns the base URL. The server must be listening. */
  getUrl (): string {
    const { address, port } = this.server.address() as AddressInfo
    return `http://${address}:${port}`
  }

  /** Stops listening and closes every connection. */
  async close (): Promise<void> {
    await new Promise<void>(resolve => {
      this.server.close(() => resolve())
      this.server.closeAllConnections()
    })
  }

  /** Returns the number of HTTP exchanges whose response is still open. */
  countExchanges (): number {
    return this.exchanges
  }

  private async handleRequest (incoming: IncomingMessage, outgoing: ServerResponse): Promise<void> {
    this.exchanges++
    outgoing.once('close', () => { this.exchanges-- })
    const url = parseUrl(incoming)
    if (url === undefined) {
      sendError(outgoing, 400, { error: 'invalidInput', message: `the path cannot be read: ${JSON.stringify(incoming.url?.slice(0, 80))}` })
      return
    }
    const match = findRoute(this.options.routes, incoming.method ?? '', url.pathname)
    if (match === undefined) {
      sendError(outgoing, 404, { error: 'notFound', message: `no such path: ${incoming.method ?? ''} ${url.pathname}` })
      return
    }
    try {
      await match.route.handle({ incoming, outgoing, pathParameters: match.pathParameters, query: url.searchParams })
    } catch (error) {
      if (!incoming.complete) {
        outgoing.destroy()
        return
      }
      this.options.onInternalError(error)
      if (outgoing.headersSent) outgoing.destroy()
      else sendError(outgoing, 500, { error: 'internal', message: 'the request could not be handled' })
    }
  }
}

function parseUrl (incoming: IncomingMessage): URL | undefined {
  const path = incoming.url ?? '/'
  return path.startsWith('/') && URL.canParse(path, BASE_URL) ? new URL(path, BASE_URL) : undefined
}
