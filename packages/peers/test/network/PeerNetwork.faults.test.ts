import { VirtualClock } from '@fescuespoke/common'
import { type Hello } from '@fescuespoke/schema'
import * as fc from 'fast-check'
import { afterEach, describe, expect, it } from 'vitest'
import { DEFAULT_PEER_LIMITS, encodeFrame, type PeerCounters, type PeerNetwork, type PeerNetworkOptions } from '../../src/index.js'
import { type Addresses, createTestPeer } from './createTestPeer.js'
import { RAW_HELLO, RawPeer } from './RawPeer.js'
import { StallableProxy } from './StallableProxy.js'

const FLEET_KEY = 'key of the tests'
const TIMEOUT_MS = 30_000

const cleanups: Array<() => Promise<void> | void> = []
let addresses: Addresses = new Map()

afterEach(async () => {
  for (const close of cleanups.splice(0)) await close()
  addresses = new Map()
})

async function createPeer (instance: string, options: Partial<PeerNetworkOptions> = {}): Promise<PeerNetwork> {
  const peer = await createTestPeer(addresses, instance, options)
  cleanups.push(async () => await peer.close())
  return peer
}

async function connectRawPeer (instance: string): Promise<RawPeer> {
  const raw = await RawPeer.connect(addresses.get(instance) ?? '')
  cleanups.push(() => raw.close())
  return raw
}

/** Creates a proxy in front of a peer and replaces its address. */
async function createProxy (instance: string): Promise<StallableProxy> {
  const proxy = await StallableProxy.create(addresses.get(instance) ?? '')
  addresses.set(instance, proxy.getAddress())
  cleanups.push(async () => await proxy.close())
  return proxy
}

async function sendLengthsRequest (from: PeerNetwork, to: string): Promise<string> {
  const answer = await from.request<'lengthsAnswer'>(to, { type: 'lengthsRequest' }, TIMEOUT_MS)
  return answer.match({ Ok: ({ histograms }) => `answered by ${histograms.from}`, Err: error => error })
}

/** Runs actions on a raw peer, waits until the network closes its connection, and returns the faults counted. */
async function doTest (act: (raw: RawPeer) => Promise<void> | void): Promise<PeerCounters['faults']> {
  const b = await createPeer('b')
  const raw = await connectRawPeer('b')
  await act(raw)
  await raw.waitForClose()
  await expect.poll(() => Object.keys(b.getCounters().faults).length, { timeout: TIMEOUT_MS }).toBe(1)
  return b.getCounters().faults
}

describe('PeerNetwork before the handshake', () => {
  it('closes a connection that declares an oversize frame', async () => {
    expect(await doTest(raw => raw.write(Buffer.from([0, 0, 0x10, 0x01])))).toEqual({ oversize: 1 })
  })

  it('closes a connection that sends bytes that are not a message', async () => {
    expect(await doTest(raw => raw.write(encodeFrame(Buffer.from('GET / HTTP/1.1'))))).toMatchObject({ malformed: 1 })
  })

  it('closes a connection that sends a request before the handshake', async () => {
    const message = { type: 'lengthsRequest' } as const
    expect(await doTest(raw => raw.send({ kind: 'request', id: 1, message }))).toEqual({ malformed: 1 })
  })

  it.each<[string, Partial<Hello>, PeerCounters['faults']]>([
    ['another protocol version', { protocol: 99 }, { wrongVersion: 1 }],
    ['another fleet', { fleet: 'other' }, { wrongFleet: 1 }],
    ['no nonce', { nonce: undefined }, { malformed: 1 }]
  ])('refuses a hello with %s', async (_, changes, faults) => {
    const message = JSON.parse(JSON.stringify({ ...RAW_HELLO, ...changes })) as Hello
    expect(await doTest(raw => raw.send({ kind: 'handshake', id: 0, message }))).toEqual(faults)
  })

  it('refuses a proof computed with another key', async () => {
    expect(await doTest(async raw => await raw.runHandshake(RAW_HELLO, 'another key here'))).toEqual({ wrongKey: 1 })
  })

  it('closes a connection that sends its hello too slowly', async () => {
    const clock = VirtualClock.create()
    const b = await createPeer('b', { clock })
    const raw = await connectRawPeer('b')
    raw.write(Buffer.from([0, 0, 0, 9, 1]))
    await expect.poll(() => b.getCounters().bytesIn, { timeout: TIMEOUT_MS }).toBe(5)
    await clock.advance(2000)
    await raw.waitForClose()
    expect(b.getCounters().faults).toMatchObject({ handshakeTimeout: 1 })
  })

  it('serves other peers after receiving arbitrary bytes', async () => {
    const a = await createPeer('a')
    await createPeer('b')
    await fc.assert(fc.asyncProperty(fc.uint8Array({ minLength: 1, maxLength: 200 }), async bytes => {
      const raw = await connectRawPeer('b')
      raw.write(bytes)
      raw.close()
      expect(await sendLengthsRequest(a, 'b')).toBe('answered by b')
    }), { seed: 1, numRuns: 50 })
  })

  it('does not accept another instance at the address of the expected one', async () => {
    const a = await createPeer('a')
    await createPeer('b')
    addresses.set('c', addresses.get('b') ?? '')
    expect(await sendLengthsRequest(a, 'c')).toBe('unreachable')
    expect(a.getCounters().faults).toEqual({ wrongInstance: 1 })
  })
})

