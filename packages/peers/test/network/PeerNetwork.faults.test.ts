import { VirtualClock } from '@fescuespoke/common'
import { type Hello } from '@fescuespoke/schema'
import * as fc from 'fast-check'
import { afterEach, describe, expect, it } from 'vitest'
import { encodeFrame, type PeerCounters, type PeerNetwork, type PeerNetworkOptions } from '../../src/index.js'
import { type Addresses, createTestPeer } from './createTestPeer.js'
import { RAW_HELLO, RawPeer } from './RawPeer.js'
import { StallableProxy } from './StallableProxy.js'

const FLEET_KEY = 'key of the tests'
const TIMEOUT_MS = 30_000

const closers: Array<() => Promise<void> | void> = []
let addresses: Addresses = new Map()

afterEach(async () => {
  for (const close of closers.splice(0)) await close()
  addresses = new Map()
})

async function createPeer (instance: string, options: Partial<PeerNetworkOptions> = {}): Promise<PeerNetwork> {
  const peer = await createTestPeer(addresses, instance, options)
  closers.push(async () => await peer.close())
  return peer
}

async function createRaw (instance: string): Promise<RawPeer> {
  const raw = await RawPeer.connect(addresses.get(instance) ?? '')
  closers.push(() => raw.close())
  return raw
}

/** Puts a proxy in front of a peer. */
async function createProxy (instance: string): Promise<StallableProxy> {
  const proxy = await StallableProxy.create(addresses.get(instance) ?? '')
  addresses.set(instance, proxy.getAddress())
  closers.push(async () => await proxy.close())
  return proxy
}

async function ask (from: PeerNetwork, to: string): Promise<string> {
  const answer = await from.request<'lengthsAnswer'>(to, { type: 'lengthsRequest' }, TIMEOUT_MS)
  return answer.match({ Ok: ({ histograms }) => `answered by ${histograms.from}`, Err: error => error })
}

/** Lets a raw peer act until it is closed by the network, and returns what the network counted. */
async function doTest (act: (raw: RawPeer) => Promise<void> | void): Promise<PeerCounters['faults']> {
  const b = await createPeer('b')
  const raw = await createRaw('b')
  await act(raw)
  await raw.waitEnd()
  await expect.poll(() => Object.keys(b.getCounters().faults).length, { timeout: TIMEOUT_MS }).toBe(1)
  return b.getCounters().faults
}

describe('PeerNetwork before the handshake', () => {
  it('closes a connection that announces a long frame', async () => {
    expect(await doTest(raw => raw.write(Buffer.from([0, 0, 0x10, 0x01])))).toEqual({ oversize: 1 })
  })

  it('closes a connection that sends bytes that are no message', async () => {
    expect(await doTest(raw => raw.write(encodeFrame(Buffer.from('GET / HTTP/1.1'))))).toMatchObject({ malformed: 1 })
  })

  it('closes a connection that sends a request before the handshake', async () => {
    const message = { type: 'lengthsRequest' } as const
    expect(await doTest(raw => raw.send({ kind: 'request', id: 1, message }))).toEqual({ malformed: 1 })
  })

  it.each<[string, Partial<Hello>, PeerCounters['faults']]>([
    ['another version of the protocol', { protocol: 99 }, { wrongVersion: 1 }],
    ['another fleet', { fleet: 'other' }, { wrongFleet: 1 }],
    ['no nonce', { nonce: undefined }, { malformed: 1 }]
  ])('refuses a hello with %s', async (_, changes, faults) => {
    const message = JSON.parse(JSON.stringify({ ...RAW_HELLO, ...changes })) as Hello
    expect(await doTest(raw => raw.send({ kind: 'handshake', id: 0, message }))).toEqual(faults)
  })

  it('refuses a proof under another key', async () => {
    expect(await doTest(async raw => await raw.runHandshake(RAW_HELLO, 'another key here'))).toEqual({ wrongKey: 1 })
  })

  it('closes a connection that sends its hello too slowly', async () => {
    const clock = VirtualClock.create()
    const b = await createPeer('b', { clock })
    const raw = await createRaw('b')
    raw.write(Buffer.from([0, 0, 0, 9, 1]))
    await expect.poll(() => b.getCounters().bytesIn, { timeout: TIMEOUT_MS }).toBe(5)
    await clock.advance(2000)
    await raw.waitEnd()
    expect(b.getCounters().faults).toMatchObject({ handshakeTimeout: 1 })
  })

  it('serves others after any bytes', async () => {
    const a = await createPeer('a')
    await createPeer('b')
    await fc.assert(fc.asyncProperty(fc.uint8Array({ minLength: 1, maxLength: 200 }), async bytes => {
      const raw = await createRaw('b')
      raw.write(bytes)
      raw.close()
      expect(await ask(a, 'b')).toBe('answered by b')
    }), { seed: 1, numRuns: 50 })
  })

  it('does not take another instance at the address for the wanted one', async () => {
    const a = await createPeer('a')
    await createPeer('b')
    addresses.set('c', addresses.get('b') ?? '')
    expect(await ask(a, 'c')).toBe('unreachable')
    expect(a.getCounters().faults).toEqual({ wrongInstance: 1 })
  })
})

