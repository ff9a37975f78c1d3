import { SeededRandom, VirtualClock } from '@fescuespoke/common'
import { describe, expect, it } from 'vitest'
import { type ServiceProfile } from '../../src/model/RelayConfiguration.js'
import { runRelayedStream } from '../../src/requests/runRelayedStream.js'
import { createContext, createRoute, createTarget, createTestDependencies, type TestDependencies } from '../support/createTestDependencies.js'
import { type FakeSink } from '../support/FakeSink.js'
import { HoldingEngines } from '../support/HoldingEngines.js'

/** Kind of a stream. Figures of deployment A in docs/demanding-load.md; rates are for the engines of the test. */
interface StreamKind {
  readonly priority: number
  readonly promptTokens: number
  readonly events: number
  readonly objectiveMs: number
  readonly limitMs: number
  readonly perSecond: number
}

interface CallerResult {
  readonly kind: string
  readonly sink: FakeSink
  /** Time to the first event or to the refusal, in milliseconds. */
  answeredMs: number
}

interface Outcome {
  readonly engines: HoldingEngines
  readonly results: readonly CallerResult[]
}

interface BurstOptions {
  readonly isLoadPartial?: boolean
  /** Output of a run relative to its estimate. */
  readonly outputFactor?: number
  readonly seed?: number
  /** Causes a failure. */
  readonly prepare?: (engines: HoldingEngines, instances: readonly TestDependencies[], clock: VirtualClock) => void
}

const ENGINE_COUNT = 4
const INSTANCE_COUNT = 8

/** Share of the load of 31 engines: that of five, of which one is gone. */
const ENGINE_SHARE = (ENGINE_COUNT + 1) / 31

const KINDS: Readonly<Record<string, StreamKind>> = {
  long: { priority: 2, promptTokens: 3079, events: 187, objectiveMs: 4006, limitMs: 39_054, perSecond: 17.4 * ENGINE_SHARE },
  short: { priority: 0, promptTokens: 2550, events: 2, objectiveMs: 1504, limitMs: 6016, perSecond: 19.5 * ENGINE_SHARE }
}

/** Beginning, end and factor of the bursts, by kind. */
const BURSTS: Readonly<Record<string, readonly [number, number, number]>> = { long: [5000, 12_000, 2.6], short: [12_000, 15_500, 1.9] }

const ARRIVALS_END_MS = 20_000
const DURATION_MS = 60_000

const service: ServiceProfile = { name: 'engines', engine: { slots: 24, memoryTokens: 26_798, linkMbps: 28_000, tokenBytes: 192_512, tokensPerEvent: 4, canMove: false, maxHoldMs: 2000 } }

/** Sends a burst of long streams and then one of short streams through instances that know nothing of each other. */
async function doTest ({ isLoadPartial = true, outputFactor = 1, seed = 3, prepare }: BurstOptions): Promise<Outcome> {
  const clock = VirtualClock.create()
  const random = SeededRandom.create(seed)
  const engines = HoldingEngines.create(clock, service.engine!)
  const instances = Array.from({ length: INSTANCE_COUNT }, (_, index) => createTestDependencies({ clock, seed: seed + index, client: engines, isLoadPartial: () => isLoadPartial }))
  for (const { table } of instances) for (let index = 0; index < ENGINE_COUNT; index++) table.updateTarget(createTarget(`e${index}`, { service: service.name, slots: 24 }))
  prepare?.(engines, instances, clock)
  const results: CallerResult[] = []
  for (const [name, kind] of Object.entries(KINDS)) {
    for (const atMs of listArrivals(kind.perSecond, BURSTS[name]!, () => random.nextFloat())) {
      const instance = instances[Math.floor(random.nextFloat() * INSTANCE_COUNT)]!
      clock.startTimer(atMs, () => results.push(sendStream(instance, name, outputFactor)))
    }
  }
  await clock.advance(DURATION_MS)
  return { engines, results }
}

function listArrivals (perSecond: number, [beginMs, endMs, factor]: readonly [number, number, number], nextFloat: () => number): number[] {
  const arrivals: number[] = []
  for (let atMs = 0; atMs < ARRIVALS_END_MS;) {
    const rate = perSecond * (atMs >= beginMs && atMs < endMs ? factor : 1)
    atMs += -Math.log(1 - nextFloat()) * 1000 / rate
    arrivals.push(atMs)
  }
  return arrivals
}

