import { type RelayContext } from '../requests/RelayContext.js'
import { type RelayDependencies } from '../requests/RelayDependencies.js'
import { type CallWatch } from '../crashes/CallWatch.js'
import { type BufferedAnswer } from './CallAnswer.js'
import { type CallAttempt, closeCallAttempt } from './CallAttempt.js'

/** State of one call: its attempts, and what is known of those that have ended. */
export class CallRun {
  /**
   * Creates a call of which nothing was sent.
   * @param dependencies - Components that handle the request.
   * @param context - The request.
   */
  static create (dependencies: RelayDependencies, context: RelayContext): CallRun {
    return new CallRun(dependencies, context)
  }

  /** Names of targets to which the request is not sent again. */
  readonly excludedTargets = new Set<string>()
  readonly runningAttempts = new Set<CallAttempt>()
  /** Number of attempts that ran or may have run. */
  executedAttempts = 0
  /** Number of attempts that were sent. */
  sentAttempts = 0
  /** Number of attempts that did not reach their target; they use no budget. */
  unsentAttempts = 0
  /** Whether an attempt without an answer may have run. */
  mayHaveRun = false
  /** Watches whether the call crashes its targets. */
  readonly watch: CallWatch
  /** Failed answer of a target, kept in case no other target succeeds. */
  private failedAnswer: BufferedAnswer | undefined
  /** Clock reading at which the first attempt was sent. */
  private sentAtMs: number | undefined

  /** @internal */
  private constructor (readonly dependencies: RelayDependencies, readonly context: RelayContext) {
    this.watch = dependencies.crashes.watchCall(context)
  }

  /** Returns whether the call has ended. Timers may fire late after a process pause, so the clock is checked as well. */
  hasEnded (): boolean {
    const { context, dependencies } = this
    return context.signal.aborted || dependencies.clock.nowMs() >= context.deadlineAtMs
  }

  /** Returns whether the request may be sent to a further target after the attempts that have ended. */
  canRepeat (): boolean {
    const { executedAttempts, context: { route } } = this
    return executedAttempts < route.maxAttempts && (executedAttempts === 0 || route.kind === 'idempotent')
  }

  /** Returns whether the request may be sent to a further target beside the attempts in progress. */
  canHedge (): boolean {
    const { executedAttempts, runningAttempts, context: { route } } = this
    return route.kind === 'idempotent' && executedAttempts + runningAttempts.size < route.maxAttempts
  }

  /** Records that an attempt is sent. */
  recordSent (): void {
    this.sentAttempts++
    this.sentAtMs ??= this.dependencies.clock.nowMs()
  }

  /** Records how long the call took, once its answer or its time has ended. */
  recordDuration (): void {
    const { sentAtMs, context: { route, service }, dependencies: { clock, durations } } = this
    if (sentAtMs !== undefined && route.kind !== 'stream') durations.recordCall(service.name, route.kind, clock.nowMs() - sentAtMs)
  }

  /** Records that an attempt has ended without an answer, but may have run. */
  recordLostAttempt (): void {
    this.executedAttempts++
    this.mayHaveRun = true
  }

  /** Returns the failed answer of a target that is kept; undefined when there is none, or its bytes were dropped. */
  getFailedAnswer (): BufferedAnswer | undefined {
    return this.failedAnswer?.buffer.isDropped() === true ? undefined : this.failedAnswer
  }

  /**
   * Keeps the failed answer of a target in place of an earlier one, if it is complete; it has run in any case.
   * @param answer - The answer.
   */
  keepFailedAnswer (answer: BufferedAnswer): void {
    this.mayHaveRun = true
    if (!answer.isComplete) return
    this.failedAnswer?.buffer.release()
    this.failedAnswer = answer
  }

  /**
   * Ends an attempt whose answer is handled, and drops the answer unless it is kept.
   * @param callAttempt - The attempt.
   */
  closeAttempt (callAttempt: CallAttempt): void {
    closeCallAttempt(callAttempt)
    if (this.failedAnswer?.buffer !== callAttempt.buffer) callAttempt.buffer.release()
  }

  /** Ends the attempts in progress, and drops all answers. */
  close (): void {
    for (const callAttempt of this.runningAttempts) this.closeAttempt(callAttempt)
    this.failedAnswer?.buffer.release()
  }
}
