import { type CancelTimer, type VirtualClock } from '@fescuespoke/common'
import { Result } from 'true-myth'
import { type EngineProfile } from '../../src/model/RelayConfiguration.js'
import { type RelayTarget } from '../../src/model/RelayTarget.js'
import { type Attempt, type AttemptOptions, type CopyError, type HoldError, type RelayTargetClient, type RunCopy, type TakeHoldOptions, type TargetReachability, type TargetReport } from '../../src/targets/RelayTargetClient.js'
import { EngineAttempt } from './EngineAttempt.js'

interface EngineRun {
  readonly engine: string
  readonly attempt: EngineAttempt
  readonly urgency: number
  readonly promptTokens: number
  readonly totalEvents: number
  /** Memory of the reservation; 0 without one. */
  readonly coveredTokens: number
  events: number
  cancelStep: CancelTimer
}

interface EngineState {
  readonly runs: Set<EngineRun>
  readonly waiting: EngineRun[]
  readonly holds: Map<string, { readonly tokens: number, readonly expiresAtMs: number }>
  prefillEndMs: number
}

/** Time of a message to an engine, of a step, and of a step for each running request, in milliseconds. */
const MESSAGE_MS = 3
const STEP_MS = 7
const STEP_MS_PER_RUN = 0.12

const PREFILL_TOKENS_PER_MS = 14

/** Engines with slots, memory, reservations, a queue and preemption, which all instances share. The body of a request names its number of events. */
export class HoldingEngines implements RelayTargetClient {
  /** Creates engines that are started when they are first used. */
  static create (clock: VirtualClock, profile: EngineProfile): HoldingEngines {
    return new HoldingEngines(clock, profile)
  }

  readonly counts = { waited: 0, preempted: 0, taken: 0, refused: 0, dropped: 0, expired: 0 }
  /** Time that an engine takes to answer a call for a reservation, by name, in milliseconds. */
  readonly answerTimesMs = new Map<string, number>()
  private readonly engines = new Map<string, EngineState>()
  private readonly ended = new Set<string>()

  private constructor (private readonly clock: VirtualClock, private readonly profile: EngineProfile) {}

  /** Ends an engine and its runs. */
  endEngine (name: string): void {
    const engine = this.getEngine(name)
    this.ended.add(name)
    for (const run of [...engine.runs, ...engine.waiting]) run.attempt.finish('lost')
    engine.holds.clear()
  }

  /** Counts the reservations that exist at all engines. */
  countHolds (): number {
    return [...this.engines.values()].reduce((sum, { holds }) => sum + holds.size, 0)
  }

  async takeHold ({ target, tokens, ttlMs }: TakeHoldOptions): Promise<Result<string, HoldError>> {
    await this.clock.sleep(MESSAGE_MS)
    if (this.ended.has(target.name)) return Result.err('unreachable')
    const engine = this.getEngine(target.name)
    const hasCapacity = engine.runs.size + engine.holds.size < this.profile.slots && this.getFreeTokens(engine) >= tokens
    this.counts[hasCapacity ? 'taken' : 'refused']++
    if (!hasCapacity) return Result.err('full')
    const id = `h${this.counts.taken}`
    engine.holds.set(id, { tokens, expiresAtMs: this.clock.nowMs() + ttlMs })
    await this.clock.sleep(this.answerTimesMs.get(target.name) ?? MESSAGE_MS)
    return Result.ok(id)
  }

  async dropHold ({ name }: RelayTarget, hold: string): Promise<void> {
    this.counts.dropped++
    this.getEngine(name).holds.delete(hold)
  }

  sendRequest ({ name }: RelayTarget, options: AttemptOptions): Attempt {
    const engine = this.getEngine(name)
    const { size, body } = options.request
    const attempt = new EngineAttempt(options, () => this.remove(engine, run))
    this.clock.startTimer(MESSAGE_MS, () => this.admit(engine, run))
    const hold = options.hold === undefined ? undefined : engine.holds.get(options.hold)
    const run: EngineRun = { engine: name, attempt, urgency: options.urgency ?? 0, promptTokens: size!.promptTokens, totalEvents: Number(body.toString()), coveredTokens: hold?.tokens ?? 0, events: 0, cancelStep: () => undefined }
    if (options.hold !== undefined) engine.holds.delete(options.hold)
    if (hold !== undefined) engine.runs.add(run)
    return attempt
  }

