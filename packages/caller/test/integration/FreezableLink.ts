import { connect, createServer, type Server, type Socket, type AddressInfo } from 'node:net'
import { Agent, buildConnector } from 'undici'

/** Connections of a caller that can fall silent for good while new ones work. */
export class FreezableLink {
  static create (): FreezableLink {
    return new FreezableLink()
  }

  private readonly relays = new Map<number, Promise<Server>>()
  private readonly sockets = new Set<Socket>()

  private constructor () {}

  /** Makes dispatchers whose connections go through the link. */
  createDispatcher (): Agent {
    const connectSocket = buildConnector({})
    return new Agent({
      pipelining: 1,
      headersTimeout: 0,
      bodyTimeout: 0,
      connect: (options, callback) => {
        this.findRelay(Number(options.port)).then(relay => {
          connectSocket({ ...options, port: String((relay.address() as AddressInfo).port) }, callback)
        }, error => callback(error, null))
      }
    })
  }

  /** Silences every present connection: nothing is passed on and nothing is closed. */
  freeze (): void {
    for (const socket of this.sockets) {
      socket.unpipe()
      socket.pause()
    }
  }

  async stop (): Promise<void> {
    for (const socket of this.sockets) socket.destroy()
    for (const relay of this.relays.values()) (await relay).close()
  }

  private async findRelay (port: number): Promise<Server> {
    const relay = this.relays.get(port) ?? this.startRelay(port)
    this.relays.set(port, relay)
    return await relay
  }

  private async startRelay (port: number): Promise<Server> {
    const server = createServer(near => {
      const far = connect(port, '127.0.0.1')
      for (const [from, to] of [[near, far], [far, near]] as const) {
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
