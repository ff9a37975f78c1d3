import { pickIndex, type Random, SeededRandom, VirtualClock } from '@fescuespoke/common'
import { type RelayRoute, type ServiceProfile } from '../../src/model/RelayConfiguration.js'
import { type LogFields } from '../../src/logs/DecisionLog.js'
import { STOP_REASON } from '../../src/requests/RelayContext.js'
import { runRelayedStream } from '../../src/requests/runRelayedStream.js'
import { createContext, createRoute, createTarget, createTestDependencies, type TestDependencies } from './createTestDependencies.js'
import { type FakeSink } from './FakeSink.js'
import { type EngineFailures, LeavingEngines, type ObservedRun } from './LeavingEngines.js'

/** Load and failures of a play. */
export interface LeavingPlayOptions {
  readonly failures: EngineFailures
  /** Share of the time for which all engines are full. */
  readonly crowdedShare: number
  /** Number of engines that leave at once. */
  readonly leavingAtOnce: number
  /** Attempts that the instance may add in ten seconds, independent of its requests. */
  readonly extraAttempts: number
  /** Whether the instance knows only a part of the loads, so that it reserves capacity at engines. */
  readonly isLoadPartial?: boolean
  /** Time at which the instance begins to stop, in milliseconds; by default it does not. */
  readonly stopsAtMs?: number
}

/** A stream that this system broke off with time left. */
export interface BrokenStream {
  readonly requestId: string
  readonly isResumable: boolean
  readonly atMs: number
  readonly timeLeftMs: number
  /** What the log tells of the reason. */
  readonly cause: string
  readonly lines: readonly string[]
}

/** What callers and engines have seen. */
export interface LeavingPlayResult {
  readonly counts: Readonly<Record<string, number>>
  readonly broken: readonly BrokenStream[]
  /** Streams with an event that is missing or comes twice. */
  readonly disordered: readonly string[]
  /** Requests that ran on more engines than their route allows, apart from engines that have ended. */
  readonly excessive: readonly string[]
  /** Requests that an engine still executed while another one went on with them. */
  readonly doubled: readonly string[]
  /** Most attempts beyond the first of each request in ten seconds, and beyond what the budget allows. */
  readonly overBudget: number
}

const DURATION_MS = 30_000
const SHORT_LIMIT_MS = 6000
const GRACE_MS = 8000
const BUDGET_WINDOW_MS = 10_000
const BUDGET_RATIO = 0.2

const ENGINE_COUNT = 6
const LEAVE_INTERVAL_MS = 3300
const FIRST_LEAVE_MS = 1500
const NOTICE_MS = [1540, 2100] as const
const NEWS_LAG_MS = 100

/** Streams a second at the instance, by whether they may be resumed. */
const SHORT_RATE = 6
const LONG_RATE = 0.5

const SLOTS = 16
const ENGINES: ServiceProfile = { name: 'engines', engine: { slots: SLOTS, memoryTokens: 1_000_000, linkMbps: 24_000, tokenBytes: 163_840, tokensPerEvent: 4, canMove: true, maxHoldMs: 2000 } }
const SHORT = createRoute({ name: 'short', kind: 'stream', timeoutMs: SHORT_LIMIT_MS, objectiveMs: 1500, maxGapMs: 180, maxAttempts: 2, isResumable: true, priority: 0 })
const LONG = createRoute({ name: 'long', kind: 'stream', timeoutMs: 39_000, objectiveMs: 1800, maxGapMs: 180, maxAttempts: 1, isResumable: false })

const CROWD_CHECK_MS = 500

/** Time in which an engine learns that a run goes on elsewhere, in milliseconds. */
const HANDOVER_MS = 400

/** Plays streams at one instance while engines leave one after the other, and returns what callers and engines have seen. */
export async function playLeavingEngines (options: LeavingPlayOptions, seed: number): Promise<LeavingPlayResult> {
  return await LeavingPlay.create(options, seed).run()
}

interface PlayedStream {
  readonly route: RelayRoute
  readonly sink: FakeSink
  readonly totalEvents: number
  readonly startedAtMs: number
  endedAtMs?: number
  readonly lines: Array<{ readonly text: string, readonly decision: string, readonly fields: LogFields }>
}

class LeavingPlay {
  static create (options: LeavingPlayOptions, seed: number): LeavingPlay {
    const clock = VirtualClock.create()
    const random = SeededRandom.create(seed)
    const engines = LeavingEngines.create(clock, random, options.failures)
    const dependencies = createTestDependencies({ clock, seed, client: engines, extra: options.extraAttempts, graceMs: GRACE_MS, isLoadPartial: () => options.isLoadPartial === true })
    return new LeavingPlay(options, random, engines, dependencies)
  }

