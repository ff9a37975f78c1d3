import { pickIndex, type Random, SeededRandom } from '@fescuespoke/common'
import { type RelayRoute, type ServiceProfile } from '../../src/model/RelayConfiguration.js'
import { type RelayTarget } from '../../src/model/RelayTarget.js'
import { RouteTable } from '../../src/model/RouteTable.js'
import { RelayService } from '../../src/requests/RelayService.js'
import { type RelayRequest } from '../../src/requests/RelayRequest.js'
import { type AttemptOptions } from '../../src/targets/RelayTargetClient.js'
import { CALLS, createConfiguration, createRequest, createRoute, createTarget, createTestDependencies, type TestDependencies } from './createTestDependencies.js'
import { EngineTroubles, type PlannedEvent, type TroubleOptions } from './EngineTroubles.js'
import { FakeSink } from './FakeSink.js'
import { type AnswerStep, ScriptedAttempt } from './FakeTargetClient.js'

/** A log-normal value with a rare tail: each value in `tailShare` of them is larger by a factor. */
export interface Spread {
  readonly mean: number
  readonly spread: number
  readonly max: number
  readonly tailShare?: number
  readonly tailFactor?: number
}

/** How many streams fall silent, and the range of the time for which they do, in milliseconds. */
export interface Silences {
  readonly share: number
  readonly rangeMs: readonly [number, number]
}

/** Calls, streams and engines of a deployment, as one of its instances sees them. */
export interface StopLoad {
  readonly workMs: Spread
  /** Time limit of calls, in milliseconds. */
  readonly callLimitMs: number
  readonly longEvents: Spread
  readonly shortEvents: Spread
  readonly engines: number
  readonly slots: number
  /** Speeds of the engines in turn; all are ordinary by default. */
  readonly speeds?: readonly number[]
  /** Factor on the gaps between events in some spans of time; 1 by default. */
  readonly noiseFactor?: number
  /** Engines that fall silent once during some of the short streams, after their first event; by default, none does. */
  readonly silences?: Silences
  /** Number of engines to which a short stream may be sent; 1 by default. Streams with more may be resumed. */
  readonly shortAttempts?: number
  /** What happens to engines during the stop; by default, nothing does. */
  readonly troubles?: TroubleOptions
  /** Requests a second of some kinds that differ from the usual ones. */
  readonly rates?: Partial<Readonly<Record<PlayedKind, number>>>
}

/** Kinds of played requests. */
export type PlayedKind = 'idempotent' | 'once' | 'short' | 'long'

/** What became of a request that arrived during the stop. `unclear`: 502. `cut`: its answer had begun. */
export type PlayedEnd = 'served' | 'refused' | 'unclear' | 'cut' | 'other'

/** A request that arrived during the stop. */
export interface PlayedRequest {
  readonly kind: PlayedKind
  /** Time from the start of the stop to its arrival, and from its arrival to the end of the stop, in milliseconds. */
  readonly arrivedAfterMs: number
  readonly leftMs: number
  /** Time that its answer usually takes without silences, in milliseconds. */
  readonly usualMs: number
  /** Time that the longest answer that its caller allows usually takes, in milliseconds; that of a call is its own time. */
  readonly usualLongestMs: number
  readonly end: PlayedEnd
  /** Whether it was lost by the rule for stops: its answer was cut off, and its time was not over. */
  readonly isLost: boolean
}

interface Draw {
  readonly kind: PlayedKind
  readonly workMs: number
  readonly events: number
}

const GRACE_MS = 8000

/** Separates the random numbers of troubles from those of the load. */
const TROUBLE_SEED_OFFSET = 1000

/** The rule excuses a request that was sent up to this time after the signal if it was cut off in the last part of the grace period, in milliseconds. */
const EXCUSED_AFTER_MS = 3000
const LAST_PART_MS = GRACE_MS / 6

const WARM_UP_MS = 20_000

/** Requests a second at the instance. */
const RATES: Readonly<Record<PlayedKind, number>> = { idempotent: 8, once: 20, short: 5, long: 1 }

const STREAM_LIMITS_MS = { short: 6000, long: 39_000 }
const PROMPT_TOKENS = 2200
const TOKENS_PER_EVENT = 4
const ESTIMATE_SPREAD = 1.2

