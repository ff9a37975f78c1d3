import { BufferBudget, SeededRandom, VirtualClock } from '@fescuespoke/common'
import { Result } from 'true-myth'
import { type AddressInfo, connect, createServer, type Server, type Socket } from 'node:net'
import { afterEach, describe, expect, it } from 'vitest'
import { encodeFrame, MessageCodec } from '../../src/index.js'
import { OutgoingPeer } from '../../src/network/OutgoingPeer.js'
import { PeerConnection } from '../../src/network/PeerConnection.js'
import { CounterSet } from '../../src/network/PeerCounters.js'
import { DEFAULT_PEER_LIMITS } from '../../src/network/PeerLimits.js'
import { RAW_HELLO } from './RawPeer.js'

const codec = MessageCodec.create()
let server: Server | undefined
let peer: OutgoingPeer | undefined

afterEach(() => {
  peer?.stop()
  server?.close()
})

interface TestPeer {
  readonly counters: CounterSet
  /** Sends a request and returns who answered it, or the error. */
  readonly sendRequest: () => Promise<string>
}

/** Starts an outgoing peer whose other side handles what it receives with the given function; the handshake is left out. */
async function startPeer (handleData: (socket: Socket) => void): Promise<TestPeer> {
  server = createServer(socket => {
    socket.on('error', () => undefined)
    socket.on('data', () => handleData(socket))
  })
  await new Promise<void>(resolve => server!.listen(0, '127.0.0.1', () => resolve()))
  const { port } = server.address() as AddressInfo
  const clock = VirtualClock.create()
  const counters = new CounterSet()
  const limits = DEFAULT_PEER_LIMITS
  peer = OutgoingPeer.create({
    clock,
    random: SeededRandom.create(1),
    codec,
    counters,
    limits,
    openConnection: async () => Result.ok({ connection: PeerConnection.create({ socket: connect(port, '127.0.0.1'), clock, codec, counters, limits, bufferBudget: BufferBudget.create(), shouldEchoHeartbeats: false }), hello: RAW_HELLO })
  })
  const sendRequest = async (): Promise<string> => {
    const answer = await peer!.request({ type: 'lengthsRequest' }, 20_000)
    return answer.isErr ? answer.error : answer.value.type
  }
  const firstAnswer = sendRequest()
  peer.run()
  expect(await firstAnswer).toBe('lengthsAnswer')
  return { counters, sendRequest }
}

function sendAnswer (socket: Socket, id: number): void {
  socket.write(encodeFrame(codec.encodeEnvelope({ kind: 'answer', id, message: { type: 'lengthsAnswer', histograms: { from: 'b' } } })))
}

describe('a connection to a peer', () => {
  it('is closed when more answers arrive than requests were sent', async () => {
    let id = 1
    const { counters, sendRequest } = await startPeer(socket => {
      sendAnswer(socket, id++)
      if (id === 3) for (let unknownId = 1000; unknownId < 1100; unknownId++) sendAnswer(socket, unknownId)
    })
    expect(await sendRequest()).toBe('lengthsAnswer')
    await expect.poll(() => counters.faults, { timeout: 10_000 }).toEqual({ unexpected: 1 })
  })

  it('is closed when requests of the other side arrive on it without end', async () => {
    const { counters } = await startPeer(socket => {
      sendAnswer(socket, 1)
      for (let id = 1; id < 100; id++) socket.write(encodeFrame(codec.encodeEnvelope({ kind: 'request', id, message: { type: 'lengthsRequest' } })))
    })
    await expect.poll(() => counters.faults, { timeout: 10_000 }).toEqual({ unexpected: 1 })
  })

  it('is opened again only after a delay when it was closed for that', async () => {
    let id = 1
    const { counters, sendRequest } = await startPeer(socket => {
      sendAnswer(socket, id)
      sendAnswer(socket, id++)
    })
    await expect.poll(sendRequest, { timeout: 10_000 }).toBe('unreachable')
    expect(counters.faults).toEqual({ unexpected: 1 })
  })

  it('stays open when answers arrive in any order', async () => {
    let received = 0
    const { counters, sendRequest } = await startPeer(socket => {
      received++
      if (received === 1) sendAnswer(socket, 1)
      if (received === 2) for (const id of [3, 2]) sendAnswer(socket, id)
    })
    expect(await Promise.all([sendRequest(), sendRequest()])).toEqual(['lengthsAnswer', 'lengthsAnswer'])
    expect(counters.faults).toEqual({})
  })
})