  private readonly streams = new Map<string, PlayedStream>()
  private readonly stopFunctions = new Set<() => void>()
  private readonly broken: BrokenStream[] = []
  private engineCount = 0
  private crowdedUntilMs = 0

  private constructor (private readonly options: LeavingPlayOptions, private readonly random: Random, private readonly engines: LeavingEngines, private readonly dependencies: TestDependencies) {
    const { log } = dependencies
    log.recordDecision = (id, decision, fields = {}) => this.recordLine(id, decision, fields)
  }

  async run (): Promise<LeavingPlayResult> {
    const { clock, drain } = this.dependencies
    for (let index = 0; index < ENGINE_COUNT; index++) this.startEngine()
    for (let atMs = FIRST_LEAVE_MS; atMs < DURATION_MS; atMs += LEAVE_INTERVAL_MS) clock.startTimer(atMs, () => this.leaveEngines())
    for (let atMs = 0; atMs < DURATION_MS; atMs += CROWD_CHECK_MS) clock.startTimer(atMs, () => this.updateCrowd())
    this.scheduleStreams(SHORT, SHORT_RATE)
    this.scheduleStreams(LONG, LONG_RATE)
    const { stopsAtMs } = this.options
    if (stopsAtMs !== undefined) {
      clock.startTimer(stopsAtMs, () => drain.start())
      clock.startTimer(stopsAtMs + GRACE_MS - 300, () => this.stopFunctions.forEach(stop => stop()))
    }
    await clock.advance(DURATION_MS + LONG.timeoutMs)
    return this.summarize()
  }

  private startEngine (): void {
    const name = `e${this.engineCount}`
    const zone = `z${this.engineCount % 3 + 1}`
    this.engineCount++
    this.engines.start(name, zone)
    this.dependencies.table.updateTarget(createTarget(name, { service: ENGINES.name, slots: SLOTS, availabilityZone: zone }))
    this.updateLoads()
  }

  private leaveEngines (): void {
    for (let index = 0; index < this.options.leavingAtOnce; index++) this.leaveEngine()
  }

  private leaveEngine (): void {
    const { clock, table } = this.dependencies
    const serving = this.engines.listServing()
    const name = serving[pickIndex(this.random, serving.length)]!
    const zone = table.getTracked(name)!.target.availabilityZone
    const lagMs = this.random.nextFloat() * NEWS_LAG_MS
    this.engines.leave(name)
    clock.startTimer(lagMs, () => table.updateTarget(createTarget(name, { service: ENGINES.name, slots: SLOTS, availabilityZone: zone, phase: 'leaving' })))
    const noticeMs = NOTICE_MS[0] + this.random.nextFloat() * (NOTICE_MS[1] - NOTICE_MS[0])
    clock.startTimer(noticeMs, () => {
      this.engines.end(name)
      this.startEngine()
    })
    clock.startTimer(noticeMs + lagMs, () => table.handleRemoval(name))
  }

  /** Fills all engines for a while, as other instances do that use them. */
  private updateCrowd (): void {
    const { clock } = this.dependencies
    if (clock.nowMs() >= this.crowdedUntilMs && this.random.nextFloat() < this.options.crowdedShare) this.crowdedUntilMs = clock.nowMs() + CROWD_CHECK_MS * (1 + pickIndex(this.random, 3))
    this.updateLoads()
  }

  private updateLoads (): void {
    const { clock, loads } = this.dependencies
    const isFull = clock.nowMs() < this.crowdedUntilMs
    const serving = this.engines.listServing()
    for (const name of serving) this.engines.setFull(name, isFull)
    loads.updatePeer('peer', new Map(serving.map(name => [name, { running: isFull ? SLOTS : 1, tokens: 0 }])))
  }

  private scheduleStreams (route: RelayRoute, rate: number): void {
    const drawPauseMs = (): number => -Math.log(1 - this.random.nextFloat()) * 1000 / rate
    for (let atMs = drawPauseMs(); atMs < DURATION_MS; atMs += drawPauseMs()) this.dependencies.clock.startTimer(atMs, () => this.startStream(route))
  }

  private startStream (route: RelayRoute): void {
    const { clock } = this.dependencies
    const id = `${route.name}${this.streams.size}`
    const totalEvents = route === SHORT ? 2 + pickIndex(this.random, 13) : 100 + pickIndex(this.random, 300)
    const startedAtMs = clock.nowMs()
    const size = { promptTokens: 2200, maxOutputTokens: totalEvents * 4 }
    const { context, sink, endController } = createContext(route, ENGINES, { id, size, body: Buffer.from(String(totalEvents)), receivedAtMs: startedAtMs })
    const stream: PlayedStream = { route, sink, totalEvents, startedAtMs, lines: [] }
    this.streams.set(id, stream)
    clock.startTimer(route.timeoutMs, () => endController.abort())
    const stop = (): void => endController.abort(STOP_REASON)
    this.stopFunctions.add(stop)
    runRelayedStream(this.dependencies, { ...context, deadlineAtMs: startedAtMs + route.timeoutMs }).finally(() => {
      stream.endedAtMs = clock.nowMs()
      this.stopFunctions.delete(stop)
    })
  }

