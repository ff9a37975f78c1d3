import { VirtualClock } from '@fescuespoke/common'
import { describe, expect, it } from 'vitest'
import { type PromptPart } from '../../src/prefixes/PromptPart.js'
import { runRelayedStream } from '../../src/requests/runRelayedStream.js'
import { createContext, createRoute, createTarget, createTestDependencies, ENGINES, type TestDependencies } from '../support/createTestDependencies.js'
import { PrefixEngines } from '../support/PrefixEngines.js'

interface Fleet {
  readonly dependencies: TestDependencies
  readonly engines: PrefixEngines
  /** Sends a request with a shared first part and waits for its end; returns the time to its first event in milliseconds. */
  readonly send: (firstPart: string) => Promise<number>
  /** Sends a request with parts of a prompt; returns a function that gives the time to its first event in milliseconds. */
  readonly start: (parts: readonly PromptPart[]) => () => number
}

interface Options {
  readonly engineCount?: number
  /** Whether callers name the parts of their prompts. */
  readonly doCallersNameParts?: boolean
}

const SERVICE = { ...ENGINES, engine: { ...ENGINES.engine!, slots: 24, memoryTokens: 26_000 } }
const ROUTE = createRoute({ kind: 'stream', timeoutMs: 6000, objectiveMs: 1504, services: [{ service: SERVICE.name, weight: 1 }] })

/** Tokens of the first part and of the part of the request itself, and time to read both, in milliseconds. */
const SHARED_TOKENS = 2100
const OWN_TOKENS = 420
const FULL_READ_MS = 180
const OWN_READ_MS = 30

/** Maximum time between a request and its end, in milliseconds. */
const END_MS = 2000

/** Time between two short streams of a burst, of which four engines can read one every 46 ms, in milliseconds. */
const BURST_INTERVAL_MS = 42

/** Creates engines e0, e1, ... without load. */
function doTest ({ engineCount = 4, doCallersNameParts = true }: Options = {}): Fleet {
  const clock = VirtualClock.create()
  const engines = PrefixEngines.createEngines(clock, SERVICE.engine.memoryTokens)
  const dependencies = createTestDependencies({ clock, client: engines })
  for (let index = 0; index < engineCount; index++) dependencies.table.updateTarget(createTarget(`e${index}`, { service: SERVICE.name, slots: 24 }))
  let count = 0
  const start = (parts: readonly PromptPart[]): () => number => {
    const sentAtMs = clock.nowMs()
    const promptTokens = parts.reduce((sum, { tokens }) => sum + tokens, 0)
    const { context, sink } = createContext(ROUTE, SERVICE, {
      id: `q${++count}`, receivedAtMs: sentAtMs, body: Buffer.from(JSON.stringify(parts)), promptParts: doCallersNameParts ? parts : undefined, size: { promptTokens, maxOutputTokens: 8 }
    })
    let firstEventMs = Infinity
    const write = sink.writeBytes.bind(sink)
    sink.writeBytes = async bytes => {
      firstEventMs = Math.min(firstEventMs, clock.nowMs() - sentAtMs)
      await write(bytes)
    }
    runRelayedStream(dependencies, { ...context, deadlineAtMs: sentAtMs + ROUTE.timeoutMs })
    return () => Math.round(firstEventMs)
  }
  const send = async (firstPart: string): Promise<number> => {
    const getFirstEventMs = start([{ id: firstPart, tokens: SHARED_TOKENS }, { id: `own${count}`, tokens: OWN_TOKENS }])
    await clock.advance(END_MS)
    return getFirstEventMs()
  }
  return { dependencies, engines, send, start }
}

/** Sends requests with eight first parts in turn; returns the mean time to the first event in milliseconds. */
async function measureMean (options: Options): Promise<number> {
  const { send } = doTest(options)
  let totalMs = 0
  for (let index = 0; index < 64; index++) totalMs += await send(`first${index % 8}`)
  return totalMs / 64
}

/** Sends 120 short streams with eight first parts of 350 tokens while prompts wait at the engines; returns the times to their first events in milliseconds, in order. */
async function measureBurst (options: Options): Promise<readonly number[]> {
  const { dependencies: { clock }, start } = doTest(options)
  const times: Array<() => number> = []
  for (let index = 0; index < 120; index++) {
    times.push(start([{ id: `first${index % 8}`, tokens: 350 }, { id: `own${index}`, tokens: 2200 }]))
    await clock.advance(BURST_INTERVAL_MS)
  }
  await clock.advance(10 * END_MS)
  return times.map(getMs => getMs()).sort((a, b) => a - b)
}

