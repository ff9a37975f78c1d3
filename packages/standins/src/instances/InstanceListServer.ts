import { type Clock } from '@fescuespoke/common'
import { CoreServer } from '../http/CoreServer.js'
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
export class InstanceListServer extends CoreServer<InstanceListCore> {
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
}