  private recordLine (id: string, decision: string, fields: LogFields): void {
    const stream = this.streams.get(id)
    if (stream === undefined) return
    const atMs = this.dependencies.clock.nowMs()
    stream.lines.push({ decision, fields, text: `${Math.round(atMs - stream.startedAtMs)} ${decision} ${JSON.stringify(fields)}` })
    if (decision !== 'broken off' || fields['outcome'] !== 'brokenOff') return
    const timeLeftMs = stream.startedAtMs + stream.route.timeoutMs - atMs
    if (timeLeftMs > 0) this.broken.push({ requestId: id, isResumable: stream.route.isResumable, atMs, timeLeftMs, cause: findCause(stream), lines: stream.lines.map(({ text }) => text) })
  }

  private summarize (): LeavingPlayResult {
    const counts: Record<string, number> = {}
    for (const { route, sink } of this.streams.values()) {
      const key = `${route.name} ${sink.refusal?.reason ?? sink.endState ?? 'open'}`
      counts[key] = (counts[key] ?? 0) + 1
    }
    const streams = [...this.streams]
    return {
      counts,
      broken: this.broken,
      disordered: streams.filter(([, { sink, totalEvents }]) => !isOrdered(sink, totalEvents)).map(([id]) => id),
      excessive: streams.filter(([id, { route, endedAtMs }]) => this.listServingEngines(id, endedAtMs ?? Infinity).size > route.maxAttempts).map(([id]) => id),
      doubled: streams.filter(([id]) => hasOverlap(this.listRuns(id))).map(([id]) => id),
      overBudget: this.findOverBudget()
    }
  }

  /** Lists the engines that have run a request and did not end until its end; a run that goes on from memory counts where it began. */
  private listServingEngines (requestId: string, endedAtMs: number): Set<string> {
    return new Set(this.listRuns(requestId).filter(({ engine, isContinuation }) => !isContinuation && this.engines.getEndTimeMs(engine) > endedAtMs).map(({ engine }) => engine))
  }

  private listRuns (requestId: string): ObservedRun[] {
    return this.engines.observedRuns.filter(run => run.requestId === requestId)
  }

  /** Returns the most attempts beyond what the budget allows in any window; negative when it always holds. */
  private findOverBudget (): number {
    const firsts = [...this.engines.arrivals.values()].map(times => times[0]!)
    const additional = [...this.engines.arrivals.values()].flatMap(times => times.slice(1))
    const countIn = (times: readonly number[], endMs: number): number => times.filter(atMs => atMs > endMs - BUDGET_WINDOW_MS && atMs <= endMs).length
    return Math.max(0, ...additional.map(endMs => countIn(additional, endMs) - this.options.extraAttempts - BUDGET_RATIO * countIn(firsts, endMs)))
  }
}

function findCause ({ lines }: PlayedStream): string {
  const last = lines.slice(0, -1).reverse().find(({ decision }) => decision === 'no engine reserved' || decision === 'not repeated')
  const reserve = lines.slice(-4).reverse().find(({ decision }) => decision === 'no engine reserved')
  if (reserve !== undefined) return `no ${String(reserve.fields['missing'])}`
  if (last === undefined) return 'other'
  const { isRepeatable, mayRepeat, sentAttempts, executedAttempts } = last.fields
  if (isRepeatable === false) return `not repeatable, sent ${String(sentAttempts)}, executed ${String(executedAttempts)}`
  return mayRepeat === true ? 'no engine' : 'suspected'
}

function isOrdered ({ text, endState }: FakeSink, totalEvents: number): boolean {
  const ids = [...text.matchAll(/id: (\d+)\n/g)].map(([, id]) => Number(id))
  return ids.every((id, index) => id === index + 1) && (endState !== 'complete' || ids.length === totalEvents)
}

/** Returns whether a run was still executed some time after another engine had begun to go on with it. */
function hasOverlap (runs: readonly ObservedRun[]): boolean {
  return runs.some(later => runs.some(earlier => earlier !== later && earlier.startedAtMs <= later.startedAtMs && later.firstEventAtMs !== undefined &&
    (later.endedAtMs ?? Infinity) > later.firstEventAtMs + HANDOVER_MS && (earlier.endedAtMs ?? Infinity) > later.firstEventAtMs + HANDOVER_MS))
}
