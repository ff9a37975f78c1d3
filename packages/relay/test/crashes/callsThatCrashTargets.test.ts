import { pickIndex, type Random, SeededRandom } from '@fescuespoke/common'
import { describe, expect, it } from 'vitest'
import { type CallIdentity, CrashFleet, IDEMPOTENT_PREFIX } from '../support/CrashFleet.js'

interface Options {
  readonly seed: number
  readonly instanceCount: number
  readonly targetCount: number
  /** Number of calls that crash targets. */
  readonly crashingCount?: number
  /** Whether such calls are idempotent. */
  readonly isIdempotent?: boolean
  /** Sound calls in a second. */
  readonly soundPerSecond: number
  /** Times at which a single target and half of all targets crash for another reason, in milliseconds. */
  readonly crashesAtMs?: readonly number[]
  readonly halfCrashesAtMs?: readonly number[]
  /** Times at which connections to a target are reset, in milliseconds. */
  readonly resetsAtMs?: readonly number[]
  /** Times at which one instance after the other restarts, in milliseconds. */
  readonly restartsAtMs?: readonly number[]
  /** Share of the messages between instances that are lost. */
  readonly lossRate?: number
  /** Time until which calls come, in milliseconds. */
  readonly lastAtMs?: number
}

interface Outcome {
  /** By call that crashes targets: how often it reached targets after it had to be known. */
  readonly lateArrivals: number[]
  /** Number of attempts of sound calls that were refused because of crashes. */
  readonly soundRefusals: number
  /** Share of the sound calls that were answered, once all calls that crash targets had to be known. */
  readonly answeredLater: number
}

/** A sound call, and what each attempt of its caller brought. */
interface SoundCall {
  readonly atMs: number
  readonly outcomes: readonly string[]
}

/** Time from the third crash under a call until it has to be known everywhere, in milliseconds. */
const SPREAD_MS = 3000

/** Times between which calls that crash targets come, and time after it, in milliseconds. */
const FIRST_AT_MS = 5000
const LAST_AT_MS = 45_000
const MARGIN_MS = 5000

/** Maximum time until such a call comes for the first time, in milliseconds. */
const MAX_FIRST_DELAY_MS = 2000

/** Minimum and maximum time between two comings of a call that crashes targets, in milliseconds. */
const RETURN_RANGE_MS = [3000, 6000] as const

/** Time after which targets that crashed are back, in milliseconds. */
const RECOVERY_MS = 5000

/** Sends sound calls all the time, and calls that crash each target and come again. */
async function doTest (options: Options): Promise<Outcome> {
  const { seed, instanceCount, targetCount, crashingCount = 1, isIdempotent = true, lossRate, lastAtMs = LAST_AT_MS } = options
  const random = SeededRandom.create(seed)
  const prefix = isIdempotent ? IDEMPOTENT_PREFIX : '/once/'
  const crashing = Array.from({ length: crashingCount }, (_, index): CallIdentity => ({ method: 'POST', path: `${prefix}bad${index}`, key: 'k', body: Buffer.from('bad') }))
  const fleet = CrashFleet.create({ instanceCount, engineCount: 0, plainCount: targetCount, seed, lossRate, isCrashingCall: call => crashing.some(other => isSameCall(call, other)) })
  const sound = scheduleSound(fleet, random, crashing[0]!, options)
  for (const call of crashing) scheduleComings(fleet, random, call, lastAtMs)
  scheduleFaults(fleet, options)
  await fleet.clock.advance(lastAtMs + MARGIN_MS)
  const crashTimes = crashing.map(({ path }) => fleet.crashes.filter(crash => crash.path === path).map(({ atMs }) => atMs))
  // A call that is blamed before its third crash, for those of others, has to be known no later.
  const knownAtMs = crashTimes.map(times => (times[2] ?? times.at(-1) ?? FIRST_AT_MS) + SPREAD_MS)
  const later = sound.filter(({ atMs }) => atMs >= Math.max(...knownAtMs) + RECOVERY_MS)
  return {
    lateArrivals: crashing.map((call, index) => fleet.listArrivals(other => isSameCall(call, other), SPREAD_MS).filter(atMs => atMs > knownAtMs[index]!).length),
    soundRefusals: sound.flatMap(({ outcomes }) => outcomes).filter(outcome => outcome.endsWith('crashesEngines')).length,
    answeredLater: later.filter(({ outcomes }) => outcomes.includes('complete')).length / later.length
  }
}

function isSameCall (call: CallIdentity, { method, path, key, body }: CallIdentity): boolean {
  return call.method === method && call.path === path && call.key === key && call.body.equals(body)
}

/** Schedules sound calls that share path, caller or body with one that crashes targets, and a few that come often; returns what their callers get. */
function scheduleSound (fleet: CrashFleet, random: Random, { path }: CallIdentity, { soundPerSecond, lastAtMs = LAST_AT_MS }: Options): SoundCall[] {
  const prefix = path.slice(0, path.lastIndexOf('/') + 1)
  const sound: SoundCall[] = []
  const send = async (): Promise<void> => {
    const call = pickSoundCall(random, path, prefix)
    const atMs = fleet.clock.nowMs()
    sound.push({ atMs, outcomes: await fleet.sendCall(call) })
  }
  for (let atMs = 0; atMs < lastAtMs; atMs += 2000 / soundPerSecond * random.nextFloat()) fleet.clock.startTimer(atMs, () => { send() })
  return sound
}