// Requests must not be read again where an engine holds their beginning and has capacity.
describe('requests with a beginning that an engine holds', () => {
  it('get their first event sooner than without knowledge of it', async () => {
    const [known, unknown] = [await measureMean({}), await measureMean({ doCallersNameParts: false })]
    expect(known).toBeLessThan(0.7 * unknown)
    expect(known).toBeLessThan(OWN_READ_MS + 0.25 * (FULL_READ_MS - OWN_READ_MS))
  })

  it('do not gather at the engines that hold it in a burst', async () => {
    const [known, unknown] = [await measureBurst({}), await measureBurst({ doCallersNameParts: false })]
    const count = (times: readonly number[]): number => times.filter(ms => ms <= ROUTE.objectiveMs).length
    expect(count(known)).toBeGreaterThanOrEqual(count(unknown))
    expect(known[60]).toBeLessThan(unknown[60]!)
    expect(known.at(-1)).toBeLessThanOrEqual(unknown.at(-1)!)
  })

  it('go to the engine that holds it', async () => {
    const { engines, send } = doTest()
    const times = [await send('a'), await send('a'), await send('a')]
    expect(times).toEqual([FULL_READ_MS, OWN_READ_MS, OWN_READ_MS])
    expect(new Set(engines.sentTo).size).toBe(1)
  })

  it('go elsewhere when that engine has a longer backlog of prompts', async () => {
    const { dependencies: { loads }, engines, send } = doTest()
    await send('a')
    const [holder = ''] = engines.sentTo
    loads.updatePeer('peer', new Map([[holder, { running: 1, tokens: 0, pendingPrefillTokens: SHARED_TOKENS + 1500 }]]))
    await send('a')
    expect(engines.sentTo[1]).not.toBe(holder)
  })

  it('stay when the backlog is shorter than the beginning', async () => {
    const { dependencies: { loads }, engines, send } = doTest()
    await send('a')
    const [holder = ''] = engines.sentTo
    loads.updatePeer('peer', new Map([[holder, { running: 0, tokens: 0, pendingPrefillTokens: SHARED_TOKENS - 1500 }]]))
    expect(await send('a')).toBe(OWN_READ_MS)
  })

  it.each([['no memory', { running: 2, tokens: 25_000, heldTokens: 20_000 }], ['no slot', { running: 24, tokens: 0 }]])('go elsewhere when that engine has %s', async (_, load) => {
    const { dependencies: { loads }, engines, send } = doTest()
    await send('a')
    const [holder = ''] = engines.sentTo
    loads.updatePeer('peer', new Map([[holder, load]]))
    expect(await send('a')).toBe(FULL_READ_MS)
    expect(engines.sentTo[1]).not.toBe(holder)
  })

  it('are placed as if nothing were held after that engine has restarted', async () => {
    const { dependencies: { table, prefixes }, engines, send } = doTest()
    await send('a')
    const [holder = ''] = engines.sentTo
    engines.restart(holder)
    table.updateTarget(createTarget(holder, { service: SERVICE.name, slots: 24, startedAtMs: 2 }))
    expect(prefixes.estimateHeldTokens(table.getTracked(holder)!.target, [{ id: 'a', tokens: SHARED_TOKENS }], 26_000)).toBe(0)
    expect([await send('a'), await send('a')]).toEqual([FULL_READ_MS, OWN_READ_MS])
  })

  it('lose a prefill and nothing else when the engine has evicted it unnoticed', async () => {
    const { engines, send } = doTest()
    await send('a')
    engines.restart(engines.sentTo[0]!)
    expect(await send('a')).toBe(FULL_READ_MS)
  })

  it('stay in the zone when the beginning is shorter than what another zone costs', async () => {
    const { dependencies: { table, prefixes }, engines, send } = doTest()
    const remote = createTarget('remote', { service: SERVICE.name, slots: 24, availabilityZone: 'z2' })
    table.updateTarget(remote)
    prefixes.recordUse(remote, [{ id: 'a', tokens: SHARED_TOKENS }], SHARED_TOKENS)()
    prefixes.recordUse(remote, [{ id: 'b', tokens: 100 }, { id: 'own1', tokens: 1 }], 100)()
    await send('b')
    await send('a')
    expect(engines.sentTo.map(name => name === 'remote')).toEqual([false, true])
  })
})
