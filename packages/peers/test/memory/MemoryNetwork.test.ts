import { SeededRandom, VirtualClock } from '@fescuespoke/common'
import { describe, expect, it } from 'vitest'
import { type MemoryFaults, MemoryNetwork } from '../../src/index.js'

interface Fixture {
  readonly clock: VirtualClock
  readonly network: MemoryNetwork
  /** Sends a request from a to b and returns what comes of it and when. */
  readonly send: () => Promise<string>
  readonly received: number[]
}

function createFixture (faults: Partial<MemoryFaults> = {}, encodes = false, seed = 1): Fixture {
  const clock = VirtualClock.create()
  const network = MemoryNetwork.create({ clock, random: SeededRandom.create(seed), faults, encodes })
  const a = network.createPeer('a')
  const received: number[] = []
  network.createPeer('b').setHandler('lengthsRequest', () => {
    received.push(clock.nowMs())
    return { type: 'lengthsAnswer', histograms: {} }
  })
  const send = async (): Promise<string> => {
    const answer = await a.request('b', { type: 'lengthsRequest' }, 1000)
    return `${answer.isOk ? answer.value.type : answer.error} at ${clock.nowMs()}`
  }
  return { clock, network, send, received }
}

async function doTest (fixture: Fixture, durationMs = 2000): Promise<string> {
  const sent = fixture.send()
  await fixture.clock.advance(durationMs)
  return await sent
}

describe('MemoryNetwork', () => {
  it('carries a request and its answer', async () => {
    expect(await doTest(createFixture({ latencyMs: 5 }))).toMatchInlineSnapshot('"lengthsAnswer at 10"')
  })

  it('carries encoded messages', async () => {
    expect(await doTest(createFixture({ latencyMs: 5 }, true))).toMatchInlineSnapshot('"lengthsAnswer at 10"')
  })

  it('loses messages', async () => {
    expect(await doTest(createFixture({ lossRate: 1 }))).toMatchInlineSnapshot('"timeout at 1000"')
  })

  it('repeats messages', async () => {
    const fixture = createFixture({ duplicateRate: 1 })
    await doTest(fixture)
    expect(fixture.received).toMatchInlineSnapshot(`
      [
        1,
        1,
      ]
    `)
  })

  it('delays messages past their timeout', async () => {
    const fixture = createFixture({ delayRate: 1, delayMs: 3000 })
    expect(await doTest(fixture, 4000)).toMatchInlineSnapshot('"timeout at 1000"')
    expect(fixture.received).toMatchInlineSnapshot(`
      [
        3001,
      ]
    `)
  })

  it('is unreachable after its peer has ended', async () => {
    const fixture = createFixture()
    fixture.network.createPeer('b').close()
    expect(await doTest(fixture)).toMatchInlineSnapshot('"unreachable at 2"')
  })

  it('drops messages across a partition until it heals', async () => {
    const fixture = createFixture()
    fixture.network.partition(['a'], ['b'])
    const during = await doTest(fixture)
    fixture.network.heal()
    expect([during, await doTest(fixture)]).toMatchInlineSnapshot(`
      [
        "timeout at 1000",
        "lengthsAnswer at 2002",
      ]
    `)
  })

  it('keeps messages to a paused process until it wakes', async () => {
    const fixture = createFixture()
    fixture.network.pause('b')
    expect(await doTest(fixture)).toMatchInlineSnapshot('"timeout at 1000"')
    expect(fixture.received).toEqual([])
    fixture.network.resume('b')
    await fixture.clock.advance(1)
    expect(fixture.received).toEqual([2000])
  })

  it('runs the timers of a paused process when it wakes, before the messages', async () => {
    const fixture = createFixture({ latencyMs: 500 })
    const sent = fixture.send()
    fixture.network.pause('a')
    await fixture.clock.advance(5000)
    fixture.network.resume('a')
    await fixture.clock.advance(1)
    expect(await sent).toMatchInlineSnapshot('"timeout at 5000"')
  })

  it('repeats the same run for the same seed', async () => {
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
