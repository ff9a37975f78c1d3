import { SeededRandom, VirtualClock } from '@fescuespoke/common'
import { InMemoryNetwork } from '@fescuespoke/peers'
import { type LoadNews } from '@fescuespoke/schema'
import { describe, expect, it } from 'vitest'
import { LoadExchange } from '../../src/loads/LoadExchange.js'
import { createTarget, createTestDependencies, ENGINES, type TestDependencies } from '../support/createTestDependencies.js'

const NAMES = ['a', 'b', 'c', 'd', 'e']
const SECONDS = 20

/** Records runs for some time, each with up to this much noise, and the given speed at the last engine. */
async function recordRuns ({ speeds, clock }: TestDependencies, noise: number, lastSpeed = 1): Promise<void> {
  const random = SeededRandom.create(2)
  for (let second = 0; second < SECONDS; second++) {
    for (const [index, name] of NAMES.entries()) {
      const speed = index === NAMES.length - 1 ? lastSpeed : 1
      const running = 1 + Math.floor(random.nextFloat() * 4)
      speeds.recordRun(createTarget(name), { id: `${second}`, kind: 'stream', typicalMs: 30 / speed * (1 + noise * (2 * random.nextFloat() - 1)), excessMs: 3, running, weight: 1 })
      speeds.getSpeed(createTarget(name))
    }
    await clock.advance(1000)
  }
}

/** Places generations and returns the engines and scores. */
function placeRuns ({ placer, table }: TestDependencies): Array<[string, number]> {
  for (const name of NAMES) table.updateTarget(createTarget(name, { service: ENGINES.name }))
  return Array.from({ length: 12 }, () => {
    const reservation = placer.reserveBestTarget({ service: ENGINES, tokens: 900, pendingPrefillTokens: 600, excludedTargets: new Set(), maxGapMs: 100 })!
    return [reservation.target.name, reservation.score]
  })
}

/** Returns the last message with loads of an instance after some runs; of a slow engine, the last one with its speed. */
async function readMessage (lastSpeed: number): Promise<LoadNews> {
  const clock = VirtualClock.create()
  const network = InMemoryNetwork.create({ clock, random: SeededRandom.create(1) })
  const [transport, peer] = [network.createPeer('own'), network.createPeer('peer')]
  const messages: LoadNews[] = []
  peer.setHandler('loadNews', message => {
    messages.push(message)
    return { type: 'loadNewsAnswer', revision: 1 }
  })
  const instance = createTestDependencies({ clock, transport })
  instance.placer.reserveTarget(createTarget('a'), 100)
  LoadExchange.create({ clock, transport, loads: instance.loads, speeds: instance.speeds, listPeers: () => ['peer'], getSummary: () => ({ era: 1, revision: 1, version: 1 }), handlePeerSummary: () => undefined, onPeerLoad: () => undefined }).run()
  await recordRuns(instance, 0.1, lastSpeed)
  return messages.findLast(({ entries }) => lastSpeed === 1 || entries.some(({ speed }) => speed !== undefined))!
}

describe('engines of equal speed', () => {
  it('get the same runs with the same scores as without any observation', async () => {
    const [observed, unobserved] = [createTestDependencies(), createTestDependencies()]
    await recordRuns(observed, 0.18)
    await unobserved.clock.advance(SECONDS * 1000)
    expect(placeRuns(observed)).toEqual(placeRuns(unobserved))
  })

  it('get other runs if one of them is slow', async () => {
    const [observed, unobserved] = [createTestDependencies(), createTestDependencies()]
    await recordRuns(observed, 0.1, 0.5)
    await unobserved.clock.advance(SECONDS * 1000)
    expect(placeRuns(observed)).not.toEqual(placeRuns(unobserved))
  })

  it('are not mentioned in messages, which members of an earlier release would refuse', async () => {
    expect((await readMessage(1)).entries).toEqual([{ target: 'a', running: 1, tokens: 100, heldTokens: 0, unreadTokens: 0 }])
  })
})

describe('an engine of another speed', () => {
  it('is told to peers, also if the instance has no requests there', async () => {
    const { entries } = await readMessage(0.5)
    expect(entries.map(({ target, running }) => [target, running])).toEqual([['a', 1], ['e', 0]])
    expect(entries[1]!.speed).toMatchObject({ startedAtMs: 1, runs: 9 })
    expect(entries[1]!.speed!.value).toBeCloseTo(0.5, 1)
  })
})
