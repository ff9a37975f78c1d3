import { type Clock } from '@fescuespoke/common'
import { CoreServer } from '../http/CoreServer.js'
import { respondWithResult } from '../http/respondWithResult.js'
import { FaultInjectingHttpServer, type Route } from '../http/FaultInjectingHttpServer.js'
import { parseQueryInteger } from '../http/parseQueryInteger.js'
import { type ConfigurationCore } from './ConfigurationCore.js'

/** Options of a configuration server. */
export interface ConfigurationServerOptions {
  readonly core: ConfigurationCore
  /** Clock for connection stalls. */
  readonly clock: Clock
}

/** Serves the configuration service over HTTP. */
export class ConfigurationServer extends CoreServer<ConfigurationCore> {
  /**
   * Creates a listening server.
   * @param options - Options of the server.
   */
  static async create (options: ConfigurationServerOptions): Promise<ConfigurationServer> {
    const routes = createRoutes(options.core)
    return new ConfigurationServer(options.core, await FaultInjectingHttpServer.create({ clock: options.clock, routes }))
  }
}

function createRoutes (core: ConfigurationCore): Route[] {
  return [
    { method: 'GET', path: /^\/v1\/snapshot$/, handle: exchange => respondWithResult(exchange, core.readSnapshot()) },
    {
      method: 'GET',
      path: /^\/v1\/watch$/,
      handle: async exchange => {
        const after = parseQueryInteger(exchange.query, 'after', 0)
        const waitMs = parseQueryInteger(exchange.query, 'waitMs', 0)
        respondWithResult(exchange, await core.watch(after, waitMs, exchange.signal))
      }
    }
  ]
}
