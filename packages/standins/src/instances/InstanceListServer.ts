import { type Clock } from '@fescuespoke/common'
import { answerResult } from '../http/answerResult.js'
import { HttpHost } from '../http/HttpHost.js'
import { readNumber } from '../http/readNumber.js'
import { type InstanceListCore } from './InstanceListCore.js'

/** Options of the instance list's server. */
export interface InstanceListServerOptions {
  readonly core: InstanceListCore
  /** Times stalls of connections. */
  readonly clock: Clock
}

/** Serves the instance list over HTTP. */
export class InstanceListServer {
  /**
   * Creates a server that is listening.
   * @param options - Options of the server.
   */
  static async create (options: InstanceListServerOptions): Promise<InstanceListServer> {
    const { core, clock } = options
    const host = await HttpHost.create({
      clock,
      routes: [{
        method: 'GET',
        path: /^\/v1\/instances$/,
        handle: async exchange => {
          const after = readNumber(exchange.query, 'after', -1)
          const waitMs = readNumber(exchange.query, 'waitMs', 0)
          answerResult(exchange, await core.watch(after, waitMs, exchange.signal))
        }
      }]
    })
    return new InstanceListServer(core, host)
  }

  /** @internal */
  private constructor (readonly core: InstanceListCore, readonly host: HttpHost) {}

  /** Base URL. */
  get url (): string {
    return this.host.url
  }

  /** Closes the port and all connections. */
  async close (): Promise<void> {
    await this.host.close()
  }
}
