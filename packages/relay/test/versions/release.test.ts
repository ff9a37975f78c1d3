import { pickIndex, SeededRandom } from '@fescuespoke/common'
import { describe, expect, it } from 'vitest'
import { ReleaseFleet, type StreamCounts } from '../support/ReleaseFleet.js'

interface Options {
  readonly doCallersReturn: boolean
  /** Times at which an instance restarts, in milliseconds. */
  readonly restartsAtMs?: readonly number[]
}

interface Outcome {
  /** Streams of which a caller got events of two software versions. */
  readonly mixed: number
  readonly counts: StreamCounts
}

const ENGINES_PER_VERSION = 8
const STREAM_INTERVAL_MS = 150
const STEP_MS = 1500
const RELEASE_AT_MS = 8000
const DURATION_MS = 24_000

/** Releases v1.1 in place of v1, engine by engine, while engines crash and reset their connections. */
async function doTest (seed: number, { doCallersReturn, restartsAtMs = [] }: Options): Promise<Outcome> {
  const random = SeededRandom.create(seed)
  const fleet = ReleaseFleet.create({ instanceCount: 4, seed, doCallersReturn })
  for (let index = 0; index < ENGINES_PER_VERSION; index++) fleet.startEngine(`old${index}`, 'v1')
  for (let step = 0; step < ENGINES_PER_VERSION - 2; step++) {
    fleet.clock.startTimer(RELEASE_AT_MS + step * STEP_MS, () => {
      fleet.startEngine(`new${step}`, 'v1.1')
      fleet.retireEngine(`old${step}`)
    })
  }
  for (let atMs = RELEASE_AT_MS; atMs < DURATION_MS; atMs += 500) fleet.clock.startTimer(atMs, () => fleet.resetEngine(pick(fleet.listEngines())))
  for (const atMs of [9200, 13_100]) fleet.clock.startTimer(atMs, () => fleet.crashEngine(pick(fleet.listEngines('v1.1'))))
  for (const [index, atMs] of restartsAtMs.entries()) fleet.clock.startTimer(atMs, () => fleet.restartInstance(index))
  for (let atMs = 0; atMs < DURATION_MS; atMs += STREAM_INTERVAL_MS) fleet.clock.startTimer(atMs, () => { fleet.sendStream() })
  await fleet.clock.advance(DURATION_MS + 10_000)
  return { mixed: fleet.countMixed(), counts: fleet.counts }

  function pick (names: readonly string[]): string {
    return names[pickIndex(random, names.length)] ?? ''
  }
}

describe('a release under way', () => {
  it.each([1, 2, 3])('never joins events of two software versions in one answer (seed %i)', async seed => {
    const { mixed, counts } = await doTest(seed, { doCallersReturn: false })
    expect(mixed).toBe(0)
    expect(counts.begun).toBeGreaterThan(100)
  })

  it.each([1, 2, 3])('never joins events of two software versions over the requests of a caller (seed %i)', async seed => {
    const { mixed, counts } = await doTest(seed, { doCallersReturn: true, restartsAtMs: [9500, 14_000, 19_000] })
    expect(mixed).toBe(0)
    expect(counts.resumed).toBeGreaterThanOrEqual(12)
    expect(counts.continued / counts.resumed).toBeGreaterThan(0.5 * counts.begun / counts.sent)
  })
})
