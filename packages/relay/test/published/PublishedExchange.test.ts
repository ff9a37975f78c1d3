import { createLogger, type PeerHandler, type PeerTransport, VirtualClock } from '@fescuespoke/common'
import { Result } from 'true-myth'
import { describe, expect, it } from 'vitest'
import { LoadExchange } from '../../src/loads/LoadExchange.js'
import { TargetLoads } from '../../src/loads/TargetLoads.js'
import { DecisionLog } from '../../src/logs/DecisionLog.js'
import { PublishedExchange } from '../../src/published/PublishedExchange.js'
import { PublishedView } from '../../src/published/PublishedView.js'

interface TestInstance {
  readonly view: PublishedView
  readonly loads: TargetLoads
  readonly exchange: PublishedExchange
  readonly loadExchange: LoadExchange
}

/** Creates instances that reach one another by name, except for isolated ones. */
function createFleet (names: readonly string[], isolated: ReadonlySet<string> = new Set()): { clock: VirtualClock, instances: Map<string, TestInstance> } {
  const clock = VirtualClock.create()
  const handlers = new Map<string, Map<string, PeerHandler<never>>>()
  const log = DecisionLog.create({ logger: createLogger({ instance: 'test', level: 'silent' }), clock })
  const instances = new Map(names.map(name => {
    const instanceHandlers = new Map<string, PeerHandler<never>>()
    handlers.set(name, instanceHandlers)
    const transport: PeerTransport = {
      request: async (peer, message) => {
        const handler = handlers.get(peer)?.get(message.type)
        if (handler === undefined || isolated.has(peer) || isolated.has(name)) return Result.err('unreachable')
        return Result.ok(await handler(message as never, name)) as never
      },
      setHandler: (type, handler) => { instanceHandlers.set(type, handler as never) }
    }
    const view = PublishedView.create()
    const loads = TargetLoads.create(clock)
    const listPeers = (): string[] => names.filter(other => other !== name)
    const exchange = PublishedExchange.create({ clock, transport, view, log, listPeers })
    const handlePeerRevision = (peer: string, revision: number): void => { exchange.handlePeerRevision(peer, revision) }
    const loadExchange = LoadExchange.create({ clock, transport, loads, listPeers, getRevision: () => view.getRevision(), handlePeerRevision, onPeerLoad: () => undefined })
    return [name, { view, loads, exchange, loadExchange }] as const
  }))
  return { clock, instances }
}

async function doTest (names: readonly string[], act: (instances: Map<string, TestInstance>) => void, durationMs = 500, isolated?: ReadonlySet<string>): Promise<Map<string, TestInstance>> {
  const { clock, instances } = createFleet(names, isolated)
  for (const { loadExchange } of instances.values()) loadExchange.run()
  act(instances)
  await clock.advance(durationMs)
  for (const { loadExchange } of instances.values()) loadExchange.stop()
  return instances
}

describe('published keys', () => {
  it('propagate to other instances with the load messages, including deletions', async () => {
    const instances = await doTest(['a', 'b', 'c'], fleet => {
      fleet.get('b')!.view.applyChanges([{ key: 'gone', revision: 2, value: 'x' }], 2)
      fleet.get('a')!.view.applyChanges([{ key: 'k', revision: 5, value: 'v' }, { key: 'gone', revision: 6 }], 6)
    })
    expect([...instances.values()].map(({ view }) => [view.getRevision(), view.listItems().map(({ key }) => key).join()])).toEqual([[6, 'k'], [6, 'k'], [6, 'k']])
  })

  it('are never replaced by older values of a peer', async () => {
    const instances = await doTest(['a', 'b'], fleet => {
      fleet.get('a')!.view.applyChanges([{ key: 'k', revision: 9, value: 'new' }], 9)
      fleet.get('b')!.view.applyChanges([{ key: 'k', revision: 3, value: 'old' }], 3)
    })
    expect([...instances.values()].map(({ view }) => view.listItems()[0]?.value)).toEqual(['new', 'new'])
  })

  it('can be fetched from a peer when the store cannot be read', async () => {
    const { instances } = createFleet(['a', 'b'])
    instances.get('a')!.view.applyChanges([{ key: 'k', revision: 9, value: 'v' }], 9)
    expect(await instances.get('b')!.exchange.fetchFromPeers()).toBe(true)
    expect(instances.get('b')!.view.getRevision()).toBe(9)
  })

  it('cannot be fetched from isolated peers', async () => {
    const { instances } = createFleet(['a', 'b'], new Set(['a']))
    expect(await instances.get('b')!.exchange.fetchFromPeers()).toBe(false)
  })
})

describe('loads of targets', () => {
  it('are sent to peers and summed there', async () => {
    const instances = await doTest(['a', 'b', 'c'], fleet => {
      fleet.get('a')!.loads.addOwnLoad('t', { running: 2, tokens: 100, heldTokens: 50, pendingPrefillTokens: 30 })
      fleet.get('b')!.loads.addOwnLoad('t', { running: 1, tokens: 10 })
    })
    expect(instances.get('c')!.loads.getTotalLoad('t')).toEqual({ running: 3, tokens: 110, heldTokens: 50, pendingPrefillTokens: 30 })
    expect(instances.get('c')!.loads.listHeldMemory('t')).toEqual([{ instance: 'a', tokens: 50 }, { instance: 'b', tokens: 0 }])
  })

  it('are sent immediately when there are pending prefill tokens', async () => {
    const instances = await doTest(['a', 'b'], fleet => fleet.get('a')!.loads.addOwnLoad('t', { running: 1, tokens: 100, pendingPrefillTokens: 100 }), 20)
    expect(instances.get('b')!.loads.getTotalLoad('t').pendingPrefillTokens).toBe(100)
  })

  it('expire when a peer has been silent for a long time', async () => {
    const { clock, instances } = createFleet(['a', 'b'])
    instances.get('b')!.loads.updatePeer('a', new Map([['t', { running: 3, tokens: 9 }]]))
    clock.jump(5000)
    expect(instances.get('b')!.loads.getTotalLoad('t').running).toBe(0)
  })

  it('reach the instances of a large fleet, a few peers at a time', async () => {
    const names = Array.from({ length: 40 }, (_, index) => `n${index}`)
    const instances = await doTest(names, fleet => fleet.get('n0')!.loads.addOwnLoad('t', { running: 1, tokens: 5 }), 6000)
    const reached = names.slice(1).filter(name => instances.get(name)!.loads.getTotalLoad('t').running === 1)
    expect(reached.length).toBeGreaterThan(30)
  })
})
