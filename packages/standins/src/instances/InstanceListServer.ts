import { type Clock } from '@fescuespoke/common'
import { respondWithResult } from '../http/respondWithResult.js'
import { FaultInjectingHttpServer } from '../http/FaultInjectingHttpServer.js'
import { parseQueryInteger } from '../http/parseQueryInteger.js'
import { type InstanceListCore } from './InstanceListCore.js'

/** Options of an instance list server. */
export interface InstanceListServerOptions {
  readonly core: InstanceListCore
  /** Clock for connection stalls. */
  readonly clock: Clock
}

/** Serves the instance list over HTTP. */
export class InstanceListServer {
  /**
   * Creates a listening server.
   * @param options - Options of the server.
   */
  static async create (options: InstanceListServerOptions): Promise<InstanceListServer> {
    const { core, clock } = options
    const httpServer = await FaultInjectingHttpServer.create({
      clock,
      routes: [{
        method: 'GET',
        path: /^\/v1\/instances$/,
        handle: async exchange => {
          const after = parseQueryInteger(exchange.query, 'after', -1)
          const waitMs = parseQueryInteger(exchange.query, 'waitMs', 0)
          respondWithResult(exchange, await core.watch(after, waitMs, exchange.signal))
        }
      }]
    })
    return new InstanceListServer(core, httpServer)
  }

  /** @internal */
  private constructor (readonly core: InstanceListCore, readonly httpServer: FaultInjectingHttpServer) {}

  /** Base URL. */
  get url (): string {
    return this.httpServer.url
  }

  /** Closes the port and all connections. */
  async close (): Promise<void> {
    await this.httpServer.close()
  }
}
