import { createLogger, SeededRandom, VirtualClock } from '@fescuespoke/common'
import { InMemoryNetwork } from '@fescuespoke/peers'
import { describe, expect, it } from 'vitest'
import { LoadExchange } from '../../src/loads/LoadExchange.js'
import { TargetLoads } from '../../src/loads/TargetLoads.js'
import { DecisionLog } from '../../src/logs/DecisionLog.js'
import { PromptPrefixes } from '../../src/prefixes/PromptPrefixes.js'

const ENGINE = { name: 'e', startedAtMs: 5 }
const FREE_TOKENS = 10_000
const [A, B, OWN] = [{ id: 'a', tokens: 400 }, { id: 'b', tokens: 100 }, { id: 'own', tokens: 500 }]
const PROMPT = [A, B, OWN]

const create = (clock: VirtualClock): PromptPrefixes => PromptPrefixes.create({ clock, log: DecisionLog.create({ logger: createLogger({ instance: 'test', level: 'silent' }), clock }) })

/** Acts on prefixes after one run with parts a, b and own has ended; returns how many tokens of its prompt count as held. */
async function doTest (act: (prefixes: PromptPrefixes, clock: VirtualClock) => Promise<void> | void, freeTokens = FREE_TOKENS): Promise<number> {
  const clock = VirtualClock.create()
  const prefixes = create(clock)
  prefixes.recordUse(ENGINE, PROMPT, 1000)()
  await act(prefixes, clock)
  return prefixes.estimateHeldTokens(ENGINE, PROMPT, freeTokens)
}

describe('PromptPrefixes', () => {
  it('counts all parts of a run that has ended', async () => expect(await doTest(() => undefined)).toBe(1000))
  it('counts only the parts that fit into the free memory', async () => expect(await doTest(() => undefined, 600)).toBe(500))
  it('counts nothing when there is no free memory', async () => expect(await doTest(() => undefined, -1)).toBe(0))
  it('counts nothing of another incarnation', async () => expect(await doTest(prefixes => { prefixes.recordUse({ name: 'e', startedAtMs: 6 }, [], 1) })).toBe(0))
  it('counts nothing after the engine has left', async () => expect(await doTest(prefixes => prefixes.removeTarget('e'))).toBe(0))
  it('counts nothing after 60 s without use', async () => expect(await doTest(async (_, clock) => { await clock.advance(60_000) })).toBe(0))

  it('takes parts for evicted by what has arrived since, also without known parts', async () => {
    expect(await doTest(prefixes => { prefixes.recordUse(ENGINE, [], FREE_TOKENS - 450) })).toBe(400)
  })

  it('counts parts that a running request uses, however much has arrived since', async () => {
    expect(await doTest(prefixes => {
      prefixes.recordUse(ENGINE, [A], 1000)
      prefixes.recordUse(ENGINE, [], 50_000)
    })).toBe(400)
  })

  it('ends the use of a run once', async () => {
    expect(await doTest(prefixes => {
      prefixes.recordUse(ENGINE, [A], 1000)
      const endUse = prefixes.recordUse(ENGINE, [A], 1000)
      endUse()
      endUse()
      prefixes.recordUse(ENGINE, [], 50_000)
    })).toBe(400)
  })

  it('stops at the first part that is not held', () => {
    const prefixes = create(VirtualClock.create())
    prefixes.recordUse(ENGINE, [A, OWN], 900)()
    expect([PROMPT, [B, A], [{ ...A, tokens: 401 }]].map(parts => prefixes.estimateHeldTokens(ENGINE, parts, FREE_TOKENS))).toEqual([400, 0, 0])
  })

  it('forgets the engines that were not used for longest beyond 512', () => {
    const prefixes = create(VirtualClock.create())
    for (let index = 0; index < 513; index++) prefixes.recordUse({ name: `e${index}`, startedAtMs: 0 }, [A], 400)()
    expect(['e0', 'e1'].map(name => prefixes.estimateHeldTokens({ name, startedAtMs: 0 }, [A], FREE_TOKENS))).toEqual([0, 400])
  })
})

