import { type Clock } from '@fescuespoke/common'
import { type Exchange, HttpHost } from '../http/HttpHost.js'
import { type PlainServiceCore } from './PlainServiceCore.js'

/** Options of a plain service's server. */
export interface PlainServiceServerOptions {
  readonly core: PlainServiceCore
  /** Times stalls of connections. */
  readonly clock: Clock
}

/** What the client of a lost reply sees: its connection closes, or stays silent. */
export type ReplyLoss = 'closed' | 'silent'

/** Header that carries the request id. */
export const REQUEST_HEADER = 'fescuespoke-request'

/** Serves a plain service over HTTP. */
export class PlainServiceServer {
  /**
   * Creates a server that is listening.
   * @param options - Options of the server.
   */
  static async create (options: PlainServiceServerOptions): Promise<PlainServiceServer> {
    const { core, clock } = options
    const server: PlainServiceServer = new PlainServiceServer(core, await HttpHost.create({
      clock,
      routes: [
        { method: 'POST', path: /^\/v1\/calls$/, handle: exchange => server.handleCall(exchange) },
        { method: 'GET', path: /^\/v1\/state$/, handle: exchange => exchange.answer(200, core.getState()) }
      ]
    }))
    return server
  }

  private repliesToLose = 0
  private replyLoss: ReplyLoss = 'closed'

  /** @internal */
  private constructor (readonly core: PlainServiceCore, readonly host: HttpHost) {}

  /** Base URL. */
  get url (): string {
    return this.host.url
  }

  /**
   * Runs the next calls but does not reply.
   * @param count - Number of calls.
   * @param loss - What their clients see.
   */
  loseReplies (count: number, loss: ReplyLoss = 'closed'): void {
    this.repliesToLose = count
    this.replyLoss = loss
  }

  /** Silences all present connections for good; later ones work. */
  freezeConnections (): void {
    this.host.freezeConnections()
  }

  /** Refuses new connections; present ones go on. */
  refuseConnects (): void {
    this.host.refuseConnects()
  }

  /** Accepts connections again. */
  async acceptConnects (): Promise<void> {
    await this.host.acceptConnects()
  }

  /** Closes the port and destroys all connections. */
  kill (): void {
    this.host.kill()
  }

  /** Closes the port and all connections. */
  async close (): Promise<void> {
    await this.host.close()
  }

  private async handleCall (exchange: Exchange): Promise<void> {
    const isLost = this.repliesToLose > 0
    if (isLost) this.repliesToLose--
    const reply = await this.core.runCall(String(exchange.headers[REQUEST_HEADER] ?? ''), parseJson(exchange.body))
    if (isLost) REPLY_LOSS_HANDLERS[this.replyLoss](exchange)
    else exchange.answer(200, reply)
  }
}

const REPLY_LOSS_HANDLERS: Record<ReplyLoss, (exchange: Exchange) => void> = {
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
