import { type Clock } from '@fescuespoke/common'
import { CoreServer } from '../http/CoreServer.js'
import { type Exchange, FaultInjectingHttpServer } from '../http/FaultInjectingHttpServer.js'
import { type PlainServiceCore } from './PlainServiceCore.js'

/** Options of a plain service server. */
export interface PlainServiceServerOptions {
  readonly core: PlainServiceCore
  /** Clock for connection stalls. */
  readonly clock: Clock
}

/** Fate of the connection when a reply is dropped: it is `closed`, or stays open and `silent`. */
export type ReplyDropMode = 'closed' | 'silent'

/** Header that carries the request id. */
export const REQUEST_ID_HEADER = 'fescuespoke-request'

/** Serves a plain service over HTTP. */
export class PlainServiceServer extends CoreServer<PlainServiceCore> {
  /**
   * Creates a listening server.
   * @param options - Options of the server.
   */
  static async create (options: PlainServiceServerOptions): Promise<PlainServiceServer> {
    const { core, clock } = options
    const server: PlainServiceServer = new PlainServiceServer(core, await FaultInjectingHttpServer.create({
      clock,
      routes: [
        { method: 'POST', path: /^\/v1\/calls$/, handle: exchange => server.handleCall(exchange) },
        { method: 'GET', path: /^\/v1\/state$/, handle: exchange => exchange.respond(200, core.getState()) }
      ]
    }))
    return server
  }

  private remainingReplyDrops = 0
  private replyDropMode: ReplyDropMode = 'closed'

  /**
   * Drops the replies of the next calls; the calls are still executed.
   * @param count - Number of calls.
   * @param mode - Whether the connections are closed or stay silent.
   */
  dropReplies (count: number, mode: ReplyDropMode = 'closed'): void {
    this.remainingReplyDrops = count
    this.replyDropMode = mode
  }

  /** Permanently stops responding on the current connections; new connections work. */
  freezeConnections (): void {
    this.httpServer.freezeConnections()
  }

  /** Refuses new connections; current connections stay open. */
  refuseConnections (): void {
    this.httpServer.refuseConnections()
  }

  /** Accepts new connections again on the same port. */
  async acceptConnections (): Promise<void> {
    await this.httpServer.acceptConnections()
  }

  /** Closes the port and destroys all connections. */
  kill (): void {
    this.httpServer.kill()
  }

  private async handleCall (exchange: Exchange): Promise<void> {
    const shouldDropReply = this.remainingReplyDrops > 0
    if (shouldDropReply) this.remainingReplyDrops--
    const reply = await this.core.runCall(String(exchange.headers[REQUEST_ID_HEADER] ?? ''), parseJson(exchange.body))
    if (shouldDropReply) REPLY_DROP_HANDLERS[this.replyDropMode](exchange)
    else exchange.respond(200, reply)
  }
}

const REPLY_DROP_HANDLERS: Record<ReplyDropMode, (exchange: Exchange) => void> = {
  closed: exchange => { exchange.response.destroy() },
  silent: () => {}
}

function parseJson (text: string): unknown {
  try {
    return JSON.parse(text)
  } catch {
    return text
  }
}
