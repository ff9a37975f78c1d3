import { createLogger, type PeerTransport, SeededRandom, VirtualClock } from '@fescuespoke/common'
import { InMemoryNetwork } from '@fescuespoke/peers'
import { Result } from 'true-myth'
import { describe, expect, it } from 'vitest'
import { DecisionLog } from '../../src/logs/DecisionLog.js'
import { OriginExchange } from '../../src/versions/OriginExchange.js'
import { formatOriginKey } from '../../src/versions/StreamOrigin.js'
import { VersionHistory } from '../../src/versions/VersionHistory.js'
import { createRoute, createTarget } from '../support/createTestDependencies.js'

interface TestInstance {
  readonly exchange: OriginExchange
  readonly history: VersionHistory
}

interface Fleet {
  readonly clock: VirtualClock
  readonly network: InMemoryNetwork
  readonly instances: TestInstance[]
  /** Starts an instance, or restarts it. */
  start(index: number): void
  /** Lets instances see a target of a version. */
  show(softwareVersion: string, indices?: readonly number[]): void
  /** Lets a caller resume stream q at an instance; returns the version at which it goes on, and how long it took to find it. */
  resume(index: number, requestId?: string): Promise<string>
  /** Counts the streams of which the instances were told. */
  countTold(): number
}

const ROUTE = createRoute({ kind: 'stream', isResumable: true, timeoutMs: 6000 })
const V1 = { service: 'calls', softwareVersion: 'v1' }
const LIFETIME_MS = 60_000

/** Creates a fleet that sees targets of v1. */
function doTest (count = 6): Fleet {
  const clock = VirtualClock.create()
  const network = InMemoryNetwork.create({ clock, random: SeededRandom.create(1), shouldEncode: true })
  const log = DecisionLog.create({ logger: createLogger({ instance: 'test', level: 'silent' }), clock })
  const names = Array.from({ length: count }, (_, index) => `i${index}`)
  const instances: TestInstance[] = []
  let told = 0
  const fleet: Fleet = {
    clock,
    network,
    instances,
    start: index => {
      const history = VersionHistory.create({ clock, isViewStale: () => false })
      const peer = network.createPeer(names[index]!)
      const transport: PeerTransport = {
        request: async (to, message, timeoutMs) => {
          if (message.type === 'originNews') told += message.streams.length
          return await peer.request(to, message, timeoutMs)
        },
        setHandler: (type, handler) => peer.setHandler(type, handler)
      }
      instances[index] = { history, exchange: OriginExchange.create({ clock, transport, history, log, listPeers: () => names.filter((_, other) => other !== index) }) }
      fleet.show('v1', [index])
    },
    show: (softwareVersion, indices = [...instances.keys()]) => {
      const target = createTarget(softwareVersion, { softwareVersion })
      for (const index of indices) instances[index]!.history.recordTarget({ target, state: 'ready', stateSinceMs: 0, slowStartEndMs: 0, hasExpired: false })
    },
    resume: async (index, requestId = 'q') => {
      const startedAtMs = clock.nowMs()
      let result = 'open'
      instances[index]!.exchange.findOrigin({ route: ROUTE, requestId, currentId: 'q2', deadlineAtMs: startedAtMs + 5000 }).then(origin => { result = `${origin?.softwareVersion ?? 'unknown'} after ${clock.nowMs() - startedAtMs} ms` })
      await clock.advance(5000)
      return result
    },
    countTold: () => told
  }
  for (const index of names.keys()) fleet.start(index)
  return fleet
}

describe('OriginExchange while several versions serve', () => {
  it('knows at every other instance where a stream began', async () => {
    const { clock, instances, show, resume } = doTest()
    show('v1.1')
    instances[0]!.exchange.recordStream(ROUTE, 'q', V1)
    await clock.advance(100)
    const results = []
    for (const index of instances.keys()) results.push((await resume(index)).split(' ')[0])
    expect(results).toEqual(['v1', 'v1', 'v1', 'v1', 'v1', 'v1'])
  })

  it('knows where a stream began after the instance that began it and another one have restarted', async () => {
    const { clock, instances, show, start, resume } = doTest()
    show('v1.1')
    instances[0]!.exchange.recordStream(ROUTE, 'q', V1)
    await clock.advance(100)
    for (const index of [0, 1]) start(index)
    show('v1.1')
    expect(await Promise.all([resume(0), resume(1)])).toEqual([expect.stringContaining('v1 '), expect.stringContaining('v1 ')])
  })

  it('does not know a stream that nobody began', async () => {
    const { show, resume } = doTest()
    show('v1.1')
    expect(await resume(0)).toMatch(/^unknown/)
  })

  it('tells streams that began before the second version', async () => {
    const { clock, instances, show, start, resume, countTold } = doTest()
    await clock.advance(LIFETIME_MS)
    instances[0]!.exchange.recordStream(ROUTE, 'q', V1)
    await clock.advance(100)
    expect(countTold()).toBe(0)
    show('v1.1')
    await clock.advance(100)
    expect(countTold()).toBe(3)
    start(0)
    expect(await resume(0)).toMatch(/^v1 /)
  })

  it('ends the search within 100 ms when the peers are silent', async () => {
    const { network, show, resume } = doTest()
    show('v1.1')
    network.partition(['i0'], ['i1', 'i2', 'i3', 'i4', 'i5'])
    expect(await resume(0)).toBe('unknown after 100 ms')
  })

  it('asks a bounded number of peers', async () => {
    const { network, show, resume } = doTest(60)
    show('v1.1')
    const asked = new Set<string>()
    for (let index = 1; index < 60; index++) network.createPeer(`i${index}`).setHandler('originRequest', () => { asked.add(`i${index}`); return { type: 'originAnswer', origins: [], isComplete: false } })
    await resume(0)
    expect(asked.size).toBe(16)
  })
})

