import { BufferBudget } from '@fescuespoke/common'
import { afterEach, describe, expect, it } from 'vitest'
import { type PeerNetwork } from '../../src/index.js'
import { type Addresses, createTestPeer } from './createTestPeer.js'
import { RAW_HELLO, RawPeer } from './RawPeer.js'

const MAX_BYTES = 1024 * 1024
const CONNECTION_COUNT = 40
const TIMEOUT_MS = 20_000

const FLEET_KEY = 'key of the tests'

/** Header of a frame of 1 MB, and the part of its content that arrives. */
const FRAME_HEADER = Buffer.from([0, 0x10, 0, 0])
const PART_BYTES = 128 * 1024

const cleanups: Array<() => Promise<void> | void> = []
let addresses: Addresses = new Map()

afterEach(async () => {
  for (const close of cleanups.splice(0)) await close()
  addresses = new Map()
})

async function createPeer (instance: string, bufferBudget: BufferBudget): Promise<PeerNetwork> {
  const peer = await createTestPeer(addresses, instance, { bufferBudget })
  cleanups.push(async () => await peer.close())
  return peer
}

async function connectRawPeer (to: string, instance: string): Promise<RawPeer> {
  const raw = await RawPeer.connect(addresses.get(to) ?? '')
  cleanups.push(() => raw.close())
  await raw.runHandshake({ ...RAW_HELLO, instance }, FLEET_KEY)
  return raw
}

async function sendRequest (from: PeerNetwork, to: string): Promise<boolean> {
  return (await from.request<'lengthsAnswer'>(to, { type: 'lengthsRequest' }, TIMEOUT_MS)).isOk
}

describe('frames of peers without an end', () => {
  it('do not fill the memory when many peers send one each, and other peers are answered', async () => {
    const bufferBudget = BufferBudget.create({ maxBytes: MAX_BYTES })
    const b = await createPeer('b', bufferBudget)
    const sound = await createPeer('sound', BufferBudget.create())
    const raws = await Promise.all(Array.from({ length: CONNECTION_COUNT }, async (_, index) => await connectRawPeer('b', `raw-${index}`)))
    await expect.poll(() => b.getCounters().connections, { timeout: TIMEOUT_MS }).toBe(CONNECTION_COUNT)
    let closedCount = 0
    for (const raw of raws) raw.waitForClose().then(() => { closedCount++ })
    for (const raw of raws) raw.write(Buffer.concat([FRAME_HEADER, Buffer.alloc(PART_BYTES)]))
    await expect.poll(() => CONNECTION_COUNT - closedCount, { timeout: TIMEOUT_MS }).toBeLessThanOrEqual(MAX_BYTES / PART_BYTES)
    expect(bufferBudget.getUsedBytes()).toBeLessThanOrEqual(MAX_BYTES)
    expect(b.getCounters().faults).toEqual({ bufferBudget: closedCount })
    expect(await sendRequest(sound, 'b')).toBe(true)
  })

  it('are not counted any more once their connection is closed', async () => {
    const bufferBudget = BufferBudget.create({ maxBytes: MAX_BYTES })
    const b = await createPeer('b', bufferBudget)
    const raw = await connectRawPeer('b', 'raw')
    await expect.poll(() => b.getCounters().connections, { timeout: TIMEOUT_MS }).toBe(1)
    raw.write(Buffer.concat([FRAME_HEADER, Buffer.alloc(PART_BYTES)]))
    await expect.poll(() => bufferBudget.getUsedBytes(), { timeout: TIMEOUT_MS }).toBeGreaterThanOrEqual(PART_BYTES)
    raw.close()
    await expect.poll(() => bufferBudget.getUsedBytes(), { timeout: TIMEOUT_MS }).toBe(0)
  })
})
