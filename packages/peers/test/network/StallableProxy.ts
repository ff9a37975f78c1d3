import { type AddressInfo, connect, createServer, type Server, type Socket } from 'node:net'

/** Passes TCP connections on to a peer and can make the open ones silent for good, while new ones work. */
export class StallableProxy {
  static async create (address: string): Promise<StallableProxy> {
    const proxy = new StallableProxy(address)
    await new Promise<void>(resolve => proxy.server.listen(0, '127.0.0.1', () => resolve()))
    return proxy
  }

  private readonly server: Server
  private readonly sockets = new Set<Socket>()
  private stallsNew = false

  private constructor (private readonly address: string) {
    this.server = createServer(socket => this.forward(socket))
  }

  getAddress (): string {
    return `127.0.0.1:${(this.server.address() as AddressInfo).port}`
  }

  countOpen (): number {
    return this.sockets.size
  }

  /** Makes the open connections silent; with `stallsNew` the later ones as well. */
  stall (stallsNew = false): void {
    this.stallsNew = stallsNew
    for (const socket of this.sockets) socket.unpipe().pause()
  }

  async close (): Promise<void> {
    for (const socket of this.sockets) socket.destroy()
    await new Promise<void>(resolve => this.server.close(() => resolve()))
  }

  private forward (near: Socket): void {
    const [host, port] = this.address.split(':')
    const far = connect(Number(port), host)
    for (const socket of [near, far]) this.hold(socket)
    if (this.stallsNew) return
    near.pipe(far)
    far.pipe(near)
  }

  private hold (socket: Socket): void {
    this.sockets.add(socket)
    socket.on('error', () => socket.destroy())
    socket.on('close', () => this.sockets.delete(socket))
  }
}
