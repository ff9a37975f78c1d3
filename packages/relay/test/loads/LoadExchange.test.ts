import { SeededRandom, VirtualClock } from '@fescuespoke/common'
import { InMemoryNetwork, type InMemoryPeer } from '@fescuespoke/peers'
import { describe, expect, it } from 'vitest'
import { LoadExchange } from '../../src/loads/LoadExchange.js'
import { TargetLoads } from '../../src/loads/TargetLoads.js'
import { TargetReservation } from '../../src/placement/TargetReservation.js'

const PEERS = Array.from({ length: 11 }, (_, index) => `p${index}`)
const TARGET = { name: 'e1' } as never

const SUMMARY = { era: 1, revision: 1, version: 1 }

/** Time observed, in milliseconds. */
const OBSERVED_MS = 10_000

interface Exchange {
  readonly clock: VirtualClock
  readonly peerLoads: TargetLoads
  /** Starts a request at the target. */
  readonly reserve: (tokens: number, pendingPrefillTokens?: number) => TargetReservation
}

function createExchange (clock: VirtualClock, transport: InMemoryPeer, peers: readonly string[]): TargetLoads {
  const loads = TargetLoads.create(clock)
  LoadExchange.create({ clock, transport, loads, listPeers: () => peers, getSummary: () => SUMMARY, handlePeerSummary: () => undefined, onPeerLoad: () => undefined }).run()
  return loads
}

/** Returns the number of messages with loads that an instance sent per second to its peers. */
async function doTest (act: (exchange: Exchange) => Promise<void>): Promise<number> {
  const clock = VirtualClock.create()
  const network = InMemoryNetwork.create({ clock, random: SeededRandom.create(1) })
  const peerLoads = PEERS.map(name => createExchange(clock, network.createPeer(name), []))[0]!
  const peer = network.createPeer('me')
  const loads = createExchange(clock, peer, PEERS)
  const reserve = (tokens: number, pendingPrefillTokens?: number): TargetReservation => TargetReservation.create({ target: TARGET, tokens, score: 0, pendingPrefillTokens, loads, onRelease: () => undefined })
  const startMs = clock.nowMs()
  await act({ clock, peerLoads, reserve })
  await clock.advance(OBSERVED_MS - (clock.nowMs() - startMs))
  return Math.round(peer.getCounters().framesOut / (OBSERVED_MS / 1000))
}

describe('LoadExchange', () => {
  it('sends unchanged loads about once a second', async () => {
    expect(await doTest(async () => {})).toBeLessThanOrEqual(10)
  })

  it('sends little more while generations only grow', async () => {
    expect(await doTest(async ({ clock, reserve }) => {
      const reservation = reserve(5000, 3000)
      for (let events = 8; events < 800; events += 8) {
        await clock.advance(80)
        reservation.setTokens(5000 + events, 3000 + events)
      }
    })).toBeLessThanOrEqual(13)
  })

  it('sends nothing for calls that came and went between two messages', async () => {
    expect(await doTest(async ({ clock, reserve }) => {
      for (let calls = 0; calls < 20; calls++) {
        await clock.advance(205)
        const reservation = reserve(0)
        await clock.advance(15)
        reservation.release()
      }
    })).toBeLessThanOrEqual(13)
  })

  it('tells peers soon of a request that is running', async () => {
    await doTest(async ({ clock, peerLoads, reserve }) => {
      await clock.advance(1010)
      reserve(0)
      await clock.advance(400)
      expect(peerLoads.getTotalLoad('e1').running).toBe(1)
    })
  })

  it('tells peers at once of a prompt, and within a second how much a generation has grown', async () => {
    await doTest(async ({ clock, peerLoads, reserve }) => {
      const reservation = reserve(5000, 3000)
      await clock.advance(50)
      expect(peerLoads.getTotalLoad('e1')).toMatchObject({ running: 1, tokens: 5000, pendingPrefillTokens: 3000 })
      reservation.setTokens(5100, 3100)
      await clock.advance(1300)
      expect(peerLoads.getTotalLoad('e1')).toMatchObject({ tokens: 5100, heldTokens: 3100, pendingPrefillTokens: 0 })
    })
  })
})