describe('PeerNetwork after the handshake', () => {
  it.each<[string, (raw: RawPeer) => void, PeerCounters['faults']]>([
    ['a malformed message', raw => raw.write(encodeFrame(Buffer.from([0xff]))), { malformed: 1 }],
    ['a frame that is too long', raw => raw.write(Buffer.from([0x40, 0, 0, 0])), { oversize: 1 }]
  ])('closes a connection with %s', async (_, act, faults) => {
    expect(await doTest(async raw => {
      await raw.runHandshake(RAW_HELLO, FLEET_KEY)
      act(raw)
    })).toEqual(faults)
  })

  it('answers a heartbeat and a request', async () => {
    await createPeer('b')
    const raw = await createRaw('b')
    await raw.runHandshake(RAW_HELLO, FLEET_KEY)
    raw.write(encodeFrame(Buffer.alloc(0)))
    raw.send({ kind: 'request', id: 5, message: { type: 'lengthsRequest' } })
    expect(await raw.receive()).toEqual({ kind: 'answer', id: 5, message: { type: 'lengthsAnswer', histograms: { from: 'b' } } })
  })

  it('closes a connection that does not finish a frame, though its bytes keep coming', async () => {
    const clock = VirtualClock.create()
    const b = await createPeer('b', { clock })
    const raw = await createRaw('b')
    await raw.runHandshake(RAW_HELLO, FLEET_KEY)
    await expect.poll(() => b.getCounters().connections, { timeout: TIMEOUT_MS }).toBe(1)
    raw.write(Buffer.from([0, 0, 1, 0]))
    while (b.getCounters().faults.slowFrame === undefined) {
      const before = b.getCounters().bytesIn
      raw.write(Buffer.from([1]))
      await expect.poll(() => b.getCounters().bytesIn, { timeout: TIMEOUT_MS }).toBeGreaterThan(before)
      await clock.advance(1000)
    }
    expect(b.getCounters().faults).toEqual({ slowFrame: 1 })
  })

  it('replaces a connection that has gone silent', async () => {
    const clock = VirtualClock.create()
    const a = await createPeer('a', { clock })
    await createPeer('b')
    const proxy = await createProxy('b')
    await ask(a, 'b')
    proxy.stall()
    const lost = ask(a, 'b')
    await clock.advance(5000)
    expect(await lost).toBe('closed')
    await expect.poll(() => a.getCounters().connections, { timeout: TIMEOUT_MS }).toBe(2)
    expect(await ask(a, 'b')).toBe('answered by b')
    expect(a.getCounters()).toMatchObject({ reconnects: 1, faults: { silent: 1 } })
  })

  it('refuses requests at once while too many bytes wait for a peer', async () => {
    const limits = { maxQueuedBytes: 1_000_000 }
    const a = await createPeer('a', { limits })
    await createPeer('b')
    const proxy = await createProxy('b')
    await ask(a, 'b')
    proxy.stall(true)
    const message = { type: 'lengthsAnswer', histograms: { text: 'x'.repeat(400_000) } } as const
    const outcomes: string[] = []
    const sent = Array.from({ length: 40 }, async () => {
      const answer = await a.request('b', message, TIMEOUT_MS)
      outcomes.push(answer.isOk ? 'answered' : answer.error)
    })
    await expect.poll(() => outcomes.length, { timeout: TIMEOUT_MS }).toBeGreaterThan(0)
    expect(new Set(outcomes)).toEqual(new Set(['unreachable']))
    await a.close()
    await Promise.all(sent)
    expect(a.getCounters().faults.overflow).toBeGreaterThan(0)
  })

  it('keeps the connection when an answer is too long to be sent', async () => {
    const clock = VirtualClock.create()
    const a = await createPeer('a', { clock })
    const b = await createPeer('b', { limits: { maxFrameBytes: 1024 } })
    await ask(a, 'b')
    b.setHandler('listRequest', () => ({ type: 'lengthsAnswer', histograms: { text: 'x'.repeat(2000) } }))
    const answer = a.request('b', { type: 'listRequest', haveVersion: 1 }, 500)
    await expect.poll(() => b.getCounters().faults, { timeout: TIMEOUT_MS }).toEqual({ oversize: 1 })
    await clock.advance(500)
    expect((await answer).isErr && await ask(a, 'b')).toBe('answered by b')
    expect(a.getCounters().connections).toBe(1)
  })

  it('times out when no answer comes', async () => {
    const clock = VirtualClock.create()
    const a = await createPeer('a', { clock })
    const b = await createPeer('b')
    b.setHandler('lengthsRequest', () => undefined)
    const answer = a.request('b', { type: 'lengthsRequest' }, 500)
    await clock.advance(500)
    expect((await answer).isErr).toBe(true)
  })

  it('fails what waits as closed when it closes itself', async () => {
    const a = await createPeer('a')
    const b = await createPeer('b')
    b.setHandler('lengthsRequest', () => undefined)
    const answer = ask(a, 'b')
    await a.close()
    expect(await answer).toBe('closed')
  })

  it('closes a connection that is no longer used', async () => {
    const clock = VirtualClock.create()
    const a = await createPeer('a', { clock, limits: { silenceMs: 1_000_000 } })
    await createPeer('b')
    await ask(a, 'b')
    await clock.advance(120_000)
    expect(a.listConnected()).toEqual([])
    expect(await ask(a, 'b')).toBe('answered by b')
  })

  it('drops the connection to an incarnation that another one replaces', async () => {
    const a = await createPeer('a')
    await createPeer('b')
    await ask(a, 'b')
    const second = await createPeer('b', { incarnation: 'b-2' })
    second.setHandler('lengthsRequest', () => ({ type: 'lengthsAnswer', histograms: { from: 'b-2' } }))
    await ask(second, 'a')
    await expect.poll(async () => await ask(a, 'b'), { timeout: TIMEOUT_MS }).toBe('answered by b-2')
  })
})
