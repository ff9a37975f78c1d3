import { describe, expect, it } from 'vitest'
import { type CallerStream, ReleaseFleet, type ReleaseFleetOptions } from '../support/ReleaseFleet.js'

interface Options extends Partial<ReleaseFleetOptions> {
  /** Time at which engines of the new version replace those of the old one, in milliseconds; there is no release by default. */
  readonly releaseAtMs?: number
  /** Times at which all instances restart, in milliseconds. */
  readonly restartsAtMs?: readonly number[]
  /** Times at which single instances restart, one after the other, in milliseconds. */
  readonly instanceRestartsAtMs?: readonly number[]
  /** Faults of the network between the instances. */
  readonly faults?: Parameters<ReleaseFleet['network']['setFaults']>[0]
}

const SEEDS = [1, 2, 3]

/** Longest time of a caller, in milliseconds. */
const PATIENCE_MS = 39_120

const INSTANCE_COUNT = 4
const ENGINE_COUNT = 4
const STREAM_INTERVAL_MS = 180
const LAST_STREAM_AT_MS = 14_000

/** Time of the restart, and time that an engine needs to leave after its notice, in milliseconds. */
const RESTART_AT_MS = 9000
const LEAVE_MS = 1700

/** Time after which instances have observed a single version for long enough, in milliseconds. */
const OBSERVED_MS = 70_000

/** Times after the restart of all instances at which single ones restart, in milliseconds. */
const INSTANCE_RESTARTS_AT_MS = [1500, 2100, 2700, 3300, 3900, 4500].map(delayMs => RESTART_AT_MS + delayMs)

/** Callers send streams for a while and resume them up to their own limit; returns what they received. */
async function doTest ({ releaseAtMs = Infinity, restartsAtMs = [RESTART_AT_MS], instanceRestartsAtMs = [], faults = {}, ...options }: Options): Promise<ReleaseFleet> {
  const fleet = ReleaseFleet.create({ instanceCount: INSTANCE_COUNT, seed: 1, doCallersReturn: true, patienceMs: PATIENCE_MS, ...options })
  const { clock } = fleet
  fleet.network.setFaults(faults)
  for (let index = 0; index < ENGINE_COUNT; index++) fleet.startEngine(`old${index}`, 'v1')
  if (Number.isFinite(releaseAtMs)) {
    clock.startTimer(releaseAtMs, () => {
      for (let index = 0; index < ENGINE_COUNT; index++) {
        fleet.startEngine(`new${index}`, 'v1.1')
        fleet.retireEngine(`old${index}`)
      }
    })
  }
  for (const atMs of restartsAtMs) clock.startTimer(atMs, () => fleet.restartAll())
  for (const [index, atMs] of instanceRestartsAtMs.entries()) clock.startTimer(atMs, () => fleet.restartInstance(index % INSTANCE_COUNT))
  for (let atMs = 500; atMs < LAST_STREAM_AT_MS; atMs += STREAM_INTERVAL_MS) clock.startTimer(atMs, () => { fleet.sendStream() })
  await clock.advance(LAST_STREAM_AT_MS + PATIENCE_MS + 1000)
  return fleet
}

/** Returns the shares of streams that began and of resumed streams that went on, among those sent in a period. */
function computeShares (fleet: ReleaseFleet, fromMs: number, toMs: number): { begun: number, resumed: number, continued: number } {
  const sent = fleet.streams.filter(({ sentAtMs }) => sentAtMs >= fromMs && sentAtMs < toMs)
  const resumed = sent.filter(({ wasResumed }) => wasResumed)
  const hasBegun = ({ versions }: CallerStream): boolean => versions.size > 0
  return { begun: sent.filter(hasBegun).length / sent.length, resumed: resumed.length, continued: resumed.filter(({ hasContinued }) => hasContinued).length / resumed.length }
}

