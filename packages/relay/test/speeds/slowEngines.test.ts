import { SeededRandom, VirtualClock } from '@fescuespoke/common'
import { InMemoryNetwork } from '@fescuespoke/peers'
import { describe, expect, it } from 'vitest'
import { LoadExchange } from '../../src/loads/LoadExchange.js'
import { type RelayRoute, type ServiceProfile } from '../../src/model/RelayConfiguration.js'
import { runRelayedStream } from '../../src/requests/runRelayedStream.js'
import { createContext, createRoute, createTarget, createTestDependencies, type TestDependencies } from '../support/createTestDependencies.js'
import { PlayedEngines } from '../support/PlayedEngines.js'

/** Engines of the second deployment under demanding load, of which a quarter is slow. */
const SERVICE: ServiceProfile = { name: 'engines', engine: { slots: 24, memoryTokens: 26_896, linkMbps: 38_000, tokenBytes: 262_144, tokensPerEvent: 4, canMove: false } }
const ENGINES = ['e0', 'e1', 'e2', 'e3', 'e4', 'e5', 'e6', 'e7']
const SLOW = ['e0', 'e1']
const SLOW_SPEED = 0.55
const FAST_SPEED = 1.2
const INSTANCES = ['i0', 'i1', 'i2', 'i3']

/** Seeds of the moments at which requests arrive; the callers of all of them count together. */
const SEEDS = [9, 10, 11, 12, 13, 14]

/** Acceptable gap between two events, in milliseconds. */
const MAX_GAP_MS = 180

interface Kind {
  readonly route: RelayRoute
  readonly promptTokens: number
  readonly events: number
  /** Requests a second at each engine. */
  readonly perSecond: number
}

const LONG: Kind = { route: createRoute({ name: 'long', kind: 'stream', maxAttempts: 1, timeoutMs: 39_120, objectiveMs: 1806, maxGapMs: MAX_GAP_MS, priority: 1 }), promptTokens: 3079, events: 186, perSecond: 16.4 / 34 }
const SHORT: Kind = { route: createRoute({ name: 'short', kind: 'stream', maxAttempts: 1, timeoutMs: 6016, objectiveMs: 1504, maxGapMs: MAX_GAP_MS, priority: 0 }), promptTokens: 2550, events: 2, perSecond: 18.3 / 34 }

/** Time until speeds are learned, and time in which requests are counted, which is that of a burst, in milliseconds. */
const WARM_UP_MS = 12_000
const COUNTED_MS = 6500

interface Play {
  readonly clock: VirtualClock
  readonly engines: PlayedEngines
  readonly instances: readonly TestDependencies[]
  readonly startLastInstance: () => TestDependencies
}

interface Answer {
  readonly kind: Kind
  readonly receivedAtMs: number
  readonly requestId: string
  /** Clock readings of the events. */
  readonly eventTimes: number[]
}

interface Outcome {
  readonly slowShare: number
  /** Largest mean gap between events of the long streams of an engine, in milliseconds. */
  readonly largestMeanGapMs: number
  /** Callers whose first event came in time and whose gaps are acceptable on average. */
  readonly inTime: number
  readonly total: number
}

interface Options {
  readonly areSpeedsUsed?: boolean
  /** Factor of the long streams in the counted time. */
  readonly burst?: number
  readonly seed?: number
}

/** Lets an instance place as if all engines were equally fast. */
function ignoreSpeeds ({ speeds }: TestDependencies): void {
  speeds.getSpeed = () => 1
  speeds.getMaxRunning = () => Infinity
}

function createPlay (areSpeedsUsed: boolean): Play {
  const clock = VirtualClock.create()
  const network = InMemoryNetwork.create({ clock, random: SeededRandom.create(1) })
  const engines = new PlayedEngines(clock)
  for (const name of ENGINES) engines.speeds.set(name, SLOW.includes(name) ? SLOW_SPEED : FAST_SPEED)
  const startInstance = (name: string): TestDependencies => {
    const transport = network.createPeer(name)
    const instance = createTestDependencies({ clock, seed: INSTANCES.indexOf(name) + 1, client: engines.createClient(), transport })
    if (!areSpeedsUsed) ignoreSpeeds(instance)
    for (const engine of ENGINES) instance.table.updateTarget(createTarget(engine, { service: SERVICE.name, slots: 24 }))
    LoadExchange.create({ clock, transport, loads: instance.loads, speeds: instance.speeds, listPeers: () => INSTANCES.filter(peer => peer !== name), getSummary: () => ({ era: 1, revision: 1, version: 1 }), handlePeerSummary: () => undefined, onPeerLoad: () => instance.placer.notifyCapacity() }).run()
    return instance
  }
  return { clock, engines, instances: INSTANCES.slice(0, -1).map(startInstance), startLastInstance: () => startInstance(INSTANCES.at(-1)!) }
}

function sendRequest ({ clock }: Play, instance: TestDependencies, kind: Kind, requestId: string): Answer {
  const answer: Answer = { kind, receivedAtMs: clock.nowMs(), requestId, eventTimes: [] }
  const outputTokens = kind.events * 4
  const { context, sink, endController } = createContext(kind.route, SERVICE, { id: requestId, receivedAtMs: clock.nowMs(), size: { promptTokens: kind.promptTokens, maxOutputTokens: outputTokens, expectedOutputTokens: outputTokens } })
  sink.writeBytes = async () => { answer.eventTimes.push(clock.nowMs()) }
  clock.startTimer(kind.route.timeoutMs, () => endController.abort())
  runRelayedStream(instance, { ...context, deadlineAtMs: clock.nowMs() + kind.route.timeoutMs })
  return answer
}

