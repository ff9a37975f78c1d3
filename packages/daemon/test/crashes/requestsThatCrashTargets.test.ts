import { pickIndex } from '@fescuespoke/common'
import { type SubmitRequest } from '@fescuespoke/schema'
import { describe, expect, it } from 'vitest'
import { type CallerResult, CrashFleet } from './CrashFleet.js'

const PLAY_MS = 60_000
const SOUND_INTERVAL_MS = 100

/** Range of the time after which the caller of a deadly request makes it again, in milliseconds. */
const MIN_PAUSE_MS = 500
const PAUSE_RANGE_MS = 1500

/** Interval between two restarts of instances, in seconds. */
const RESTART_INTERVAL_S = 4

/** Time from the third crash under a request in which instances have told one another, in milliseconds. */
const CONTACT_MS = 3000

/** Number of crashes after which a request has to be known. */
const MIN_KNOWN_CRASHES = 3

/** Number of runs of one submission. */
const MAX_RUNS_OF_SUBMISSION = 3

/** Number of runs of a deadly request that may reach targets after that. */
const MAX_LATE_RUNS = 3

const isCall = (service: string): boolean => service === 'lookup' || service === 'charge'

function createBody (service: string, content: string): SubmitRequest {
  return isCall(service) ? { service, body: content } : { service, prompt: content }
}

function getContent ({ body: { prompt, body } }: CallerResult): string {
  return String(prompt ?? body)
}

interface PlayOptions {
  readonly service: string
  readonly seed?: number
  readonly restartMs?: number
  /** Number of different deadly requests. */
  readonly deadlyCount?: number
  /** Called each second of the play. */
  readonly disturb?: (fleet: CrashFleet, second: number) => Promise<void>
}

interface PlayResult {
  /** Whether at least three targets crashed under each deadly request. */
  readonly isPlayed: boolean
  /** Runs of each deadly request that reached targets after instances have told one another. */
  readonly lateRuns: number[]
  /** Sound requests refused for crashes. */
  readonly soundRefusals: number
  /** Outcomes that do not tell truthfully whether a request has run. */
  readonly untrueOutcomes: number
  /** Refusals without a time to return. */
  readonly refusalsWithoutTime: number
}

async function doTest (options: PlayOptions): Promise<PlayResult> {
  const { service, seed = 1, restartMs = 3000, deadlyCount = 1, disturb } = options
  const fleet = new CrashFleet({ seed, restartMs })
  await fleet.start()
  const deadly = Array.from({ length: deadlyCount }, (_, index) => ({ content: `deadly ${index}`, nextAtMs: fleet.clock.nowMs() + 1000 * (index + 1) }))
  for (let tick = 0; tick * SOUND_INTERVAL_MS < PLAY_MS; tick++) {
    // Empty bodies are the same in all their requests.
    fleet.submit(createBody(service, tick % 2 === 0 ? `sound ${tick}` : ''), tick % 3 === 0 ? 'w2' : 'w')
    for (const request of deadly) {
      if (request.nextAtMs > fleet.clock.nowMs()) continue
      request.nextAtMs += MIN_PAUSE_MS + pickIndex(fleet.random, PAUSE_RANGE_MS)
      fleet.submit(createBody(service, request.content))
    }
    if (tick % 10 === 0) await disturb?.(fleet, tick / 10)
    await fleet.clock.advance(SOUND_INTERVAL_MS)
  }
  await fleet.finish()
  return summarize(fleet, deadly.map(({ content }) => content))
}