describe('OriginExchange while a single version serves', () => {
  it('tells nobody and goes on at that version', async () => {
    const { clock, instances, resume, countTold } = doTest()
    await clock.advance(LIFETIME_MS)
    instances[0]!.exchange.recordStream(ROUTE, 'other', V1)
    expect([await resume(1), countTold()]).toEqual([expect.stringContaining('v1 '), 0])
  })

  it('tells peers until the version was observed for long enough', async () => {
    const { clock, instances, countTold } = doTest()
    await clock.advance(LIFETIME_MS - 1)
    instances[0]!.exchange.recordStream(ROUTE, 'q', V1)
    await clock.advance(100)
    expect(countTold()).toBe(3)
  })

  it('does not know after a start of all instances that there was no other version', async () => {
    expect(await doTest().resume(0, 'unheard')).toMatch(/^unknown/)
  })

  it('relies after its start on a peer that has observed a single version', async () => {
    const { clock, start, resume } = doTest()
    await clock.advance(LIFETIME_MS)
    start(0)
    expect(await resume(0)).toMatch(/^v1 /)
  })

  it('does not rely on its own view when a peer has seen another version', async () => {
    const { clock, show, resume } = doTest()
    await clock.advance(LIFETIME_MS)
    show('v1.1', [3])
    expect(await resume(0)).toMatch(/^unknown/)
  })

  it('starts to tell again after a pause', async () => {
    const { clock, instances, countTold } = doTest()
    await clock.advance(LIFETIME_MS)
    instances[0]!.history.restart()
    instances[0]!.exchange.recordStream(ROUTE, 'q', V1)
    await clock.advance(100)
    expect(countTold()).toBe(3)
  })

  it('tells the streams that it had not told when its observation is interrupted', async () => {
    const { clock, instances, countTold } = doTest()
    await clock.advance(LIFETIME_MS)
    instances[0]!.exchange.recordStream(ROUTE, 'q', V1)
    await clock.advance(100)
    instances[0]!.history.restart()
    instances[0]!.history.restart()
    await clock.advance(100)
    expect(countTold()).toBe(3)
  })

  // A caller may have more time than the route's present timeout.
  it('does not take an observation of 59.9 s for that of a stream, whatever the timeout of the route', async () => {
    const { clock, resume } = doTest()
    await clock.advance(LIFETIME_MS - 100)
    expect(await resume(0, 'unheard')).toMatch(/^unknown/)
  })

  it('answers a peer that requests a shorter period for the whole one', async () => {
    const { clock, network } = doTest()
    await clock.advance(LIFETIME_MS - 100)
    const answering = network.createPeer('earlier').request<'originAnswer'>('i0', { type: 'originRequest', requestId: 'q', services: ['calls'], windowMs: 30_000 }, 50)
    await clock.advance(50)
    expect((await answering).unwrapOr(undefined)).toMatchObject({ isComplete: false })
  })

  it('requires the observation of a longer period for a caller that has more time', async () => {
    const { clock, instances } = doTest()
    await clock.advance(LIFETIME_MS)
    const findFor = async (callerRemainingMs: number): Promise<unknown> => {
      const finding = instances[0]!.exchange.findOrigin({ route: ROUTE, requestId: 'unheard', currentId: 'q2', deadlineAtMs: Infinity, callerRemainingMs })
      await clock.advance(200)
      return await finding
    }
    expect([await findFor(39_120), await findFor(70_000)]).toEqual([V1, undefined])
  })

  it('remembers a stream for as long as its caller can resume it', async () => {
    const { clock, instances, show, resume } = doTest()
    show('v1.1')
    instances[0]!.exchange.recordStream(ROUTE, 'q', V1, 90_000)
    await clock.advance(80_000)
    expect(await resume(1)).toMatch(/^v1 /)
  })

  it('does not know a stream from before a start of all instances of which each sees another version', async () => {
    const { clock, start, show, resume } = doTest()
    for (const index of [3, 4, 5]) show('v1.1', [index])
    await clock.advance(LIFETIME_MS - 5000)
    for (const index of [0, 1, 2]) start(index)
    await clock.advance(5000)
    expect([await resume(0, 'unheard'), await resume(3, 'unheard')]).toEqual([expect.stringContaining('unknown'), expect.stringContaining('unknown')])
  })

  it('counts targets without a version as one version', async () => {
    const { clock, instances, resume } = doTest()
    await clock.advance(LIFETIME_MS)
    const target = createTarget('x')
    instances[2]!.history.recordTarget({ target, state: 'ready', stateSinceMs: 0, slowStartEndMs: 0, hasExpired: false })
    expect([formatOriginKey({ service: 'calls' }) === formatOriginKey(V1), await resume(0)]).toEqual([false, expect.stringContaining('unknown')])
  })
})

describe('OriginExchange with a peer of an earlier release', () => {
  it('sends it nothing for a while after it closed the connection', async () => {
    const clock = VirtualClock.create()
    const log = DecisionLog.create({ logger: createLogger({ instance: 'test', level: 'silent' }), clock })
    const sentAtMs: number[] = []
    const transport = { request: async () => { sentAtMs.push(clock.nowMs()); return Result.err('closed') }, setHandler: () => undefined } as unknown as PeerTransport
    const exchange = OriginExchange.create({ clock, transport, history: VersionHistory.create({ clock, isViewStale: () => false }), log, listPeers: () => ['old'] })
    for (const atMs of [0, 1000, 6000]) clock.startTimer(atMs, () => exchange.recordStream(ROUTE, `q${atMs}`, V1))
    await clock.advance(7000)
    expect(sentAtMs).toEqual([10, 6010])
  })
})
