import { type CancelTimer, type Random, type VirtualClock } from '@fescuespoke/common'
import { Result } from 'true-myth'
import { type RelayTarget } from '../../src/model/RelayTarget.js'
import { type Attempt, type AttemptOptions, type CopyError, type CopyOptions, type HoldError, type RelayTargetClient, type RunCopy, type TargetReachability, type TargetReport } from '../../src/targets/RelayTargetClient.js'
import { EngineAttempt } from './EngineAttempt.js'

/** How often engines fail at what they are asked for, as shares, and how long they fall silent. */
export interface EngineFailures {
  /** Runs that fall silent after their first event, and the range of the silence in milliseconds. */
  readonly silentShare: number
  readonly silenceMs: readonly [number, number]
  /** Copies that are refused, that are made but whose answer never arrives, and whose answer takes a second. */
  readonly refusedCopyShare: number
  readonly lostCopyShare: number
  readonly lateCopyShare: number
  /** Requests that are refused. */
  readonly refusedShare: number
}

/** One run of a request at an engine, as the engine has seen it. */
export interface ObservedRun {
  readonly requestId: string
  readonly engine: string
  /** Whether it goes on from the memory of an earlier run. */
  readonly isContinuation: boolean
  readonly startedAtMs: number
  firstEventAtMs?: number
  endedAtMs?: number
}

interface EngineRun extends ObservedRun {
  readonly attempt: EngineAttempt
  readonly totalEvents: number
  readonly silenceMs: number
  producedEvents: number
  cancelStep: CancelTimer
}

interface EngineState {
  readonly name: string
  readonly zone: string
  readonly runs: Set<EngineRun>
  isLeaving: boolean
  hasEnded: boolean
  endedAtMs: number
  /** Whether other requests use all of its slots. */
  isFull: boolean
  linkFreeAtMs: number
}

interface Handle {
  readonly requestId: string
  readonly engines: ReadonlySet<string>
}

const MESSAGE_MS = 1
const STEP_MS = 30
const PROMPT_TOKENS = 2200
const PROMPT_TOKENS_PER_MS = 14
const COPY_TOKENS_PER_MS = 18
const LATE_COPY_MS = 1000
const CAPACITY_CHECK_MS = 20

/** Engines that leave with a short notice, fall silent, are full, refuse copies and lose the answers to them. The body of a request names its number of events. */
export class LeavingEngines implements RelayTargetClient {
  /** Creates a client without engines. */
  static create (clock: VirtualClock, random: Random, failures: EngineFailures): LeavingEngines {
    return new LeavingEngines(clock, random, failures)
  }

  readonly observedRuns: ObservedRun[] = []
  /** Times at which requests arrived, by id. */
  readonly arrivals = new Map<string, number[]>()
  private readonly engines = new Map<string, EngineState>()
  private readonly handles = new Map<string, Handle>()
  private readonly copying = new Set<string>()
  private handleCount = 0

  private constructor (private readonly clock: VirtualClock, private readonly random: Random, private readonly failures: EngineFailures) {}

  /** Starts an engine. */
  start (name: string, zone: string): void {
    this.engines.set(name, { name, zone, runs: new Set(), isLeaving: false, hasEnded: false, endedAtMs: Infinity, isFull: false, linkFreeAtMs: 0 })
  }

  /** Lets an engine refuse new requests. */
  leave (name: string): void {
    this.engines.get(name)!.isLeaving = true
  }

  /** Ends an engine, which cuts off its streams. */
  end (name: string): void {
    const engine = this.engines.get(name)!
    engine.hasEnded = true
    engine.endedAtMs = this.clock.nowMs()
    for (const { attempt } of [...engine.runs]) attempt.breakOff()
  }

  /** Sets whether other requests use all slots of an engine. */
  setFull (name: string, isFull: boolean): void {
    this.engines.get(name)!.isFull = isFull
  }

  /** Lists the engines that serve requests. */
  listServing (): string[] {
    return [...this.engines.values()].filter(({ hasEnded, isLeaving }) => !hasEnded && !isLeaving).map(({ name }) => name)
  }

  /** Returns the time at which an engine ended; `Infinity` while it has not. */
  getEndTimeMs (name: string): number {
    return this.engines.get(name)!.endedAtMs
  }

  addNoticeListener (): void {}

  sendRequest ({ name }: RelayTarget, options: AttemptOptions): Attempt {
    const { id } = options.request
    const engine = this.engines.get(name)!
    const run: { current?: EngineRun } = {}
    const attempt = new EngineAttempt(options, () => { if (run.current !== undefined) this.endRun(engine, run.current) })
    this.arrivals.set(id, [...this.arrivals.get(id) ?? [], this.clock.nowMs()])
    this.clock.startTimer(MESSAGE_MS, () => this.admit(engine, options, attempt, next => { run.current = next }))
    return attempt
  }

  async copyRun (options: CopyOptions): Promise<Result<RunCopy, CopyError>> {
    const timeout = this.clock.sleep(options.timeoutMs).then(() => Result.err<RunCopy, CopyError>({ reason: 'unreachable' }))
    return await Promise.race([this.makeCopy(options), timeout])
  }

  async dropCopy (_: RelayTarget, handle: string): Promise<void> {
    this.handles.delete(handle)
  }

  async takeHold ({ target }: { readonly target: RelayTarget }): Promise<Result<string, HoldError>> {
    await this.clock.sleep(MESSAGE_MS)
    const engine = this.engines.get(target.name)!
    if (engine.hasEnded) return Result.err('unreachable')
    return engine.isFull || engine.isLeaving ? Result.err('full') : Result.ok(`hold${++this.handleCount}`)
  }

  async dropHold (): Promise<void> {}

