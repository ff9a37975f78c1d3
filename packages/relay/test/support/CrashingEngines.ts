import { pickIndex, type Random, type VirtualClock } from '@fescuespoke/common'
import { Result } from 'true-myth'
import { type RelayTarget } from '../../src/model/RelayTarget.js'
import { type Attempt, type AttemptOptions, type CopyError, type HoldError, type RelayTargetClient, type RunCopy, type TargetReachability, type TargetReport } from '../../src/targets/RelayTargetClient.js'
import { ScriptedAttempt } from './FakeTargetClient.js'

/** A request that reached an engine. */
export interface ArrivedRequest {
  readonly requestId: string
  readonly sharedParts: readonly string[]
  readonly request: AttemptOptions['request']
  readonly atMs: number
}

/** Engines crash, all answers of one engine are reset, or one answer is cut off. */
export type EngineFault = 'crash' | 'reset' | 'cutOff'

/** Options of engines. */
export interface CrashingEnginesOptions {
  readonly clock: VirtualClock
  readonly random: Random
  /** Returns whether an engine crashes when it begins to write an answer on a part. */
  readonly isCrashing: (part: string) => boolean
  /** Returns whether a plain target crashes when it runs a call. By default, none does. */
  readonly isCrashingCall?: (call: AttemptOptions['request']) => boolean
  readonly onCrash: (engine: string, causedBy: AttemptOptions['request'] | undefined) => void
}

/** Number of events of a stream and time between two of them, in milliseconds. */
const EVENTS_PER_STREAM = 25
const EVENT_INTERVAL_MS = 40

/** Minimum and maximum time until an engine begins to write an answer, in milliseconds. */
const MIN_PREFILL_MS = 150
const MAX_PREFILL_MS = 450

/** Time from the beginning of an answer until the engine crashes, in milliseconds. */
const CRASH_DELAY_MS = 95

/** Minimum and maximum duration of a call, in milliseconds. */
const MIN_CALL_MS = 20
const MAX_CALL_MS = 100

/** Service of plain targets. */
const CALL_SERVICE = 'calls'

/** Engines and plain targets that all instances share, and that crash when they begin to write an answer on certain parts of prompts, or run certain calls. */
export class CrashingEngines implements RelayTargetClient {
  /** Creates a client without engines. */
  static create (options: CrashingEnginesOptions): CrashingEngines {
    return new CrashingEngines(options)
  }

  readonly arrived: ArrivedRequest[] = []
  private readonly attemptsByEngine = new Map<string, ScriptedAttempt[]>()

  private constructor (private readonly options: CrashingEnginesOptions) {}

  /** Starts an engine. */
  start (name: string): void {
    this.attemptsByEngine.set(name, [])
  }

  /** Lists the engines that run. */
  list (): string[] {
    return [...this.attemptsByEngine.keys()]
  }

  /** Ends an engine and all its answers. */
  crash (name: string, causedBy?: AttemptOptions['request']): void {
    const attempts = this.attemptsByEngine.get(name)
    if (attempts === undefined) return
    this.attemptsByEngine.delete(name)
    for (const attempt of attempts) attempt.breakOff()
    this.options.onCrash(name, causedBy)
  }

  /** Cuts off all answers of an engine that keeps running, or only one of them. */
  cutOff (name: string, doAll: boolean): void {
    const attempts = this.attemptsByEngine.get(name)?.filter(({ endState }) => endState === undefined) ?? []
    const selected = doAll || attempts.length === 0 ? attempts : [attempts[pickIndex(this.options.random, attempts.length)]!]
    for (const attempt of selected) attempt.breakOff()
  }

  addNoticeListener (): void {}

  sendRequest (target: RelayTarget, options: AttemptOptions): Attempt {
    const attempts = this.attemptsByEngine.get(target.name)
    if (attempts === undefined) return this.createAttempt({ error: 'notSent' }, options)
    const { request, request: { id: requestId, sharedParts = [] } } = options
    this.arrived.push({ requestId, sharedParts, request, atMs: this.options.clock.nowMs() })
    const attempt = target.service === CALL_SERVICE ? this.createCallAttempt(target, options) : this.createStreamAttempt(target, options)
    this.attemptsByEngine.set(target.name, [...attempts.filter(({ endState }) => endState === undefined), attempt])
    return attempt
  }

  async copyRun (): Promise<Result<RunCopy, CopyError>> {
    return Result.err({ reason: 'noRun' })
  }

  async dropCopy (): Promise<void> {}

  async takeHold (): Promise<Result<string, HoldError>> {
    return Result.err('unanswered')
  }

  async dropHold (): Promise<void> {}

  async fetchReport (): Promise<Result<TargetReport, string>> {
    return Result.err('not scripted')
  }

  async fetchReachability ({ name }: RelayTarget): Promise<TargetReachability> {
    return this.attemptsByEngine.has(name) ? 'accepting' : 'refusing'
  }

  closeConnections (): void {}

  async close (): Promise<void> {}

  private createStreamAttempt (target: RelayTarget, options: AttemptOptions): ScriptedAttempt {
    const { sharedParts = [] } = options.request
    const prefillMs = MIN_PREFILL_MS + this.options.random.nextFloat() * (MAX_PREFILL_MS - MIN_PREFILL_MS)
    return sharedParts.some(this.options.isCrashing) ? this.createCrashingAttempt(target, options, prefillMs) : this.createSoundAttempt(options, prefillMs)
  }

  private createCallAttempt ({ name }: RelayTarget, options: AttemptOptions): ScriptedAttempt {
    const durationMs = MIN_CALL_MS + this.options.random.nextFloat() * (MAX_CALL_MS - MIN_CALL_MS)
    if (this.options.isCrashingCall?.(options.request) !== true) return this.createAttempt({ afterMs: durationMs, steps: ['x', 'END'] }, options)
    const attempt = this.createAttempt({ afterMs: Infinity }, options)
    this.options.clock.startTimer(durationMs, () => { if (attempt.endState === undefined) this.crash(name, options.request) })
    return attempt
  }

  private createCrashingAttempt ({ name }: RelayTarget, options: AttemptOptions, prefillMs: number): ScriptedAttempt {
    const attempt = this.createAttempt({ afterMs: prefillMs, steps: [] }, options)
    this.options.clock.startTimer(prefillMs + CRASH_DELAY_MS, () => { if (attempt.endState === undefined) this.crash(name, options.request) })
    return attempt
  }

  private createSoundAttempt (options: AttemptOptions, prefillMs: number): ScriptedAttempt {
    const firstEvent = Number(options.lastEventId ?? 0) + 1
    const steps = Array.from({ length: Math.max(0, EVENTS_PER_STREAM + 1 - firstEvent) }, (_, index) => [EVENT_INTERVAL_MS, `id: ${firstEvent + index}\ndata: x\n\n`]).flat()
    return this.createAttempt({ afterMs: prefillMs, steps: [...steps, 'END'] }, options)
  }

  private createAttempt (script: ConstructorParameters<typeof ScriptedAttempt>[1], options: AttemptOptions): ScriptedAttempt {
    return new ScriptedAttempt(this.options.clock, script, options, () => undefined)
  }
}