function summarize ({ targets: { arrivals, crashes }, results }: CrashFleet, contents: readonly string[]): PlayResult {
  const crashesOf = (content: string): number[] => crashes.filter(crash => crash.content === content).map(({ atMs }) => atMs)
  const countLate = (content: string): number => {
    const knownAtMs = (crashesOf(content)[MIN_KNOWN_CRASHES - 1] ?? Infinity) + CONTACT_MS
    return arrivals.filter(arrival => arrival.content === content && arrival.atMs > knownAtMs).length
  }
  const hasRun = (result: CallerResult): boolean => arrivals.some(({ content, atMs }) => content === getContent(result) && atMs >= result.submittedAtMs && atMs <= result.endedAtMs)
  const refused = results.filter(({ end }) => end?.reason === 'crashesTargets')
  return {
    isPlayed: contents.every(content => crashesOf(content).length >= MIN_KNOWN_CRASHES),
    lateRuns: contents.map(countLate),
    soundRefusals: refused.filter(result => !contents.includes(getContent(result))).length,
    untrueOutcomes: results.filter(result => result.end?.outcome === 'notRun' && contents.length === 1 && getContent(result) === contents[0] && hasRun(result) && isAlone(result, results)).length,
    refusalsWithoutTime: refused.filter(({ end }) => (end?.retryAfterMs ?? 0) <= 0).length
  }
}

/** Returns whether no other request with the same content was in progress. */
function isAlone (result: CallerResult, results: readonly CallerResult[]): boolean {
  return results.every(other => other === result || getContent(other) !== getContent(result) || other.endedAtMs < result.submittedAtMs || other.submittedAtMs > result.endedAtMs)
}

/** Crashes one target, or four at once, for another reason than a request. */
async function crashOthers (service: string, fleet: CrashFleet, second: number): Promise<void> {
  if (second % 5 !== 2) return
  const count = second % 10 === 2 ? 1 : 4
  for (let index = 0; index < count; index++) fleet.targets.crash(`${isCall(service) ? 'plain' : 'engines'}-${1 + (index + second) % 8}`, 'other')
}

const SERVICES = ['streamed', 'held', 'lookup', 'charge']

describe('requests that crash each target that runs them', () => {
  for (const service of SERVICES) {
    it(`reach few targets, however often and wherever they are made again: ${service}`, async () => {
      const { lateRuns, ...faults } = await doTest({ service })
      expect(Math.max(...lateRuns)).toBeLessThanOrEqual(MAX_LATE_RUNS)
      expect(faults).toEqual({ isPlayed: true, soundRefusals: 0, untrueOutcomes: 0, refusalsWithoutTime: 0 })
    })

    it(`are told from sound requests at targets that crash for another reason: ${service}`, async () => {
      const { isPlayed, lateRuns, soundRefusals } = await doTest({ service, seed: 2, disturb: async (fleet, second) => await crashOthers(service, fleet, second) })
      expect(Math.max(...lateRuns)).toBeLessThanOrEqual(MAX_LATE_RUNS)
      expect({ isPlayed, soundRefusals }).toEqual({ isPlayed: true, soundRefusals: 0 })
    })
  }

  for (const service of SERVICES) {
    it(`run at most three times for each submission where targets are back at once: ${service}`, async () => {
      const fleet = new CrashFleet({ seed: 1, restartMs: 20 })
      await fleet.start()
      fleet.submit(createBody(service, 'deadly'))
      await fleet.finish()
      expect(fleet.targets.crashes.length).toBeLessThanOrEqual(MAX_RUNS_OF_SUBMISSION)
    })
  }

  for (const service of ['held', 'lookup']) {
    it(`are not forgotten by instances that restart one after another: ${service}`, async () => {
      const { isPlayed, lateRuns } = await doTest({
        service, disturb: async (fleet, second) => { if (second % RESTART_INTERVAL_S === 0) await fleet.restartInstance(second / RESTART_INTERVAL_S % 4) }
      })
      expect(isPlayed).toBe(true)
      expect(Math.max(...lateRuns)).toBeLessThanOrEqual(MAX_LATE_RUNS)
    })

    it(`are told from one another: ${service}`, async () => {
      const { isPlayed, lateRuns, soundRefusals } = await doTest({ service, seed: 3, deadlyCount: 3 })
      expect(Math.max(...lateRuns)).toBeLessThanOrEqual(MAX_LATE_RUNS)
      expect({ isPlayed, soundRefusals }).toEqual({ isPlayed: true, soundRefusals: 0 })
    })
  }
})
