import { type Clock } from '@fescuespoke/common'
import { CoreServer } from '../http/CoreServer.js'
import { respondWithResult } from '../http/respondWithResult.js'
import { FaultInjectingHttpServer } from '../http/FaultInjectingHttpServer.js'
import { type WeightStoreCore } from './WeightStoreCore.js'

/** Options of a weight store server. */
export interface WeightStoreServerOptions {
  readonly core: WeightStoreCore
  /** Clock for connection stalls. */
  readonly clock: Clock
}

/** Serves the weight store over HTTP. */
export class WeightStoreServer extends CoreServer<WeightStoreCore> {
  /**
   * Creates a listening server.
   * @param options - Options of the server.
   */
  static async create (options: WeightStoreServerOptions): Promise<WeightStoreServer> {
    const { core, clock } = options
    const httpServer = await FaultInjectingHttpServer.create({
      clock,
      routes: [{
        method: 'GET',
        path: /^\/v1\/weights\/([^/]+)$/,
        handle: async exchange => {
          const model = exchange.parameters[0] as string
          respondWithResult(exchange, (await core.fetchWeights(model)).map(() => ({ model })))
        }
      }]
    })
    return new WeightStoreServer(core, httpServer)
  }
}
