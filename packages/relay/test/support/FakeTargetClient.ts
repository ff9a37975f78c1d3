import { type VirtualClock } from '@fescuespoke/common'
import { Result } from 'true-myth'
import { type RelayTarget } from '../../src/model/RelayTarget.js'
import {
  type Attempt, type AttemptError, type AttemptHead, type AttemptOptions, type CopyError, type CopyOptions, type HoldError, type NamedLimit, type RelayTargetClient, type RunCopy, type TakeHoldOptions, type TargetReachability, type TargetReport
} from '../../src/targets/RelayTargetClient.js'
import { type TargetNotice, type TargetNoticeListener } from '../../src/targets/TargetNotice.js'

/** One step of a scripted answer: text, a pause in milliseconds, its end, or an error. */
export type AnswerStep = string | number | 'END' | { readonly error: AttemptError }

/** Scripted answer: a status and steps, or an error instead of a head. */
export interface ScriptedAnswer {
  readonly status?: number
  readonly isSigned?: boolean
  readonly isFramed?: boolean
  /** Whether the answer is a series of events; by default, a success is. */
  readonly isEventStream?: boolean
  readonly limit?: NamedLimit
  /** Notices in the answer, also in one with an error. */
  readonly notices?: readonly TargetNotice[]
  readonly steps?: readonly AnswerStep[]
  readonly error?: AttemptError
  /** Time until the head, in milliseconds. */
  readonly afterMs?: number
}

/** One attempt as received by a target. */
export interface RecordedAttempt {
  readonly target: string
  readonly options: AttemptOptions
  readonly atMs: number
  attempt: ScriptedAttempt
}

/** Client that answers by script and records the attempts. */
export class FakeTargetClient implements RelayTargetClient {
  /**
   * Creates a client.
   * @param clock - Clock that measures the pauses.
   */
  static create (clock: VirtualClock): FakeTargetClient {
    return new FakeTargetClient(clock)
  }

  readonly attempts: RecordedAttempt[] = []
  readonly copies: CopyOptions[] = []
  readonly dropped: string[] = []
  /** Scripts by target, in the order of its attempts; the last one is repeated. */
  readonly scripts = new Map<string, ScriptedAnswer[]>()
  /** Returns the result of a copy. */
  answerCopy: (options: CopyOptions) => Promise<Result<RunCopy, CopyError>> = async () => Result.err({ reason: 'unreachable' })

  readonly holdCalls: TakeHoldOptions[] = []
  readonly droppedHolds: string[] = []
  /** Returns the result of a call for a reservation. */
  answerHold: (options: TakeHoldOptions) => Promise<Result<string, HoldError>> = async () => Result.err('unanswered')

  /** Names of the polled targets, in order. */
  readonly polledTargets: string[] = []
  /** Returns the result of a poll. */
  answerReport: (target: RelayTarget) => Promise<Result<TargetReport, string>> = async () => Result.err('no report scripted')

  private readonly noticeListeners = new Set<TargetNoticeListener>()

  protected constructor (private readonly clock: VirtualClock) {}

  addNoticeListener (listener: TargetNoticeListener): void {
    this.noticeListeners.add(listener)
  }

  /** Lets listeners receive notices in an answer of a target. */
  notifyNotices (target: RelayTarget, notices: readonly TargetNotice[]): void {
    for (const notice of notices) for (const listener of this.noticeListeners) listener(target, notice)
  }

  sendRequest (target: RelayTarget, options: AttemptOptions): Attempt {
    const scripts = this.scripts.get(target.name) ?? [{ error: 'notSent' }]
    const script = scripts.length > 1 ? scripts.shift()! : scripts[0]!
    const attempt = new ScriptedAttempt(this.clock, script, options, notices => this.notifyNotices(target, notices))
    this.attempts.push({ target: target.name, options, atMs: this.clock.nowMs(), attempt })
    return attempt
  }

  async copyRun (options: CopyOptions): Promise<Result<RunCopy, CopyError>> {
    this.copies.push(options)
    return await this.answerCopy(options)
  }

  async dropCopy (_source: RelayTarget, handle: string): Promise<void> {
    this.dropped.push(handle)
  }

  async takeHold (options: TakeHoldOptions): Promise<Result<string, HoldError>> {
    this.holdCalls.push(options)
    return await this.answerHold(options)
  }

  async dropHold (_target: RelayTarget, hold: string): Promise<void> {
    this.droppedHolds.push(hold)
  }

  async fetchReport (target: RelayTarget): Promise<Result<TargetReport, string>> {
    this.polledTargets.push(target.name)
    return await this.answerReport(target)
  }

  /** Answers of targets to new connections, by name; by default they accept them. */
  readonly reachability = new Map<string, TargetReachability>()

  async fetchReachability ({ name }: RelayTarget): Promise<TargetReachability> {
    return this.reachability.get(name) ?? 'accepting'
  }

  closeConnections (): void {}

  async close (): Promise<void> {}

  /** Lists the targets that received attempts, in order. */
  listTargets (): string[] {
    return this.attempts.map(({ target }) => target)
  }
}

/** Attempt that follows its script. */
export class ScriptedAttempt implements Attempt {
  readonly head: Promise<Result<AttemptHead, AttemptError>>
  endState: AttemptError | 'complete' | undefined
  private hasConnectionBroken = false
  private readonly steps: AnswerStep[]
  private readonly stopController = new AbortController()

  constructor (private readonly clock: VirtualClock, private readonly script: ScriptedAnswer, options: AttemptOptions, private readonly onNotices: (notices: readonly TargetNotice[]) => void) {
    this.steps = [...script.steps ?? ['END']]
    options.signal.addEventListener('abort', () => this.finish('aborted'))
    this.head = this.runHead()
  }

  async readBytes (): Promise<Result<Buffer | undefined, AttemptError>> {
    for (;;) {
      if (this.endState !== undefined) return this.endState === 'complete' ? Result.ok(undefined) : Result.err(this.endState)
      const step = this.steps.shift()
      if (typeof step === 'number') await this.clock.sleep(step, this.stopController.signal)
      else if (step === 'END') this.finish('complete')
      else if (typeof step === 'string') return Result.ok(Buffer.from(step))
      else if (step !== undefined) this.finish(step.error)
      else await new Promise<void>(resolve => this.stopController.signal.addEventListener('abort', () => resolve()))
    }
  }

  isSent (): boolean {
    return this.script.error !== 'notSent'
  }

  isBrokenOff (): boolean {
    return this.hasConnectionBroken
  }

  getCause (): string | undefined {
    return undefined
  }

  getNamedLimit (): NamedLimit | undefined {
    return this.script.error === undefined ? this.script.limit ?? 'none' : this.script.limit
  }

  markLost (): void {
    this.finish('lost')
  }

  /** Ends the answer as if its connection broke. */
  breakOff (): void {
    this.hasConnectionBroken ||= this.endState === undefined
    this.finish('lost')
  }

  /** Ends the answer. */
  finish (end: AttemptError | 'complete'): void {
    this.endState ??= end
    this.stopController.abort()
  }

  private async runHead (): Promise<Result<AttemptHead, AttemptError>> {
    const { afterMs, error, status = 200, isSigned = true, isFramed = true, isEventStream = status < 300 } = this.script
    if (afterMs !== undefined) await this.clock.sleep(afterMs, this.stopController.signal)
    if (this.endState !== undefined && this.endState !== 'complete') return Result.err(this.endState)
    this.onNotices(this.script.notices ?? [])
    return error !== undefined ? Result.err(error) : Result.ok({ status, headers: [], isSigned, isFramed, isEventStream })
  }
}