  async fetchReport (): Promise<Result<TargetReport, string>> {
    return Result.err('not scripted')
  }

  async fetchReachability ({ name }: RelayTarget): Promise<TargetReachability> {
    return this.engines.get(name)!.hasEnded ? 'refusing' : 'accepting'
  }

  closeConnections (): void {}

  async close (): Promise<void> {}

  private admit (engine: EngineState, options: AttemptOptions, attempt: EngineAttempt, setRun: (run: EngineRun) => void): void {
    if (attempt.end !== undefined) return
    if (engine.hasEnded) return attempt.finish('notSent')
    const { continuation } = options
    if (continuation !== undefined && !this.takeHandle(continuation.handle, engine, options)) return attempt.finish('notExecuted')
    if (continuation === undefined && (engine.isLeaving || this.occurs(this.failures.refusedShare))) return attempt.finish('notExecuted')
    if (continuation === undefined && engine.isFull) {
      this.clock.startTimer(CAPACITY_CHECK_MS, () => this.admit(engine, options, attempt, setRun))
      return
    }
    setRun(this.begin(engine, options, attempt))
  }

  private takeHandle (id: string, { name }: EngineState, { request }: AttemptOptions): boolean {
    const handle = this.handles.get(id)
    const isUsable = handle?.requestId === request.id && handle.engines.has(name)
    if (isUsable) this.handles.delete(id)
    return isUsable
  }

  private begin (engine: EngineState, { request, lastEventId, continuation }: AttemptOptions, attempt: EngineAttempt): EngineRun {
    const run: EngineRun = {
      requestId: request.id,
      engine: engine.name,
      attempt,
      isContinuation: continuation !== undefined,
      startedAtMs: this.clock.nowMs(),
      totalEvents: Number(request.body.toString()),
      silenceMs: this.occurs(this.failures.silentShare) ? this.draw(this.failures.silenceMs) : 0,
      producedEvents: Number(lastEventId ?? 0),
      cancelStep: () => undefined
    }
    this.observedRuns.push(run)
    engine.runs.add(run)
    run.cancelStep = this.clock.startTimer(continuation === undefined ? PROMPT_TOKENS / PROMPT_TOKENS_PER_MS : STEP_MS, () => this.produceEvent(run))
    return run
  }

  private produceEvent (run: EngineRun): void {
    const isFirst = run.firstEventAtMs === undefined
    run.firstEventAtMs ??= this.clock.nowMs()
    if (run.producedEvents >= run.totalEvents) return run.attempt.finish('complete')
    run.attempt.addEvent(`id: ${++run.producedEvents}\ndata: x\n\n`)
    if (run.producedEvents === run.totalEvents) return run.attempt.finish('complete')
    run.cancelStep = this.clock.startTimer(STEP_MS + (isFirst ? run.silenceMs : 0), () => this.produceEvent(run))
  }

  private endRun (engine: EngineState, run: EngineRun): void {
    run.cancelStep()
    run.endedAtMs = this.clock.nowMs()
    engine.runs.delete(run)
  }

  private async makeCopy ({ requestId, from, to, isLast }: CopyOptions): Promise<Result<RunCopy, CopyError>> {
    await this.clock.sleep(MESSAGE_MS)
    const [source, destination] = [this.engines.get(from.name)!, this.engines.get(to.name)!]
    if (source.hasEnded) return Result.err({ reason: 'unreachable' })
    if (this.copying.has(requestId)) return Result.err({ reason: 'busy' })
    const run = [...source.runs].find(candidate => candidate.requestId === requestId)
    if (run === undefined || run.firstEventAtMs === undefined) return Result.err({ reason: 'noRun' })
    const { producedEvents } = run
    this.copying.add(requestId)
    if (isLast) run.attempt.finish('lost')
    const isRefused = isClosed(destination) || this.occurs(this.failures.refusedCopyShare)
    if (!isRefused) await this.carryCopy(source, destination, isLast)
    this.copying.delete(requestId)
    if (source.hasEnded) return Result.err({ reason: 'unreachable' })
    await this.delayAnswer()
    if (!isRefused) return Result.ok({ handle: this.addHandle(requestId, [source, destination]), producedEvents })
    return Result.err({ reason: 'noRoom', handle: isLast ? this.addHandle(requestId, [source]) : undefined })
  }

  private async delayAnswer (): Promise<void> {
    if (this.occurs(this.failures.lateCopyShare)) await this.clock.sleep(LATE_COPY_MS)
    if (this.occurs(this.failures.lostCopyShare)) await new Promise(() => undefined)
  }

  /** Waits until the link of the source, which carries one copy after the other, has carried this one. */
  private async carryCopy (source: EngineState, destination: EngineState, isLast: boolean): Promise<void> {
    const tokens = isLast ? 0 : PROMPT_TOKENS
    const startMs = Math.max(this.clock.nowMs(), source.linkFreeAtMs)
    source.linkFreeAtMs = startMs + tokens / COPY_TOKENS_PER_MS * (source.zone === destination.zone ? 1 : 2)
    await this.clock.sleep(source.linkFreeAtMs - this.clock.nowMs())
  }

  private addHandle (requestId: string, engines: readonly EngineState[]): string {
    const id = `handle${++this.handleCount}`
    this.handles.set(id, { requestId, engines: new Set(engines.map(({ name }) => name)) })
    return id
  }

  private occurs (share: number): boolean {
    return this.random.nextFloat() < share
  }

  private draw ([from, to]: readonly [number, number]): number {
    return from + this.random.nextFloat() * (to - from)
  }
}

function isClosed ({ hasEnded, isLeaving, isFull }: EngineState): boolean {
  return hasEnded || isLeaving || isFull
}
