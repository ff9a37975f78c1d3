import { connect, createServer, type Server, type Socket, type AddressInfo } from 'node:net'
import { Agent, buildConnector } from 'undici'

/**
 * TCP proxy between a caller and instances whose open connections can be stalled permanently, while new connections
 * work.
 */
export class CallerProxy {
  static create (): CallerProxy {
    return new CallerProxy()
  }

  private readonly proxyServers = new Map<number, Promise<Server>>()
  private readonly sockets = new Set<Socket>()

  private constructor () {}

  /** Creates a dispatcher whose connections go through the proxy. */
  createDispatcher (): Agent {
    const connectSocket = buildConnector({})
    return new Agent({
      pipelining: 1,
      headersTimeout: 0,
      bodyTimeout: 0,
      connect: (options, callback) => {
        this.getProxyServer(Number(options.port)).then(proxyServer => {
          connectSocket({ ...options, port: String((proxyServer.address() as AddressInfo).port) }, callback)
        }, error => callback(error, null))
      }
    })
  }

  /** Stalls all open connections permanently. They forward no more data and are not closed. */
  stallConnections (): void {
    for (const socket of this.sockets) {
      socket.unpipe()
      socket.pause()
    }
  }

  async stop (): Promise<void> {
    for (const socket of this.sockets) socket.destroy()
    for (const proxyServer of this.proxyServers.values()) (await proxyServer).close()
  }

  private async getProxyServer (port: number): Promise<Server> {
    const proxyServer = this.proxyServers.get(port) ?? this.startProxyServer(port)
    this.proxyServers.set(port, proxyServer)
    return await proxyServer
  }

  private async startProxyServer (port: number): Promise<Server> {
    const server = createServer(client => {
      const upstream = connect(port, '127.0.0.1')
      for (const [from, to] of [[client, upstream], [upstream, client]] as const) {
        this.sockets.add(from)
        from.on('error', () => to.destroy())
        from.on('close', () => to.destroy())
        from.pipe(to)
      }
    })
    await new Promise<void>(resolve => { server.listen(0, '127.0.0.1', resolve) })
    return server
  }
}
