import { describe, expect, it } from 'vitest'
import { type PlayedKind, type PlayedRequest, playStop, type StopLoad } from '../support/StopPlay.js'

/** Loads of four deployments: their calls, streams, time limits and engines. */
const LOADS: Readonly<Record<string, StopLoad>> = {
  a: { workMs: createWork(30, 220), callLimitMs: 1000, longEvents: { mean: 233, spread: 0.84, max: 549 }, shortEvents: { mean: 2.97, spread: 0.89, max: 10 }, engines: 14, slots: 24 },
  b: { workMs: createWork(60, 450), callLimitMs: 800, longEvents: { mean: 235, spread: 0.84, max: 554 }, shortEvents: { mean: 4.42, spread: 0.89, max: 15 }, engines: 9, slots: 64 },
  c: { workMs: createWork(15, 110), callLimitMs: 800, longEvents: { mean: 235, spread: 0.84, max: 554 }, shortEvents: { mean: 4.2, spread: 0.89, max: 14 }, engines: 9, slots: 64 },
  d: { workMs: createWork(60, 450), callLimitMs: 800, longEvents: { mean: 186, spread: 1.95, max: 439 }, shortEvents: { mean: 2.21, spread: 1.95, max: 7 }, engines: 16, slots: 24, speeds: [0.55, 1.2, 1.2, 1.2], noiseFactor: 2.5 }
}

/** Time for which patient callers wait, in milliseconds. */
const PATIENT_LIMIT_MS = 12_000

const SLOW_WORK = { mean: 280, spread: 0.5, max: 6000, tailShare: 0.004, tailFactor: 20 }
const UNEVEN_SPEEDS = [1.78, 1.7, 1.5, 1.25, 1, 0.8, 0.64, 0.53, 0.43]

/** A fifth of the short streams falls silent. */
const SILENCES = { share: 0.2, rangeMs: [500, 3500] } as const

const SEEDS = [1, 2, 3, 4]
const MORE_SEEDS = [...SEEDS, 5, 6, 7, 8]

/** Targets of a stop; see docs/design/0024-requests-at-a-stopping-instance.md. */
const MIN_SERVED_SHARE = 0.95
const MAX_UNCLEAR_SHARE = 0.01
const LAST_CALLS_MS = 1000
const LONGEST_STREAM_FACTOR = 2
const LATE_AFTER_MS = 3000

const CALLS: readonly PlayedKind[] = ['idempotent', 'once']

function createWork (mean: number, max: number): StopLoad['workMs'] {
  return { mean, spread: 0.5, max, tailShare: 0.01, tailFactor: 5 }
}

function isOwed ({ kind, leftMs, usualMs, usualLongestMs }: PlayedRequest): boolean {
  return CALLS.includes(kind) ? usualMs <= leftMs && leftMs >= LAST_CALLS_MS : usualLongestMs * LONGEST_STREAM_FACTOR <= leftMs
}

/** Returns the share of requests that were not served among those that could be; 0 when there are none. */
function computeMissedShare (requests: readonly PlayedRequest[]): number {
  const owed = requests.filter(isOwed)
  return owed.length === 0 ? 0 : owed.filter(({ end }) => end !== 'served').length / owed.length
}

function computeUnclearShare (requests: readonly PlayedRequest[]): number {
  const sent = requests.filter(({ end }) => end !== 'refused' && end !== 'other')
  return sent.filter(({ end }) => end === 'unclear').length / sent.length
}

function describeCounts (requests: readonly PlayedRequest[]): string {
  const ends = ['served', 'refused', 'unclear', 'cut', 'other'] as const
  return ends.map(end => `${end} ${requests.filter(request => request.end === end).length}`).join(' ')
}

/** Plays a load with some seeds, and lists which targets were missed, and by how much. */
async function doTest (load: StopLoad, seeds = SEEDS): Promise<string[]> {
  const requests = (await Promise.all(seeds.map(async seed => await playStop(load, seed)))).flat()
  const select = (...kinds: PlayedKind[]): PlayedRequest[] => requests.filter(({ kind }) => kinds.includes(kind))
  const lateCuts = requests.filter(({ end, arrivedAfterMs }) => end === 'cut' && arrivedAfterMs > LATE_AFTER_MS)
  const missed = (['idempotent', 'once', 'short'] as const).filter(kind => computeMissedShare(select(kind)) > 1 - MIN_SERVED_SHARE)
    .map(kind => `${kind}: ${(computeMissedShare(select(kind)) * 100).toFixed(1)} in 100 not served although they would have ended; ${describeCounts(select(kind))}`)
  const unclear = (['once', 'short', 'long'] as const).filter(kind => computeUnclearShare(select(kind)) > MAX_UNCLEAR_SHARE)
    .map(kind => `${kind}: ${(computeUnclearShare(select(kind)) * 100).toFixed(1)} in 100 ended as unclear; ${describeCounts(select(kind))}`)
  return [...missed, ...unclear, ...lateCuts.length > 0 ? [`${lateCuts.length} streams that were sent late were cut off`] : []]
}

/** Guards against LOST and against its price: requests that a stopping instance refused although they would have ended in time. */
describe('a stopping instance under load serves what ends in time, and cuts nothing off that was sent late', () => {
  for (const [name, load] of Object.entries(LOADS)) {
    it(`deployment ${name}`, async () => expect(await doTest(load)).toEqual([]))
  }

  it('slow calls of patient callers, of which few are very slow', async () => expect(await doTest({ ...LOADS.b!, workMs: SLOW_WORK, callLimitMs: PATIENT_LIMIT_MS })).toEqual([]))
  it('engines of very different speeds', async () => expect(await doTest({ ...LOADS.c!, speeds: UNEVEN_SPEEDS })).toEqual([]))
  it.each([1, 2])('short streams that fall silent, attempts: %i', async shortAttempts => expect(await doTest({ ...LOADS.c!, silences: SILENCES, shortAttempts }, MORE_SEEDS)).toEqual([]))
})
