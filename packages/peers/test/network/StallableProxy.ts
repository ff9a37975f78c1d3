import { type AddressInfo, connect, createServer, type Server, type Socket } from 'node:net'

/** Forwards TCP connections to a peer. Can permanently stop forwarding on the open connections while new ones work. */
export class StallableProxy {
  static async create (address: string): Promise<StallableProxy> {
    const proxy = new StallableProxy(address)
    await new Promise<void>(resolve => proxy.server.listen(0, '127.0.0.1', () => resolve()))
    return proxy
  }

  private readonly server: Server
  private readonly sockets = new Set<Socket>()
  private shouldStallNewConnections = false

  private constructor (private readonly address: string) {
    this.server = createServer(socket => this.forward(socket))
  }

  getAddress (): string {
    return `127.0.0.1:${(this.server.address() as AddressInfo).port}`
  }

  countOpenSockets (): number {
    return this.sockets.size
  }

  /** Stops forwarding on the open connections and, with `shouldStallNewConnections`, on later ones as well. */
  stall (shouldStallNewConnections = false): void {
    this.shouldStallNewConnections = shouldStallNewConnections
    for (const socket of this.sockets) socket.unpipe().pause()
  }

  async close (): Promise<void> {
    for (const socket of this.sockets) socket.destroy()
    await new Promise<void>(resolve => this.server.close(() => resolve()))
  }

  private forward (clientSocket: Socket): void {
    const [host, port] = this.address.split(':')
    const peerSocket = connect(Number(port), host)
    for (const socket of [clientSocket, peerSocket]) this.trackSocket(socket)
    if (this.shouldStallNewConnections) return
    clientSocket.pipe(peerSocket)
    peerSocket.pipe(clientSocket)
  }

  private trackSocket (socket: Socket): void {
    this.sockets.add(socket)
    socket.on('error', () => socket.destroy())
    socket.on('close', () => this.sockets.delete(socket))
  }
}