/** Steps of engines, each for one token of all runs, and the runs of other instances at each engine. */
const STEP_MS = 7
const STEP_MS_PER_RUN = 0.12
const OTHER_RUNS = 8
const PROMPT_TOKENS_PER_MS = 14

const NOISE_SHARE = 0.15
const NOISE_SPAN_MS = 600

/** Plays the load through the whole stop of one instance, and returns what became of the requests that arrived during the stop. */
export async function playStop (load: StopLoad, seed: number): Promise<PlayedRequest[]> {
  return await StopPlay.create(load, seed).run()
}

class StopPlay {
  static create (load: StopLoad, seed: number): StopPlay {
    const troubles = EngineTroubles.create(load.troubles ?? {}, SeededRandom.create(seed + TROUBLE_SEED_OFFSET), WARM_UP_MS, GRACE_MS)
    return new StopPlay(load, SeededRandom.create(seed), createTestDependencies({ graceMs: GRACE_MS, seed }), troubles)
  }

  private readonly draws = new Map<string, Draw>()
  private readonly runsByEngine = new Map<string, number>()
  private readonly played: Array<Promise<PlayedRequest>> = []
  private readonly service: RelayService

  private constructor (private readonly load: StopLoad, private readonly random: Random, private readonly dependencies: TestDependencies, private readonly troubles: EngineTroubles) {
    const { table, client } = dependencies
    const engines: ServiceProfile = { name: 'engines', engine: { slots: load.slots, memoryTokens: 1_000_000, linkMbps: 1000, tokenBytes: 1000, tokensPerEvent: TOKENS_PER_EVENT, canMove: false } }
    const routes = RouteTable.create(createConfiguration(createRoutes(load), { services: new Map([[CALLS.name, CALLS], [engines.name, engines]]) }))
    for (let index = 0; index < load.engines; index++) this.addEngine(createTarget(`e${index}`, { service: engines.name, slots: load.slots }), index)
    for (const name of ['c0', 'c1', 'c2']) table.updateTarget(createTarget(name, { service: CALLS.name }))
    client.sendRequest = (target, options) => new ScriptedAttempt(dependencies.clock, this.createAnswer(target.name, options), options, () => undefined)
    this.service = RelayService.create({ dependencies, getRoutes: () => routes, getPauseMs: () => 0, isViewStale: () => false })
  }

  async run (): Promise<PlayedRequest[]> {
    const { clock, drain } = this.dependencies
    this.scheduleRequests(WARM_UP_MS, () => undefined)
    await clock.advance(WARM_UP_MS)
    drain.start()
    const endAtMs = clock.nowMs() + drain.getTimeLeftMs()
    this.scheduleRequests(drain.getTimeLeftMs(), played => this.played.push(played))
    await clock.advance(drain.getTimeLeftMs())
    drain.end()
    this.service.stop()
    await clock.advance(endAtMs - clock.nowMs() + 100)
    return await Promise.all(this.played)
  }

  /** Adds an engine, which may leave during the stop. */
  private addEngine (engine: RelayTarget, index: number): void {
    const { clock, table } = this.dependencies
    const { noticeAtMs, endAtMs } = this.troubles.plan(engine.name, index)
    table.updateTarget(engine)
    if (noticeAtMs === Infinity) return
    clock.startTimer(noticeAtMs, () => table.updateTarget({ ...engine, phase: 'leaving', sequence: engine.sequence + 1 }))
    clock.startTimer(endAtMs, () => table.handleRemoval(engine.name))
  }

  private scheduleRequests (durationMs: number, add: (played: Promise<PlayedRequest>) => void): void {
    for (const kind of Object.keys(RATES) as PlayedKind[]) {
      for (let atMs = this.drawPause(kind); atMs < durationMs; atMs += this.drawPause(kind)) {
        this.dependencies.clock.startTimer(atMs, () => add(this.serve(kind, atMs, durationMs - atMs)))
      }
    }
  }

  private drawPause (kind: PlayedKind): number {
    return -Math.log(1 - this.random.nextFloat()) * 1000 / (this.load.rates?.[kind] ?? RATES[kind])
  }

