import { afterEach, describe, expect, it } from 'vitest'
import { type PeerNetwork, type PeerNetworkOptions } from '../../src/index.js'
import { type Addresses, createTestPeer } from './createTestPeer.js'

const TIMEOUT_MS = 30_000

const peers: PeerNetwork[] = []
let addresses: Addresses = new Map()

afterEach(async () => {
  for (const peer of peers.splice(0)) await peer.close()
  addresses = new Map()
})

async function createPeer (instance: string, options: Partial<PeerNetworkOptions> = {}): Promise<PeerNetwork> {
  const peer = await createTestPeer(addresses, instance, options)
  peers.push(peer)
  return peer
}

async function doTest (from: PeerNetwork, to: string): Promise<string> {
  const answer = await from.request<'lengthsAnswer'>(to, { type: 'lengthsRequest' }, TIMEOUT_MS)
  return answer.match({ Ok: ({ histograms }) => `answered by ${histograms.from}`, Err: error => error })
}

describe('PeerNetwork', () => {
  it('delivers a request and its answer', async () => {
    const a = await createPeer('a')
    await createPeer('b')
    expect(await doTest(a, 'b')).toMatchInlineSnapshot('"answered by b"')
  })

  it('fails with unreachable for an instance without an address', async () => {
    const a = await createPeer('a')
    expect(await doTest(a, 'nobody')).toMatchInlineSnapshot('"unreachable"')
  })

  it('counts a connection that is refused by the operating system', async () => {
    const a = await createPeer('a')
    const b = await createPeer('b')
    await b.close()
    expect(await doTest(a, 'b')).toMatchInlineSnapshot('"unreachable"')
    expect(a.getCounters().faults).toEqual({ connectFailed: 1 })
  })

  it('reaches a peer that was restarted under the same name', async () => {
    const a = await createPeer('a')
    const first = await createPeer('b')
    await doTest(a, 'b')
    await first.close()
    const second = await createPeer('b', { incarnation: 'b-2' })
    await second.request('a', { type: 'lengthsRequest' }, TIMEOUT_MS)
    expect(await doTest(a, 'b')).toMatchInlineSnapshot('"answered by b"')
  })

  it('refuses a peer with another fleet key and counts it on both sides', async () => {
    const a = await createPeer('a')
    const b = await createPeer('b', { fleetKey: 'another key here' })
    expect(await doTest(a, 'b')).toMatchInlineSnapshot('"unreachable"')
    await expect.poll(() => b.getCounters().faults, { timeout: TIMEOUT_MS }).toEqual({ wrongKey: 1 })
    expect(a.getCounters().faults).toEqual({ wrongKey: 1 })
  })
})
