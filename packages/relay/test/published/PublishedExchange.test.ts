import { createLogger, type PeerHandler, type PeerTransport, VirtualClock } from '@fescuespoke/common'
import { Result } from 'true-myth'
import { describe, expect, it } from 'vitest'
import { LoadExchange } from '../../src/loads/LoadExchange.js'
import { TargetLoads } from '../../src/loads/TargetLoads.js'
import { DecisionLog } from '../../src/logs/DecisionLog.js'
import { PublishedExchange } from '../../src/published/PublishedExchange.js'
import { PublishedView } from '../../src/published/PublishedView.js'

interface Node {
  readonly view: PublishedView
  readonly loads: TargetLoads
  readonly exchange: PublishedExchange
  readonly loadExchange: LoadExchange
}

/** Instances that reach one another by name, except those that are cut off. */
function createFleet (names: readonly string[], cut: ReadonlySet<string> = new Set()): { clock: VirtualClock, nodes: Map<string, Node> } {
  const clock = VirtualClock.create()
  const handlers = new Map<string, Map<string, PeerHandler<never>>>()
  const log = DecisionLog.create({ logger: createLogger({ instance: 'test', level: 'silent' }), clock })
  const nodes = new Map(names.map(name => {
    const own = new Map<string, PeerHandler<never>>()
    handlers.set(name, own)
    const transport: PeerTransport = {
      request: async (peer, message) => {
        const handler = handlers.get(peer)?.get(message.type)
        if (handler === undefined || cut.has(peer) || cut.has(name)) return Result.err('unreachable')
        return Result.ok(await handler(message as never, name)) as never
      },
      setHandler: (type, handler) => { own.set(type, handler as never) }
    }
    const view = PublishedView.create()
    const loads = TargetLoads.create(clock)
    const listPeers = (): string[] => names.filter(other => other !== name)
    const exchange = PublishedExchange.create({ clock, transport, view, log, listPeers })
    const observeRevision = (peer: string, revision: number): void => { exchange.observeRevision(peer, revision) }
    const loadExchange = LoadExchange.create({ clock, transport, loads, listPeers, getRevision: () => view.getRevision(), observeRevision, onChange: () => undefined })
    return [name, { view, loads, exchange, loadExchange }] as const
  }))
  return { clock, nodes }
}

async function doTest (names: readonly string[], act: (nodes: Map<string, Node>) => void, forMs = 500, cut?: ReadonlySet<string>): Promise<Map<string, Node>> {
  const { clock, nodes } = createFleet(names, cut)
  for (const { loadExchange } of nodes.values()) loadExchange.run()
  act(nodes)
  await clock.advance(forMs)
  for (const { loadExchange } of nodes.values()) loadExchange.stop()
  return nodes
}

describe('what one instance reads', () => {
  it('reaches the others through news, deletions too', async () => {
    const nodes = await doTest(['a', 'b', 'c'], given => {
      given.get('b')!.view.applyChanges([{ key: 'gone', revision: 2, value: 'x' }], 2)
      given.get('a')!.view.applyChanges([{ key: 'k', revision: 5, value: 'v' }, { key: 'gone', revision: 6 }], 6)
    })
    expect([...nodes.values()].map(({ view }) => [view.getRevision(), view.listItems().map(({ key }) => key).join()])).toEqual([[6, 'k'], [6, 'k'], [6, 'k']])
  })

  it('never goes back by an older peer', async () => {
    const nodes = await doTest(['a', 'b'], given => {
      given.get('a')!.view.applyChanges([{ key: 'k', revision: 9, value: 'new' }], 9)
      given.get('b')!.view.applyChanges([{ key: 'k', revision: 3, value: 'old' }], 3)
    })
    expect([...nodes.values()].map(({ view }) => view.listItems()[0]?.value)).toEqual(['new', 'new'])
  })

  it('is asked for by one that cannot read the store', async () => {
    const { nodes } = createFleet(['a', 'b'])
    nodes.get('a')!.view.applyChanges([{ key: 'k', revision: 9, value: 'v' }], 9)
    expect(await nodes.get('b')!.exchange.askPeers()).toBe(true)
    expect(nodes.get('b')!.view.getRevision()).toBe(9)
  })

  it('is not waited for from peers that are cut off', async () => {
    const { nodes } = createFleet(['a', 'b'], new Set(['a']))
    expect(await nodes.get('b')!.exchange.askPeers()).toBe(false)
  })
})

describe('work at targets', () => {
  it('is told to peers, and summed there', async () => {
    const nodes = await doTest(['a', 'b', 'c'], given => {
      given.get('a')!.loads.addOwn('t', { running: 2, tokens: 100, held: 50, unread: 30 })
      given.get('b')!.loads.addOwn('t', { running: 1, tokens: 10 })
    })
    expect(nodes.get('c')!.loads.getTotal('t')).toEqual({ running: 3, tokens: 110, held: 50, unread: 30 })
    expect(nodes.get('c')!.loads.listHeld('t')).toEqual([{ instance: 'a', tokens: 50 }, { instance: 'b', tokens: 0 }])
  })

  it('is told at once when prompts have to be read', async () => {
    const nodes = await doTest(['a', 'b'], given => given.get('a')!.loads.addOwn('t', { running: 1, tokens: 100, unread: 100 }), 20)
    expect(nodes.get('b')!.loads.getTotal('t').unread).toBe(100)
  })

  it('is no longer counted when a peer has been silent for long', async () => {
    const { clock, nodes } = createFleet(['a', 'b'])
    nodes.get('b')!.loads.observePeer('a', new Map([['t', { running: 3, tokens: 9 }]]))
    clock.jump(5000)
    expect(nodes.get('b')!.loads.getTotal('t').running).toBe(0)
  })

  it('reaches every instance of a large fleet, a few at a time', async () => {
    const names = Array.from({ length: 40 }, (_, index) => `n${index}`)
    const nodes = await doTest(names, given => given.get('n0')!.loads.addOwn('t', { running: 1, tokens: 5 }), 6000)
    const reached = names.slice(1).filter(name => nodes.get(name)!.loads.getTotal('t').running === 1)
    expect(reached.length).toBeGreaterThan(30)
  })
})