function pickSoundCall (random: Random, path: string, prefix: string): CallIdentity {
  const calls: CallIdentity[] = [
    { method: 'POST', path, key: 'k', body: Buffer.from(`b${pickIndex(random, 1000)}`) },
    { method: 'POST', path, key: `k${pickIndex(random, 5)}`, body: Buffer.from('bad') },
    { method: 'POST', path: `${prefix}p${pickIndex(random, 1000)}`, key: 'k', body: Buffer.from('bad') },
    { method: 'GET', path: `${prefix}status`, key: 'k', body: Buffer.alloc(0) },
    { method: 'GET', path: `${IDEMPOTENT_PREFIX}status`, key: `k${pickIndex(random, 20)}`, body: Buffer.alloc(0) },
    { method: 'GET', path: `/once/${pickIndex(random, 1000)}`, key: 'k', body: Buffer.alloc(0) }
  ]
  return calls[pickIndex(random, calls.length)]!
}

function scheduleComings (fleet: CrashFleet, random: Random, call: CallIdentity, lastAtMs: number): void {
  const [shortestMs, longestMs] = RETURN_RANGE_MS
  for (let atMs = FIRST_AT_MS + MAX_FIRST_DELAY_MS * random.nextFloat(); atMs < lastAtMs; atMs += shortestMs + random.nextFloat() * (longestMs - shortestMs)) {
    fleet.clock.startTimer(atMs, () => { fleet.sendCall(call) })
  }
}

function scheduleFaults (fleet: CrashFleet, { instanceCount, targetCount, crashesAtMs = [], halfCrashesAtMs = [], resetsAtMs = [], restartsAtMs = [] }: Options): void {
  const { clock } = fleet
  for (const atMs of crashesAtMs) clock.startTimer(atMs, () => fleet.injectFault('crash'))
  for (const atMs of halfCrashesAtMs) clock.startTimer(atMs, () => fleet.injectFault('crash', Math.ceil(targetCount / 2)))
  for (const atMs of resetsAtMs) clock.startTimer(atMs, () => fleet.injectFault('reset'))
  for (const [index, atMs] of restartsAtMs.entries()) clock.startTimer(atMs, () => fleet.restartInstance(index % instanceCount))
}

const SMALL = { instanceCount: 6, targetCount: 6, soundPerSecond: 40 } as const
const FEW_TARGETS = { instanceCount: 6, targetCount: 3, soundPerSecond: 40 } as const
const LARGE = { instanceCount: 80, targetCount: 60, soundPerSecond: 120, lastAtMs: 25_000 } as const

/** Maximum number of times that a call which crashes targets may reach targets once it has to be known. */
const MAX_LATE_ARRIVALS = 3

describe('calls that crash targets', () => {
  it.each<readonly [string, number, Omit<Options, 'seed'>]>([
    ['idempotent', 1, SMALL],
    ['idempotent', 2, FEW_TARGETS],
    ['not idempotent', 3, { ...SMALL, isIdempotent: false }],
    ['not idempotent, few targets', 4, { ...FEW_TARGETS, isIdempotent: false }],
    ['several', 5, { ...SMALL, crashingCount: 3 }],
    ['several, few targets', 6, { ...FEW_TARGETS, crashingCount: 3 }],
    ['several that are not idempotent', 7, { ...FEW_TARGETS, crashingCount: 3, isIdempotent: false }],
    ['five, few targets', 203, { ...FEW_TARGETS, crashingCount: 5 }],
    ['two beside many sound ones, few targets', 207, { ...FEW_TARGETS, crashingCount: 2, soundPerSecond: 150 }],
    ['beside other crashes and resets', 8, { ...SMALL, crashesAtMs: [6000, 9000, 14_000], halfCrashesAtMs: [5500, 20_000], resetsAtMs: [7000, 8000, 12_000] }],
    ['lost messages between instances', 9, { ...SMALL, lossRate: 0.2 }],
    ['instances that restart one after the other', 10, { ...SMALL, restartsAtMs: [20_000, 24_000, 28_000, 32_000, 36_000, 40_000, 41_000, 44_000] }],
    ['five minutes, with trials', 12, { ...SMALL, soundPerSecond: 4, crashingCount: 2, lastAtMs: 300_000 }],
    ['many instances', 11, { ...LARGE, crashingCount: 2 }]
  ])('do not reach targets again and again (%s, seed %i)', async (_, seed, options) => {
    const { lateArrivals, soundRefusals, answeredLater } = await doTest({ ...options, seed })
    expect(Math.max(...lateArrivals)).toBeLessThanOrEqual(MAX_LATE_ARRIVALS)
    expect(soundRefusals).toBe(0)
    expect(answeredLater).toBeGreaterThanOrEqual(0.99)
  }, 120_000)
})