  addNoticeListener (): void {}

  async copyRun (): Promise<Result<RunCopy, CopyError>> {
    return Result.err({ reason: 'noRun' })
  }

  async dropCopy (): Promise<void> {}

  async fetchReport (): Promise<Result<TargetReport, string>> {
    return Result.err('not scripted')
  }

  async fetchReachability (): Promise<TargetReachability> {
    return 'accepting'
  }

  closeConnections (): void {}

  async close (): Promise<void> {}

  private getEngine (name: string): EngineState {
    const engine = this.engines.get(name) ?? { runs: new Set(), waiting: [], holds: new Map(), prefillEndMs: 0 }
    this.engines.set(name, engine)
    for (const [id, { expiresAtMs }] of engine.holds) if (expiresAtMs <= this.clock.nowMs() && engine.holds.delete(id)) this.counts.expired++
    return engine
  }

  private getFreeTokens ({ runs, holds }: EngineState): number {
    const used = [...runs].reduce((sum, run) => sum + Math.max(run.coveredTokens, this.getUsedTokens(run)), 0)
    return this.profile.memoryTokens - used - [...holds.values()].reduce((sum, { tokens }) => sum + tokens, 0)
  }

  private getUsedTokens ({ promptTokens, events }: EngineRun): number {
    return promptTokens + events * this.profile.tokensPerEvent
  }

  private hasRoom (engine: EngineState, run: EngineRun): boolean {
    return engine.runs.size + engine.holds.size < this.profile.slots && this.getFreeTokens(engine) >= this.getUsedTokens(run)
  }

  /** Begins a run that has a reservation or finds room, if need be in place of less urgent ones; otherwise it waits. */
  private admit (engine: EngineState, run: EngineRun): void {
    if (run.attempt.end !== undefined) return
    if (this.ended.has(run.engine)) return run.attempt.finish('notSent')
    while (!engine.runs.has(run) && !this.hasRoom(engine, run) && this.preempt(engine, run.urgency)) continue
    if (engine.runs.has(run) || this.hasRoom(engine, run)) return this.begin(engine, run)
    this.counts.waited++
    engine.waiting.push(run)
  }

  private begin (engine: EngineState, run: EngineRun): void {
    engine.runs.add(run)
    engine.prefillEndMs = Math.max(engine.prefillEndMs, this.clock.nowMs()) + this.getUsedTokens(run) / PREFILL_TOKENS_PER_MS
    run.cancelStep = this.clock.startTimer(engine.prefillEndMs - this.clock.nowMs(), () => this.produceEvent(engine, run))
  }

  private produceEvent (engine: EngineState, run: EngineRun): void {
    run.events++
    run.attempt.addEvent(`id: ${run.events}\ndata: x\n\n`)
    if (run.events === run.totalEvents) return run.attempt.finish('complete')
    run.cancelStep = this.clock.startTimer(this.profile.tokensPerEvent * (STEP_MS + STEP_MS_PER_RUN * engine.runs.size), () => this.produceEvent(engine, run))
    while (this.getFreeTokens(engine) < 0 && this.preempt(engine, -1)) continue
  }

  /** Preempts the least urgent run that its reservation does not cover; returns false when there is none less urgent than the bound. */
  private preempt (engine: EngineState, urgency: number): boolean {
    const [victim] = [...engine.runs].filter(run => run.urgency > urgency && this.getUsedTokens(run) > run.coveredTokens).sort((a, b) => b.urgency - a.urgency)
    if (victim === undefined) return false
    this.counts.preempted++
    victim.cancelStep()
    engine.runs.delete(victim)
    engine.waiting.push(victim)
    return true
  }

  private remove (engine: EngineState, run: EngineRun): void {
    run.cancelStep()
    engine.runs.delete(run)
    if (engine.waiting.includes(run)) engine.waiting.splice(engine.waiting.indexOf(run), 1)
    engine.waiting.sort((a, b) => a.urgency - b.urgency)
    while (engine.waiting.length > 0 && this.hasRoom(engine, engine.waiting[0]!)) this.begin(engine, engine.waiting.shift()!)
  }
}
