import { SeededRandom, VirtualClock } from '@fescuespoke/common'
import { describe, expect, it } from 'vitest'
import { type NetworkFaults, InMemoryNetwork } from '../../src/index.js'

interface Fixture {
  readonly clock: VirtualClock
  readonly network: InMemoryNetwork
  /** Sends a request from a to b and returns its outcome and the time. */
  readonly send: () => Promise<string>
  readonly receivedAtMs: number[]
}

function createFixture (faults: Partial<NetworkFaults> = {}, shouldEncode = false, seed = 1): Fixture {
  const clock = VirtualClock.create()
  const network = InMemoryNetwork.create({ clock, random: SeededRandom.create(seed), faults, shouldEncode })
  const a = network.createPeer('a')
  const receivedAtMs: number[] = []
  network.createPeer('b').setHandler('lengthsRequest', () => {
    receivedAtMs.push(clock.nowMs())
    return { type: 'lengthsAnswer', histograms: {} }
  })
  const send = async (): Promise<string> => {
    const answer = await a.request('b', { type: 'lengthsRequest' }, 1000)
    return `${answer.isOk ? answer.value.type : answer.error} at ${clock.nowMs()}`
  }
  return { clock, network, send, receivedAtMs }
}

async function doTest (fixture: Fixture, durationMs = 2000): Promise<string> {
  const outcome = fixture.send()
  await fixture.clock.advance(durationMs)
  return await outcome
}

describe('InMemoryNetwork', () => {
  it('delivers a request and its answer', async () => {
    expect(await doTest(createFixture({ latencyMs: 5 }))).toMatchInlineSnapshot('"lengthsAnswer at 10"')
  })

  it('delivers encoded messages', async () => {
    expect(await doTest(createFixture({ latencyMs: 5 }, true))).toMatchInlineSnapshot('"lengthsAnswer at 10"')
  })

  it('drops messages', async () => {
    expect(await doTest(createFixture({ lossRate: 1 }))).toMatchInlineSnapshot('"timeout at 1000"')
  })

  it('duplicates messages', async () => {
    const fixture = createFixture({ duplicateRate: 1 })
    await doTest(fixture)
    expect(fixture.receivedAtMs).toMatchInlineSnapshot(`
      [
        1,
        1,
      ]
    `)
  })

  it('delays messages past their timeout', async () => {
    const fixture = createFixture({ delayRate: 1, delayMs: 3000 })
    expect(await doTest(fixture, 4000)).toMatchInlineSnapshot('"timeout at 1000"')
    expect(fixture.receivedAtMs).toMatchInlineSnapshot(`
      [
        3001,
      ]
    `)
  })

  it('fails with unreachable after the peer has closed', async () => {
    const fixture = createFixture()
    fixture.network.createPeer('b').close()
    expect(await doTest(fixture)).toMatchInlineSnapshot('"unreachable at 2"')
  })

  it('drops messages across a partition until it heals', async () => {
    const fixture = createFixture()
    fixture.network.partition(['a'], ['b'])
    const outcomeDuringPartition = await doTest(fixture)
    fixture.network.heal()
    expect([outcomeDuringPartition, await doTest(fixture)]).toMatchInlineSnapshot(`
      [
        "timeout at 1000",
        "lengthsAnswer at 2002",
      ]
    `)
  })

  it('defers messages to a paused process until it is resumed', async () => {
    const fixture = createFixture()
    fixture.network.pause('b')
    expect(await doTest(fixture)).toMatchInlineSnapshot('"timeout at 1000"')
    expect(fixture.receivedAtMs).toEqual([])
    fixture.network.resume('b')
    await fixture.clock.advance(1)
    expect(fixture.receivedAtMs).toEqual([2000])
  })

  it('runs the due timers of a paused process before its deferred messages when it is resumed', async () => {
    const fixture = createFixture({ latencyMs: 500 })
    const outcome = fixture.send()
    fixture.network.pause('a')
    await fixture.clock.advance(5000)
    fixture.network.resume('a')
    await fixture.clock.advance(1)
    expect(await outcome).toMatchInlineSnapshot('"timeout at 5000"')
  })

  it('produces the same outcomes for the same seed', async () => {
    const run = async (seed: number): Promise<string[]> => {
      const fixture = createFixture({ lossRate: 0.3, jitterMs: 50 }, false, seed)
      const outcomes: string[] = []
      for (let count = 0; count < 10; count++) outcomes.push(await doTest(fixture))
      return outcomes
    }
    expect(await run(7)).toEqual(await run(7))
    expect(await run(7)).not.toEqual(await run(8))
  })
})
