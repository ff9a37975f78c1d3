import { type FaultInjectingHttpServer } from './FaultInjectingHttpServer.js'

/** HTTP server of a stand-in, whose core holds its state and can also be used without HTTP. */
export abstract class CoreServer<Core> {
  /** @internal */
  protected constructor (readonly core: Core, readonly httpServer: FaultInjectingHttpServer) {}

  /** Base URL. */
  get url (): string {
    return this.httpServer.url
  }

  /** Closes the port and all connections. */
  async close (): Promise<void> {
    await this.httpServer.close()
  }
}