describe('PeerNetwork after the handshake', () => {
  it.each<[string, (raw: RawPeer) => void, PeerCounters['faults']]>([
    ['a malformed message', raw => raw.write(encodeFrame(Buffer.from([0xff]))), { malformed: 1 }],
    ['an oversize frame', raw => raw.write(Buffer.from([0x40, 0, 0, 0])), { oversize: 1 }]
  ])('closes a connection with %s', async (_, act, faults) => {
    expect(await doTest(async raw => {
      await raw.runHandshake(RAW_HELLO, FLEET_KEY)
      act(raw)
    })).toEqual(faults)
  })

  it('answers a heartbeat and a request', async () => {
    await createPeer('b')
    const raw = await connectRawPeer('b')
    await raw.runHandshake(RAW_HELLO, FLEET_KEY)
    raw.write(encodeFrame(Buffer.alloc(0)))
    raw.send({ kind: 'request', id: 5, message: { type: 'lengthsRequest' } })
    expect(await raw.receive()).toEqual({ kind: 'answer', id: 5, message: { type: 'lengthsAnswer', histograms: { from: 'b' } } })
  })

  it('closes a connection that does not complete a frame in time while its bytes keep arriving', async () => {
    const clock = VirtualClock.create()
    const b = await createPeer('b', { clock })
    const raw = await connectRawPeer('b')
    await raw.runHandshake(RAW_HELLO, FLEET_KEY)
    await expect.poll(() => b.getCounters().connections, { timeout: TIMEOUT_MS }).toBe(1)
    raw.write(Buffer.from([0, 0, 1, 0]))
    while (b.getCounters().faults.slowFrame === undefined) {
      const bytesInBefore = b.getCounters().bytesIn
      raw.write(Buffer.from([1]))
      await expect.poll(() => b.getCounters().bytesIn, { timeout: TIMEOUT_MS }).toBeGreaterThan(bytesInBefore)
      await clock.advance(1000)
    }
    expect(b.getCounters().faults).toEqual({ slowFrame: 1 })
  })

  it('closes a connection with more requests than it reads, none of which is answered in time', async () => {
    const clock = VirtualClock.create()
    const b = await createPeer('b', { clock })
    let handledRequests = 0
    b.setHandler('lengthsRequest', async () => {
      handledRequests++
      return await new Promise<undefined>(() => {})
    })
    const raw = await connectRawPeer('b')
    await raw.runHandshake(RAW_HELLO, FLEET_KEY)
    const sendRequests = (): void => { for (let id = 1; id <= 1000; id++) raw.send({ kind: 'request', id, message: { type: 'lengthsRequest' } }) }
    sendRequests()
    await expect.poll(() => handledRequests, { timeout: TIMEOUT_MS }).toBe(DEFAULT_PEER_LIMITS.maxConcurrentRequests)
    while (b.getCounters().faults.silent === undefined) {
      sendRequests()
      await clock.advance(DEFAULT_PEER_LIMITS.heartbeatIntervalMs)
    }
    await raw.waitForClose()
    expect([handledRequests, b.getCounters().faults]).toEqual([DEFAULT_PEER_LIMITS.maxConcurrentRequests, { silent: 1 }])
  })

  it('replaces a connection that has become silent', async () => {
    const clock = VirtualClock.create()
    const a = await createPeer('a', { clock })
    await createPeer('b')
    const proxy = await createProxy('b')
    await sendLengthsRequest(a, 'b')
    proxy.stall()
    const interruptedRequest = sendLengthsRequest(a, 'b')
    await clock.advance(5000)
    expect(await interruptedRequest).toBe('closed')
    await expect.poll(() => a.getCounters().connections, { timeout: TIMEOUT_MS }).toBe(2)
    expect(await sendLengthsRequest(a, 'b')).toBe('answered by b')
    expect(a.getCounters()).toMatchObject({ reconnects: 1, faults: { silent: 1 } })
  })

  it('replaces a connection that became silent between two requests', async () => {
    const clock = VirtualClock.create()
    const a = await createPeer('a', { clock })
    await createPeer('b')
    const proxy = await createProxy('b')
    await sendLengthsRequest(a, 'b')
    proxy.stall()
    await clock.advance(DEFAULT_PEER_LIMITS.silenceTimeoutMs + 2 * DEFAULT_PEER_LIMITS.heartbeatIntervalMs)
    expect(await sendLengthsRequest(a, 'b')).toBe('answered by b')
    expect(a.getCounters()).toMatchObject({ connections: 2, faults: { silent: 1 } })
  })

  it('rejects requests immediately while too many bytes are queued for a peer', async () => {
    const limits = { maxQueuedBytes: 1_000_000 }
    const a = await createPeer('a', { limits })
    await createPeer('b')
    const proxy = await createProxy('b')
    await sendLengthsRequest(a, 'b')
    proxy.stall(true)
    const message = { type: 'lengthsAnswer', histograms: { text: 'x'.repeat(400_000) } } as const
    const outcomes: string[] = []
    const requests = Array.from({ length: 40 }, async () => {
      const answer = await a.request('b', message, TIMEOUT_MS)
      outcomes.push(answer.isOk ? 'answered' : answer.error)
    })
    await expect.poll(() => outcomes.length, { timeout: TIMEOUT_MS }).toBeGreaterThan(0)
    expect(new Set(outcomes)).toEqual(new Set(['unreachable']))
    await a.close()
    await Promise.all(requests)
    expect(a.getCounters().faults.overflow).toBeGreaterThan(0)
  })

  it('keeps the connection when an answer is too long to send', async () => {
    const clock = VirtualClock.create()
    const a = await createPeer('a', { clock })
    const b = await createPeer('b', { limits: { maxFrameBytes: 1024 } })
    await sendLengthsRequest(a, 'b')
    b.setHandler('listRequest', () => ({ type: 'lengthsAnswer', histograms: { text: 'x'.repeat(2000) } }))
    const answer = a.request('b', { type: 'listRequest', haveVersion: 1 }, 500)
    await expect.poll(() => b.getCounters().faults, { timeout: TIMEOUT_MS }).toEqual({ oversize: 1 })
    await clock.advance(500)
    expect((await answer).isErr && await sendLengthsRequest(a, 'b')).toBe('answered by b')
    expect(a.getCounters().connections).toBe(1)
  })

  it('goes on when the handler of a message fails', async () => {
    const unhandled: unknown[] = []
    const recordUnhandled = (error: unknown): void => { unhandled.push(error) }
    process.on('unhandledRejection', recordUnhandled)
    const clock = VirtualClock.create()
    const a = await createPeer('a', { clock })
    const b = await createPeer('b')
    b.setHandler('listRequest', () => { throw new Error('a fault of the handler') })
    const answer = a.request('b', { type: 'listRequest', haveVersion: 1 }, 500)
    await expect.poll(() => b.getCounters().faults, { timeout: TIMEOUT_MS }).toEqual({ handlerFailed: 1 })
    await clock.advance(500)
    expect([(await answer).isErr, await sendLengthsRequest(a, 'b')]).toEqual([true, 'answered by b'])
    process.off('unhandledRejection', recordUnhandled)
    expect([unhandled, a.getCounters().connections]).toEqual([[], 1])
  })

  it('times out when no answer is received', async () => {
    const clock = VirtualClock.create()
    const a = await createPeer('a', { clock })
    const b = await createPeer('b')
    b.setHandler('lengthsRequest', () => undefined)
    const answer = a.request('b', { type: 'lengthsRequest' }, 500)
    await clock.advance(500)
    expect((await answer).isErr).toBe(true)
  })

  it('fails pending requests with closed when it is closed', async () => {
    const a = await createPeer('a')
    const b = await createPeer('b')
    b.setHandler('lengthsRequest', () => undefined)
    const answer = sendLengthsRequest(a, 'b')
    await a.close()
    expect(await answer).toBe('closed')
  })

  it('closes an idle connection', async () => {
    const clock = VirtualClock.create()
    const a = await createPeer('a', { clock, limits: { silenceTimeoutMs: 1_000_000 } })
    await createPeer('b')
    await sendLengthsRequest(a, 'b')
    await clock.advance(120_000)
    expect(a.listOutgoingPeers()).toEqual([])
    expect(await sendLengthsRequest(a, 'b')).toBe('answered by b')
  })

  it('closes the connection to an incarnation that has been replaced', async () => {
    const a = await createPeer('a')
    await createPeer('b')
    await sendLengthsRequest(a, 'b')
    const second = await createPeer('b', { incarnation: 'b-2' })
    second.setHandler('lengthsRequest', () => ({ type: 'lengthsAnswer', histograms: { from: 'b-2' } }))
    await sendLengthsRequest(second, 'a')
    await expect.poll(async () => await sendLengthsRequest(a, 'b'), { timeout: TIMEOUT_MS }).toBe('answered by b-2')
  })
})