  private async serve (kind: PlayedKind, arrivedAfterMs: number, leftMs: number): Promise<PlayedRequest> {
    const draw = { kind, workMs: this.drawValue(this.load.workMs), events: Math.max(1, Math.round(this.drawValue(this.getEvents(kind)))) }
    const id = `q${this.draws.size}`
    this.draws.set(id, draw)
    const sink = FakeSink.create()
    const { clock } = this.dependencies
    const receivedAtMs = clock.nowMs()
    await this.service.serve(this.createRequest(id, draw), sink)
    const end = classifyEnd(sink)
    const isTimeOver = !isCall(kind) && clock.nowMs() - receivedAtMs >= STREAM_LIMITS_MS[kind]
    const isExcused = arrivedAfterMs <= EXCUSED_AFTER_MS && clock.nowMs() >= WARM_UP_MS + GRACE_MS - LAST_PART_MS
    return { kind, arrivedAfterMs, leftMs, usualMs: this.computeUsualMs(draw), usualLongestMs: this.computeUsualMs({ ...draw, events: this.getEvents(kind).max }) + this.getLongestSilenceMs(kind), end, isLost: end === 'cut' && !isTimeOver && !isExcused }
  }

  private createRequest (id: string, { kind, events }: Draw): RelayRequest {
    const estimate = Math.max(1, Math.round(events * TOKENS_PER_EVENT * Math.exp(ESTIMATE_SPREAD * this.drawNormal())))
    const size = isCall(kind) ? undefined : { promptTokens: PROMPT_TOKENS, maxOutputTokens: this.getEvents(kind).max * TOKENS_PER_EVENT, expectedOutputTokens: estimate }
    return createRequest({ id, path: `/${kind}/x`, receivedAtMs: this.dependencies.clock.nowMs(), size })
  }

  private createAnswer (target: string, { request: { id }, lastEventId = '0' }: AttemptOptions): { afterMs: number, steps: AnswerStep[], isEventStream: boolean } {
    const { kind, workMs, events } = this.draws.get(id)!
    if (isCall(kind)) return { afterMs: workMs, steps: ['answer', 'END'], isEventStream: false }
    const runs = this.runsByEngine.get(target) ?? 0
    const speed = this.getSpeed(target)
    const firstMs = this.computeFirstMs() * (0.7 + 0.6 * this.random.nextFloat()) / speed
    const firstEvent = Number(lastEventId) + 1
    const gaps = Array.from({ length: events - firstEvent }, this.createGapSource(runs, speed))
    if (kind === 'short') this.addSilence(gaps)
    this.countRun(target, firstMs + gaps.reduce((sum, gapMs) => sum + gapMs, 0))
    const planned = [0, ...gaps].map((pauseMs, index) => ({ pauseMs, text: createEvent(firstEvent + index) }))
    return this.createStreamAnswer(target, firstMs, planned)
  }

  /** Returns the answer of an engine, which sends its head with the first event. */
  private createStreamAnswer (target: string, firstMs: number, events: readonly PlannedEvent[]): { afterMs: number, steps: AnswerStep[], isEventStream: boolean, error?: 'lost' } {
    const nowMs = this.dependencies.clock.nowMs()
    const [first, ...others] = this.addTroubleSilence(events, nowMs)
    const [afterMs, firstStep, ...steps] = this.troubles.createSteps(target, nowMs, [{ ...first!, pauseMs: firstMs + this.troubles.drawQueueMs(nowMs) }, ...others])
    return { afterMs: afterMs as number, steps: [firstStep!, ...steps], isEventStream: true, ...typeof firstStep === 'string' ? {} : { error: 'lost' } }
  }

  /** Lets a run fall silent after its first event, as planned for the stop. */
  private addTroubleSilence (events: readonly PlannedEvent[], nowMs: number): readonly PlannedEvent[] {
    const silenceMs = this.troubles.drawSilenceMs(nowMs)
    return events.map((event, index) => index === 1 ? { ...event, pauseMs: event.pauseMs + silenceMs } : event)
  }

  private getLongestSilenceMs (kind: PlayedKind): number {
    return kind === 'short' ? this.load.silences?.rangeMs[1] ?? 0 : 0
  }

