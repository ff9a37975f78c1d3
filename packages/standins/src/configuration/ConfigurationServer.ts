import { type Clock } from '@fescuespoke/common'
import { answerResult } from '../http/answerResult.js'
import { HttpHost, type Route } from '../http/HttpHost.js'
import { readNumber } from '../http/readNumber.js'
import { type ConfigurationCore } from './ConfigurationCore.js'

/** Options of the configuration service's server. */
export interface ConfigurationServerOptions {
  readonly core: ConfigurationCore
  /** Times stalls of connections. */
  readonly clock: Clock
}

/** Serves the configuration service over HTTP. */
export class ConfigurationServer {
  /**
   * Creates a server that is listening.
   * @param options - Options of the server.
   */
  static async create (options: ConfigurationServerOptions): Promise<ConfigurationServer> {
    const routes = createRoutes(options.core)
    return new ConfigurationServer(options.core, await HttpHost.create({ clock: options.clock, routes }))
  }

  /** @internal */
  private constructor (readonly core: ConfigurationCore, readonly host: HttpHost) {}

  /** Base URL. */
  get url (): string {
    return this.host.url
  }

  /** Closes the port and all connections. */
  async close (): Promise<void> {
    await this.host.close()
  }
}

function createRoutes (core: ConfigurationCore): Route[] {
  return [
    { method: 'GET', path: /^\/v1\/snapshot$/, handle: exchange => answerResult(exchange, core.readSnapshot()) },
    {
      method: 'GET',
      path: /^\/v1\/watch$/,
      handle: async exchange => {
        const after = readNumber(exchange.query, 'after', 0)
        const waitMs = readNumber(exchange.query, 'waitMs', 0)
        answerResult(exchange, await core.watch(after, waitMs, exchange.signal))
      }
    }
  ]
}