function sendStream (dependencies: TestDependencies, name: string, outputFactor: number): CallerResult {
  const { clock } = dependencies
  const { priority, promptTokens, events, objectiveMs, limitMs } = KINDS[name]!
  const sentAtMs = clock.nowMs()
  const expectedOutputTokens = events * 4
  const { context, sink, endController } = createContext(createRoute({ kind: 'stream', maxAttempts: 1, priority, objectiveMs, timeoutMs: limitMs, maxGapMs: 180 }), service, {
    id: `${name}${sentAtMs}`, receivedAtMs: sentAtMs, body: Buffer.from(String(Math.round(events * outputFactor))), size: { promptTokens, maxOutputTokens: 2 * expectedOutputTokens, expectedOutputTokens }
  })
  const result: CallerResult = { kind: name, sink, answeredMs: Infinity }
  const recordAnswer = (): void => { result.answeredMs = Math.min(result.answeredMs, clock.nowMs() - sentAtMs) }
  const writeHead = sink.writeHead.bind(sink)
  sink.writeHead = head => { recordAnswer(); writeHead(head) }
  const cancelTimer = clock.startTimer(limitMs, () => endController.abort())
  runRelayedStream(dependencies, { ...context, deadlineAtMs: sentAtMs + limitMs }).then(() => { cancelTimer(); recordAnswer() })
  return result
}

const SEEDS = [1, 2, 3, 4, 5]

describe('a burst of long streams and then of short ones at instances that know nothing of each other', () => {
  it.each(SEEDS)('lets runs wait at engines and preempts them without reservations, seed %i', async seed => {
    const { engines } = await doTest({ isLoadPartial: false, seed })
    expect([engines.counts.waited > 0, engines.counts.preempted > 0, engines.counts.taken]).toEqual([true, true, 0])
  })

  it.each(SEEDS)('lets no run wait at an engine or be preempted, and brings each caller the first event within its objective or a refusal within half of it, seed %i', async seed => {
    const { engines, results } = await doTest({ seed })
    expect(engines.counts).toMatchObject({ waited: 0, preempted: 0, dropped: 0, expired: 0 })
    expect([engines.counts.taken > 0, engines.counts.refused > 0, engines.countHolds()]).toEqual([true, true, 0])
    const late = results.filter(({ kind, sink, answeredMs }) => answeredMs > KINDS[kind]!.objectiveMs * (sink.refusal === undefined ? 1 : 0.5))
    expect(late.map(({ kind, sink, answeredMs }) => [kind, sink.refusal?.reason, Math.round(answeredMs)])).toEqual([])
    expect(results.filter(({ sink }) => sink.endState !== 'complete' && sink.refusal?.reason !== 'overloaded')).toEqual([])
  })

  it('loses nothing but the runs of an engine that ends without notice, and leaves no reservation behind', async () => {
    const { engines, results } = await doTest({ prepare: (all, _, clock) => clock.startTimer(8000, () => all.endEngine('e0')) })
    const ends = new Set(results.map(({ sink }) => sink.refusal?.reason ?? sink.endState))
    expect([engines.counts.waited, engines.counts.preempted, engines.countHolds(), [...ends].sort()]).toEqual([0, 0, 0, ['brokenOff', 'complete', 'overloaded']])
  })

  it('answers each caller and drops each late reservation while the answers of an engine come late', async () => {
    const { engines, results } = await doTest({ prepare: all => all.answerTimesMs.set('e0', 600) })
    expect([engines.counts.dropped > 0, engines.countHolds(), results.filter(({ sink }) => sink.endState === undefined)]).toEqual([true, 0, []])
  })

  it('preempts only runs whose output exceeds its estimate', async () => {
    const { engines: { counts: exceeding } } = await doTest({ outputFactor: 1.5 })
    const { engines: { counts: within } } = await doTest({ outputFactor: 0.7 })
    expect([exceeding.preempted > 0, exceeding.waited, within.preempted]).toEqual([true, 0, 0])
  })
})