/** Sends requests at random moments for some time. */
async function sendRequests (play: Play, durationMs: number, { burst = 1, seed = SEEDS[0]! }: Options = {}): Promise<Answer[]> {
  const random = SeededRandom.create(seed)
  const answers: Answer[] = []
  const startMs = play.clock.nowMs()
  for (const kind of [LONG, SHORT]) {
    const intervalMs = 1000 / (kind.perSecond * ENGINES.length * (kind === LONG ? burst : 1))
    for (let atMs = 0; atMs < durationMs; atMs += -Math.log(1 - random.nextFloat()) * intervalMs) {
      const id = `${kind.route.name}-${startMs}-${atMs}`
      const instance = play.instances[Math.floor(random.nextFloat() * play.instances.length)]!
      play.clock.startTimer(atMs, () => answers.push(sendRequest(play, instance, kind, id)))
    }
  }
  await play.clock.advance(durationMs)
  return answers
}

function computeMeanGapMs ({ eventTimes }: Answer): number {
  return eventTimes.length < 2 ? 0 : (eventTimes.at(-1)! - eventTimes[0]!) / (eventTimes.length - 1)
}

function isInTime (answer: Answer): boolean {
  const { kind: { route }, eventTimes, receivedAtMs } = answer
  return eventTimes.length > 0 && eventTimes[0]! - receivedAtMs <= route.objectiveMs && computeMeanGapMs(answer) <= MAX_GAP_MS
}

/** Plays a load and counts what the callers got after the speeds are learned. */
async function playLoad (options: Options): Promise<Outcome> {
  const play = createPlay(options.areSpeedsUsed ?? true)
  await sendRequests(play, WARM_UP_MS, { seed: options.seed })
  const answers = await sendRequests(play, COUNTED_MS, options)
  await play.clock.advance(LONG.route.timeoutMs)
  const meanGaps = ENGINES.map(engine => {
    const own = answers.filter(({ requestId, kind }) => kind === LONG && play.engines.engineByRequest.get(requestId) === engine).map(computeMeanGapMs)
    return own.reduce((sum, gapMs) => sum + gapMs, 0) / Math.max(1, own.length)
  })
  const atSlow = answers.filter(({ requestId }) => SLOW.includes(play.engines.engineByRequest.get(requestId) ?? ''))
  return { slowShare: atSlow.length / answers.length, largestMeanGapMs: Math.max(...meanGaps), inTime: answers.filter(isInTime).length, total: answers.length }
}

/** Plays a load several times and sums up what the callers got. */
async function doTest (options: Options): Promise<Outcome> {
  const outcomes: Outcome[] = []
  for (const seed of SEEDS) outcomes.push(await playLoad({ ...options, seed }))
  const sum = (getValue: (outcome: Outcome) => number): number => outcomes.reduce((total, outcome) => total + getValue(outcome), 0)
  return { slowShare: sum(({ slowShare }) => slowShare) / SEEDS.length, largestMeanGapMs: Math.max(...outcomes.map(({ largestMeanGapMs }) => largestMeanGapMs)), inTime: sum(({ inTime }) => inTime), total: sum(({ total }) => total) }
}

/** Share of the speed of all engines that the slow ones have. */
const SLOW_SPEED_SHARE = SLOW.length * SLOW_SPEED / (SLOW.length * SLOW_SPEED + (ENGINES.length - SLOW.length) * FAST_SPEED)

describe('engines of which a quarter is slow', () => {
  const loads: Array<[string, number]> = [['a steady load', 1], ['a wave of demand', 1.55], ['a burst', 2.3]]

  it.each(loads)('serve no fewer callers in time than with equal shares: %s', async (_, burst) => {
    const [bySpeed, equal] = [await doTest({ burst }), await doTest({ burst, areSpeedsUsed: false })]
    expect(bySpeed.total).toBe(equal.total)
    expect(bySpeed.inTime).toBeGreaterThanOrEqual(equal.inTime)
    expect(bySpeed.largestMeanGapMs).toBeLessThan(MAX_GAP_MS)
  })

  it.each(loads)('are used as far as it helps, and get fewer runs than with equal shares: %s', async (_, burst) => {
    const [bySpeed, equal] = [await doTest({ burst }), await doTest({ burst, areSpeedsUsed: false })]
    expect(bySpeed.slowShare).toBeGreaterThan(SLOW_SPEED_SHARE / 2)
    expect(bySpeed.slowShare).toBeLessThan(equal.slowShare)
    expect(bySpeed.slowShare).toBeLessThanOrEqual(SLOW_SPEED_SHARE)
  })

  it('are used like the others once they are fast', async () => {
    const play = createPlay(true)
    await sendRequests(play, WARM_UP_MS)
    for (const name of SLOW) play.engines.speeds.set(name, FAST_SPEED)
    await sendRequests(play, 3 * WARM_UP_MS)
    expect(SLOW.map(name => play.instances.map(({ speeds }) => speeds.getSpeed(createTarget(name))))).toEqual(SLOW.map(() => [1, 1, 1]))
  })

  it('are known to an instance that has just started', async () => {
    const play = createPlay(true)
    await sendRequests(play, WARM_UP_MS)
    const { speeds } = play.startLastInstance()
    await sendRequests(play, 2000)
    for (const name of SLOW) expect(speeds.getSpeed(createTarget(name))).toBeLessThan(1 / 1.25)
    for (const name of ENGINES.filter(name => !SLOW.includes(name))) expect(speeds.getSpeed(createTarget(name))).toBe(1)
  })
})