describe('news about prefixes', () => {
  /** Merges the news of one instance into another one that knows nothing. */
  function createPair (): { clock: VirtualClock, own: PromptPrefixes, peer: PromptPrefixes } {
    const clock = VirtualClock.create()
    return { clock, own: create(clock), peer: create(clock) }
  }

  it('name the shared parts, and not the one of a request itself', () => {
    const { peer } = createPair()
    peer.recordUse(ENGINE, PROMPT, 1000)
    expect(peer.listNews()).toEqual([{ target: 'e', startedAtMs: 5, arrivedTokens: 1000, parts: [A, B] }])
  })

  it('let a peer count shared parts as held until enough has arrived from either', async () => {
    const { clock, own, peer } = createPair()
    const held = (): number => own.estimateHeldTokens(ENGINE, PROMPT, FREE_TOKENS)
    peer.recordUse(ENGINE, PROMPT, 1000)
    own.mergeNews('peer', peer.listNews())
    const first = held()
    peer.recordUse(ENGINE, [{ id: 'c', tokens: 1 }, OWN], 6000)
    await clock.advance(1000)
    own.mergeNews('peer', peer.listNews())
    const second = held()
    own.recordUse(ENGINE, [], 6000)
    expect([first, second, held()]).toEqual([500, 500, 0])
  })

  it('are sent once a second, for 8 engines and 2 parts of each at most', async () => {
    const { clock, peer } = createPair()
    for (let index = 0; index < 20; index++) peer.recordUse({ name: `e${index}`, startedAtMs: 0 }, [A, B, { id: 'c', tokens: 1 }, OWN], 1000)
    const counts = [peer.listNews().length, peer.listNews().length]
    while (counts.length < 5) {
      await clock.advance(1000)
      counts.push(peer.listNews().filter(({ parts }) => parts.length === 2).length)
    }
    expect(counts).toEqual([8, 0, 8, 4, 0])
  })

  it('are ignored when they are of an earlier incarnation or not valid', () => {
    const { own } = createPair()
    own.recordUse(ENGINE, [], 1)
    own.mergeNews('peer', [{ target: 'e', startedAtMs: 4, arrivedTokens: 1, parts: [A] }, { target: 'e', startedAtMs: 5, arrivedTokens: -1, parts: [A] }, { target: 'e', startedAtMs: 5, arrivedTokens: 1, parts: [{ id: 'x'.repeat(33), tokens: 1 }] }])
    expect(own.estimateHeldTokens(ENGINE, PROMPT, FREE_TOKENS)).toBe(0)
  })

  it('reach a peer with the loads, which hold no such field without news', async () => {
    const clock = VirtualClock.create()
    const network = InMemoryNetwork.create({ clock, random: SeededRandom.create(1), shouldEncode: true })
    const sentKeys: string[] = []
    const [own, peer] = [create(clock), create(clock)]
    for (const [name, prefixes] of [['own', own], ['peer', peer]] as const) {
      const transport = network.createPeer(name)
      const request: typeof transport.request = async (to, message, timeoutMs) => {
        sentKeys.push(Object.keys(message).join())
        return await transport.request(to, message, timeoutMs)
      }
      LoadExchange.create({
        clock, transport: { request, setHandler: (type, handler) => transport.setHandler(type, handler) }, loads: TargetLoads.create(clock), prefixes, listPeers: () => name === 'peer' ? ['own'] : [], getSummary: () => ({ era: 1, revision: 1, version: 1 }), handlePeerSummary: () => undefined, onPeerLoad: () => undefined
      }).run()
    }
    await clock.advance(1500)
    const hadField = sentKeys.some(keys => keys.includes('promptPrefixes'))
    peer.recordUse(ENGINE, PROMPT, 1000)
    await clock.advance(1500)
    expect([hadField, own.estimateHeldTokens(ENGINE, PROMPT, FREE_TOKENS)]).toEqual([false, 500])
  })
})
