import { describe, expect, it } from 'vitest'
import { type TroubleOptions } from '../support/EngineTroubles.js'
import { type PlayedRequest, playStop, type StopLoad } from '../support/StopPlay.js'

/** Calls, streams and engines of a deployment whose short streams may be resumed. */
const LOAD: StopLoad = {
  workMs: { mean: 15, spread: 0.5, max: 110 }, callLimitMs: 800, longEvents: { mean: 235, spread: 0.84, max: 554 }, shortEvents: { mean: 4.2, spread: 0.89, max: 14 }, engines: 9, slots: 64, shortAttempts: 2, rates: { idempotent: 1, once: 1, short: 20 }
}

const FOR_GOOD = [1e6, 1e6] as const

const SEEDS = [1, 2]

function describeStreams (requests: readonly PlayedRequest[], kind: 'short' | 'long'): string {
  const streams = requests.filter(request => request.kind === kind)
  const count = (isCounted: (request: PlayedRequest) => boolean): number => streams.filter(isCounted).length
  return `${kind}: ${count(({ end }) => end === 'served')} served, ${count(({ end }) => end === 'refused')} refused, ${count(({ end }) => end === 'unclear')} unclear, ${count(({ end }) => end === 'cut')} cut, ${count(({ end }) => end === 'other')} other, ${count(({ isLost }) => isLost)} lost`
}

/** Plays stops with troubles, and counts what became of the streams. */
async function doTest (troubles: TroubleOptions): Promise<string[]> {
  const requests = (await Promise.all(SEEDS.map(async seed => await playStop({ ...LOAD, troubles }, seed)))).flat()
  return [describeStreams(requests, 'short'), describeStreams(requests, 'long')]
}

/** Guards against LOST: streams that arrived late in a stop were cut off at its end, because their engines fell silent, left or were full. */
describe('of the streams that arrive during a stop, none is lost', () => {
  it('sound engines', async () => expect(await doTest({})).toMatchInlineSnapshot(`
    [
      "short: 258 served, 47 refused, 0 unclear, 0 cut, 0 other, 0 lost",
      "long: 0 served, 15 refused, 0 unclear, 0 cut, 0 other, 0 lost",
    ]
  `))
  it('runs fall silent for 0.5 to 3.5 s', async () => expect(await doTest({ silentRunShare: 0.2 })).toMatchInlineSnapshot(`
    [
      "short: 214 served, 89 refused, 2 unclear, 0 cut, 0 other, 0 lost",
      "long: 0 served, 15 refused, 0 unclear, 0 cut, 0 other, 0 lost",
    ]
  `))
  it('runs fall silent for good', async () => expect(await doTest({ silentRunShare: 0.2, silenceMs: FOR_GOOD })).toMatchInlineSnapshot(`
    [
      "short: 199 served, 102 refused, 3 unclear, 0 cut, 1 other, 0 lost",
      "long: 0 served, 15 refused, 0 unclear, 0 cut, 0 other, 0 lost",
    ]
  `))
  it('engines fall silent for good', async () => expect(await doTest({ silentShare: 0.5, silenceMs: FOR_GOOD })).toMatchInlineSnapshot(`
    [
      "short: 251 served, 47 refused, 7 unclear, 0 cut, 0 other, 0 lost",
      "long: 0 served, 15 refused, 0 unclear, 0 cut, 0 other, 0 lost",
    ]
  `))
  it('engines leave one after the other', async () => expect(await doTest({ leaveIntervalMs: 700 })).toMatchInlineSnapshot(`
    [
      "short: 236 served, 69 refused, 0 unclear, 0 cut, 0 other, 0 lost",
      "long: 0 served, 15 refused, 0 unclear, 0 cut, 0 other, 0 lost",
    ]
  `))
  it('runs wait in queues', async () => expect(await doTest({ queueShare: 0.3, maxQueueMs: 3000 })).toMatchInlineSnapshot(`
    [
      "short: 182 served, 123 refused, 0 unclear, 0 cut, 0 other, 0 lost",
      "long: 0 served, 15 refused, 0 unclear, 0 cut, 0 other, 0 lost",
    ]
  `))
  it('engines leave, runs wait and fall silent', async () => expect(await doTest({ leaveIntervalMs: 1200, silentRunShare: 0.2, silenceMs: [500, 20_000], queueShare: 0.2, maxQueueMs: 2000 })).toMatchInlineSnapshot(`
    [
      "short: 176 served, 129 refused, 0 unclear, 0 cut, 0 other, 0 lost",
      "long: 0 served, 15 refused, 0 unclear, 0 cut, 0 other, 0 lost",
    ]
  `))
})