  /** Makes one gap of some streams longer by the time for which the engine is silent. */
  private addSilence (gaps: number[]): void {
    const { silences } = this.load
    if (silences === undefined || gaps.length === 0 || this.random.nextFloat() >= silences.share) return
    const [shortestMs, longestMs] = silences.rangeMs
    gaps[pickIndex(this.random, gaps.length)]! += shortestMs + this.random.nextFloat() * (longestMs - shortestMs)
  }

  /** Returns a function that returns the gaps of one run, which are longer in some spans of time. */
  private createGapSource (runs: number, speed: number): () => number {
    const gapMs = this.computeGapMs(runs) / speed
    const { noiseFactor = 1 } = this.load
    let factor = 1
    let spanLeftMs = 0
    return () => {
      if (spanLeftMs <= 0) {
        factor = this.random.nextFloat() < NOISE_SHARE ? noiseFactor : 1
        spanLeftMs = NOISE_SPAN_MS
      }
      spanLeftMs -= gapMs * factor
      return gapMs * factor
    }
  }

  private countRun (target: string, durationMs: number): void {
    this.runsByEngine.set(target, (this.runsByEngine.get(target) ?? 0) + 1)
    this.dependencies.clock.startTimer(durationMs, () => this.runsByEngine.set(target, this.runsByEngine.get(target)! - 1))
  }

  private computeUsualMs ({ kind, workMs, events }: Draw): number {
    return isCall(kind) ? workMs : this.computeFirstMs() + (events - 1) * this.computeGapMs(0)
  }

  private computeFirstMs (): number {
    return PROMPT_TOKENS / PROMPT_TOKENS_PER_MS
  }

  private computeGapMs (runs: number): number {
    return TOKENS_PER_EVENT * (STEP_MS + STEP_MS_PER_RUN * (OTHER_RUNS + runs))
  }

  private getSpeed (target: string): number {
    const { speeds = [1] } = this.load
    return speeds[Number(target.slice(1)) % speeds.length]!
  }

  private getEvents (kind: PlayedKind): Spread {
    return kind === 'short' ? this.load.shortEvents : this.load.longEvents
  }

  private drawValue ({ mean, spread, max, tailShare = 0, tailFactor = 1 }: Spread): number {
    const factor = this.random.nextFloat() < tailShare ? tailFactor : 1
    return Math.min(max, mean * Math.exp(spread * this.drawNormal() - spread ** 2 / 2) * factor)
  }

  private drawNormal (): number {
    return Math.sqrt(-2 * Math.log(1 - this.random.nextFloat())) * Math.cos(2 * Math.PI * this.random.nextFloat())
  }
}

function createRoutes ({ callLimitMs, shortAttempts = 1 }: StopLoad): RelayRoute[] {
  const engines = [{ service: 'engines', weight: 1 }]
  return [
    createRoute({ name: 'idempotent', prefix: '/idempotent/', kind: 'idempotent', timeoutMs: callLimitMs, maxAttempts: 2 }),
    createRoute({ name: 'once', prefix: '/once/', kind: 'once', timeoutMs: callLimitMs, maxAttempts: 1 }),
    createRoute({ name: 'short', prefix: '/short/', kind: 'stream', timeoutMs: STREAM_LIMITS_MS.short, objectiveMs: 1500, maxAttempts: shortAttempts, isResumable: shortAttempts > 1, services: engines }),
    createRoute({ name: 'long', prefix: '/long/', kind: 'stream', timeoutMs: STREAM_LIMITS_MS.long, objectiveMs: 1800, maxAttempts: 1, services: engines })
  ]
}

function classifyEnd ({ refusal, endState }: FakeSink): PlayedEnd {
  if (endState === 'complete') return 'served'
  if (endState === 'brokenOff') return 'cut'
  if (refusal?.status === 502) return 'unclear'
  return refusal?.reason === 'stopping' ? 'refused' : 'other'
}

function isCall (kind: PlayedKind): kind is 'idempotent' | 'once' {
  return kind === 'idempotent' || kind === 'once'
}

function createEvent (id: number): string {
  return `id: ${id}\ndata: x\n\n`
}