// An instance that has run for the period of the route's timeout must not take its own observation for that of the stream.
describe('callers that resume up to 39,120 ms after a restart of all instances', () => {
  it.each([6000, 30_000, 60_000])('never get events of a second version when the first one left with the restart (timeout of %i ms)', async timeoutMs => {
    for (const seed of SEEDS) {
      const fleet = await doTest({ seed, timeoutMs, releaseAtMs: RESTART_AT_MS - LEAVE_MS })
      expect(fleet.countMixed()).toBe(0)
    }
  })

  it.each([['before the release', -500], ['while both versions serve', 800], ['when the first version has just left', LEAVE_MS + 50], ['some time after the first version left', 2600]])('never get events of a second version (restart %s)', async (_, delayMs) => {
    for (const seed of SEEDS) {
      const fleet = await doTest({ seed, releaseAtMs: RESTART_AT_MS - delayMs })
      expect(fleet.countMixed()).toBe(0)
    }
  })

  it('never get events of a second version after several restarts in a row', async () => {
    const fleet = await doTest({ releaseAtMs: RESTART_AT_MS - LEAVE_MS, restartsAtMs: [RESTART_AT_MS, RESTART_AT_MS + 400, RESTART_AT_MS + 4000] })
    expect(fleet.countMixed()).toBe(0)
  })

  it.each([['late answers', { delayRate: 0.7, delayMs: 80 }], ['lost messages', { lossRate: 0.5 }]])('never get events of a second version when peers give %s', async (_, faults) => {
    for (const seed of SEEDS) {
      const fleet = await doTest({ seed, releaseAtMs: RESTART_AT_MS - LEAVE_MS, faults })
      expect(fleet.countMixed()).toBe(0)
    }
  })

  it('never get events of a second version when they do not name the request', async () => {
    const fleet = await doTest({ releaseAtMs: RESTART_AT_MS - LEAVE_MS, doCallersNameRequest: false })
    expect(fleet.countMixed()).toBe(0)
  })
})

// Refusals after a restart must be limited to the streams that began before it.
describe('streams that began after a restart of all instances', () => {
  it.each(SEEDS)('go on while targets of their version serve (seed %i)', async seed => {
    const fleet = await doTest({ seed, instanceRestartsAtMs: INSTANCE_RESTARTS_AT_MS })
    const { begun, resumed, continued } = computeShares(fleet, RESTART_AT_MS + 200, LAST_STREAM_AT_MS)
    expect(fleet.countMixed()).toBe(0)
    expect(resumed).toBeGreaterThanOrEqual(12)
    expect(continued).toBeGreaterThanOrEqual(0.5 * begun)
  })

  // The last instance that had observed a single version tells nobody of its streams; all others can still be claimed.
  it.each([1000, 3000, 8000])('go on when all instances restart one after the other every %i ms after a long time with one version', async intervalMs => {
    const fleet = ReleaseFleet.create({ instanceCount: INSTANCE_COUNT, seed: 1, doCallersReturn: true, patienceMs: PATIENCE_MS })
    const { clock } = fleet
    for (let index = 0; index < 2 * ENGINE_COUNT; index++) fleet.startEngine(`e${index}`, 'v1')
    const endMs = OBSERVED_MS + INSTANCE_COUNT * intervalMs
    for (let index = 0; index < INSTANCE_COUNT; index++) clock.startTimer(OBSERVED_MS + index * intervalMs, () => fleet.restartInstance(index))
    for (let atMs = OBSERVED_MS - 5000; atMs < endMs; atMs += STREAM_INTERVAL_MS / 1.5) clock.startTimer(atMs, () => { fleet.sendStream() })
    await clock.advance(endMs + PATIENCE_MS + 1000)
    const { begun, resumed, continued } = computeShares(fleet, 0, endMs)
    expect(resumed).toBeGreaterThanOrEqual(12)
    expect(continued).toBeGreaterThanOrEqual(0.5 * begun)
  })

  it.each(SEEDS)('go on during a release (seed %i)', async seed => {
    const fleet = await doTest({ seed, releaseAtMs: RESTART_AT_MS + 1000, instanceRestartsAtMs: INSTANCE_RESTARTS_AT_MS })
    const { begun, resumed, continued } = computeShares(fleet, RESTART_AT_MS + 200, LAST_STREAM_AT_MS)
    expect(fleet.countMixed()).toBe(0)
    expect(resumed).toBeGreaterThanOrEqual(12)
    expect(continued).toBeGreaterThanOrEqual(0.5 * begun)
  })
})
