import { type Clock } from '@fescuespoke/common'
import { answerResult } from '../http/answerResult.js'
import { HttpHost } from '../http/HttpHost.js'
import { type WeightStoreCore } from './WeightStoreCore.js'

/** Options of the weight store's server. */
export interface WeightStoreServerOptions {
  readonly core: WeightStoreCore
  /** Times stalls of connections. */
  readonly clock: Clock
}

/** Serves the weight store over HTTP. */
export class WeightStoreServer {
  /**
   * Creates a server that is listening.
   * @param options - Options of the server.
   */
  static async create (options: WeightStoreServerOptions): Promise<WeightStoreServer> {
    const { core, clock } = options
    const host = await HttpHost.create({
      clock,
      routes: [{
        method: 'GET',
        path: /^\/v1\/weights\/([^/]+)$/,
        handle: async exchange => {
          const model = exchange.parameters[0] as string
          answerResult(exchange, (await core.fetchWeights(model)).map(() => ({ model })))
        }
      }]
    })
    return new WeightStoreServer(core, host)
  }

  /** @internal */
  private constructor (readonly core: WeightStoreCore, readonly host: HttpHost) {}

  /** Base URL. */
  get url (): string {
    return this.host.url
  }

  /** Closes the port and all connections. */
  async close (): Promise<void> {
    await this.host.close()
  }
}
