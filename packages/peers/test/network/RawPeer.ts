import { type Hello } from '@fescuespoke/schema'
import { connect, type Socket } from 'node:net'
import { computeProof, encodeFrame, type Envelope, FrameDecoder, MessageCodec } from '../../src/index.js'

/** Hello of a raw peer that is accepted by networks of `createTestPeer`. */
export const RAW_HELLO: Hello = {
  type: 'hello', protocol: 1, fleet: 'fleet', instance: 'raw', incarnation: 'raw-1', availabilityZone: 'az1', region: 'r1', nonce: 'nonce of raw'
}

/** Connection on which the test can send arbitrary bytes. */
export class RawPeer {
  static async connect (address: string): Promise<RawPeer> {
    const [host, port] = address.split(':')
    const socket = connect(Number(port), host)
    await new Promise<void>(resolve => socket.once('connect', () => resolve()))
    return new RawPeer(socket)
  }

  private readonly codec = MessageCodec.create()
  private readonly decoder = FrameDecoder.create({ maxFrameBytes: 1_000_000 })
  private readonly received: Envelope[] = []
  private isClosed = false

  private constructor (private readonly socket: Socket) {
    socket.on('error', () => {})
    socket.on('close', () => { this.isClosed = true })
    socket.on('data', chunk => {
      const frames = this.decoder.decodeBytes(chunk).unwrapOr([])
      for (const frame of frames) this.codec.decodeEnvelope(frame).map(envelope => this.received.push(envelope))
    })
  }

  write (bytes: Uint8Array): void {
    this.socket.write(bytes)
  }

  send (envelope: Envelope): void {
    this.write(encodeFrame(this.codec.encodeEnvelope(envelope)))
  }

  /** Returns the next message, or undefined when the other side has closed the connection. */
  async receive (): Promise<Envelope | undefined> {
    while (this.received.length === 0 && !this.isClosed) await new Promise(resolve => setImmediate(resolve))
    return this.received.shift()
  }

  async waitForClose (): Promise<void> {
    while (!this.isClosed) await new Promise(resolve => setImmediate(resolve))
  }

  /** Runs the handshake on the dialer side. */
  async runHandshake (hello: Hello, fleetKey: string): Promise<void> {
    this.send({ kind: 'handshake', id: 0, message: hello })
    const remoteHello = await this.receive()
    await this.receive()
    if (remoteHello?.message.type !== 'hello') throw new Error('expected a hello in reply to the hello')
    const proof = computeProof(fleetKey, { role: 'dialer', proverHello: hello, verifierHello: remoteHello.message })
    this.send({ kind: 'handshake', id: 0, message: { type: 'helloProof', proof } })
  }

  close (): void {
    this.socket.destroy()
  }
}
