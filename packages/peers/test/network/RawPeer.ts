import { type Hello } from '@fescuespoke/schema'
import { connect, type Socket } from 'node:net'
import { computeProof, encodeFrame, type Envelope, FrameDecoder, MessageCodec } from '../../src/index.js'

/** Hello of a raw peer that the networks of the tests accept. */
export const RAW_HELLO: Hello = {
  type: 'hello', protocol: 1, fleet: 'fleet', instance: 'raw', incarnation: 'raw-1', availabilityZone: 'az1', region: 'r1', nonce: 'nonce of raw'
}

/** A connection whose every byte the test decides. */
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
  private ended = false

  private constructor (private readonly socket: Socket) {
    socket.on('error', () => {})
    socket.on('close', () => { this.ended = true })
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

  /** Takes the next message; undefined when the other side has closed. */
  async receive (): Promise<Envelope | undefined> {
    while (this.received.length === 0 && !this.ended) await new Promise(resolve => setImmediate(resolve))
    return this.received.shift()
  }

  async waitEnd (): Promise<void> {
    while (!this.ended) await new Promise(resolve => setImmediate(resolve))
  }

  /** Runs the handshake of the dialer. */
  async runHandshake (hello: Hello, fleetKey: string): Promise<void> {
    this.send({ kind: 'handshake', id: 0, message: hello })
    const answer = await this.receive()
    await this.receive()
    if (answer?.message.type !== 'hello') throw new Error('no hello came back')
    const proof = computeProof(fleetKey, { role: 'dialer', own: hello, other: answer.message })
    this.send({ kind: 'handshake', id: 0, message: { type: 'helloProof', proof } })
  }

  close (): void {
    this.socket.destroy()
  }
}
