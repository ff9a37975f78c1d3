import { type CancelTimer } from '@fescuespoke/common'
import { type EndEvent, type ErrorBody } from '@fescuespoke/schema'
import { type AnswerReason } from '../answer/AnswerResult.js'
import { type AbortedError, type ExchangeError, type NotSentError, type HttpError } from '../http/ExchangeError.js'
import { type AbandonCause, type AbandonedStream } from '../http/InstanceClient.js'
import { AttemptRoutes, MAX_OWNER_ATTEMPTS } from './AttemptRoutes.js'
import { type AttemptResult, AttemptSender } from './AttemptSender.js'
import { computeBackoffMs } from './computeBackoffMs.js'
import { type SubmissionOptions } from './SubmissionOptions.js'
import { classifyEndEvent, createFailedResult, createNotRunResult, type EndCategory, type SubmissionResult } from './SubmissionResult.js'

/** Result of the submission if an attempt has ended it, or undefined if another attempt follows. */
type AttemptDecision = SubmissionResult | 'cancelled' | undefined

/**
 * Number of refused connections to the owner after which a call ends, because a process that has stopped listening does
 * not start listening again.
 */
const MAX_REFUSED_CONNECTIONS = 3

/** Additional time after the deadline for the response of the owner to arrive, in milliseconds. */
const DEADLINE_GRACE_MS = 500

/** Whether an HTTP error is temporary, so that a retry can succeed. */
const TEMPORARY_ERRORS: Record<ErrorBody['error'], boolean> = {
  invalidInput: false,
  tooLarge: false,
  notFound: false,
  conflict: false,
  forbidden: false,
  draining: true,
  notReady: true,
  overloaded: true,
  internal: true
}

/**
 * Runs one request id until it has a result. It attaches to the request, resumes its stream at the offset reached, and
 * uses other instances if the owner is lost.
 */
export class Submission {
  /**
   * Creates a submission. Nothing is sent before `run` is called.
   * @param options - Options of the submission.
   */
  static create (options: SubmissionOptions): Submission {
    return new Submission(options)
  }

  private readonly sender: AttemptSender
  private readonly routes = AttemptRoutes.create()
  /** Aborted when the deadline and its grace period have passed. */
  private readonly deadlineController = new AbortController()
  /**
   * Number of attempts since the last progress. An attempt that received tokens before it failed counts as the first
   * one.
   */
  private consecutiveFailures = 0
  private refusedConnections = 0
  private mayHaveArrived = false
  private lastErrorDetail = 'no attempt was made'

  /** @internal */
  private constructor (private readonly options: SubmissionOptions) {
    this.sender = AttemptSender.create(options)
  }

  /** Returns whether a byte of the request may have reached an instance. */
  mayHaveReachedInstance (): boolean {
    return this.mayHaveArrived
  }

  /** Runs attempts until the request has ended, the attempts are exhausted, or the application cancels the request. */
  async run (): Promise<SubmissionResult | 'cancelled'> {
    const cancelTimer = this.startDeadlineTimer()
    const submissionResult = await this.runAttempts()
    cancelTimer()
    return submissionResult
  }

  /**
   * Aborts an attempt that continues after the deadline. The owner itself ends the request at the deadline, so its
   * response is awaited for a grace period.
   */
  private startDeadlineTimer (): CancelTimer {
    const { dependencies, deadlineAtMs } = this.options.context
    if (!Number.isFinite(deadlineAtMs)) return () => {}
    const waitMs = deadlineAtMs + DEADLINE_GRACE_MS - dependencies.clock.nowMs()
    return dependencies.clock.startTimer(waitMs, () => this.deadlineController.abort())
  }

  private async runAttempts (): Promise<SubmissionResult | 'cancelled'> {
    const { dependencies, buffer, cancelSignal } = this.options.context
    while (this.canAttempt()) {
      await dependencies.clock.sleep(computeBackoffMs(dependencies.random, this.consecutiveFailures), cancelSignal)
      if (cancelSignal.aborted) return 'cancelled'
      const offset = buffer.getOffset()
      const attemptResult = await this.sendAttempt()
      this.consecutiveFailures = buffer.getOffset() > offset ? 1 : this.consecutiveFailures + 1
      const decision = attemptResult.isOk ? this.handleStreamResult(attemptResult.value) : this.handleError(attemptResult.error)
      if (decision !== undefined) return decision
    }
    return this.createInconclusiveResult()
  }

  private canAttempt (): boolean {
    const { dependencies, deadlineAtMs } = this.options.context
    if (this.consecutiveFailures === 0) return true
    return this.consecutiveFailures < dependencies.maxAttempts && dependencies.clock.nowMs() < deadlineAtMs
  }

  private async sendAttempt (): Promise<AttemptResult> {
    const signal = AbortSignal.any([this.options.context.cancelSignal, this.deadlineController.signal])
    return await this.sender.sendAttempt({ route: this.routes.getRoute(), consecutiveFailures: this.consecutiveFailures, signal })
  }

  private handleStreamResult (streamResult: EndEvent | AbandonedStream): AttemptDecision {
    const isFirstArrival = !this.mayHaveArrived
    this.mayHaveArrived = true
    return streamResult.type === 'abandoned' ? this.handleAbandonedStream(streamResult) : this.handleEndEvent(streamResult, isFirstArrival)
  }

  private handleAbandonedStream ({ cause, detail }: AbandonedStream): AttemptDecision {
    this.lastErrorDetail = detail
    const handlers: Record<AbandonCause, () => AttemptDecision> = {
      spliced: () => createFailedResult('generationLost', detail),
      gap: () => this.selectNextRoute(),
      handover: () => this.handleHandover(detail)
    }
    return handlers[cause]()
  }

  private handleHandover (detail: string): AttemptDecision {
    if (this.options.context.buffer.getResumeToken() === undefined) return this.createLostGenerationResult('draining', detail)
    this.routes.setOwnerLost()
    return undefined
  }

  private handleError (error: ExchangeError): AttemptDecision {
    this.lastErrorDetail = error.detail
    const handlers: { [K in ExchangeError['kind']]: () => AttemptDecision } = {
      aborted: () => {
        this.mayHaveArrived ||= (error as AbortedError).mayHaveArrived
        return this.options.context.cancelSignal.aborted ? 'cancelled' : this.createInconclusiveResult()
      },
      notSent: () => this.handleNotSent(error as NotSentError),
      interrupted: () => {
        this.mayHaveArrived = true
        return this.selectNextRoute()
      },
      httpError: () => this.handleHttpError(error as HttpError)
    }
    return handlers[error.kind]()
  }

  /** A request that has never been sent can be submitted to another owner immediately. */
  private handleNotSent ({ detail, isConnectionRefused }: NotSentError): AttemptDecision {
    if (!this.mayHaveArrived) return createNotRunResult('changeOwner', 'ownerUnreachable', detail)
    if (this.routes.getRoute() === 'owner' && isConnectionRefused === true) this.refusedConnections++
    if (this.options.context.kind === 'call' && this.refusedConnections >= MAX_REFUSED_CONNECTIONS) return this.createInconclusiveResult()
    this.consecutiveFailures = Math.max(this.consecutiveFailures, MAX_OWNER_ATTEMPTS)
    return this.selectNextRoute()
  }

  private handleHttpError ({ error, detail }: HttpError): AttemptDecision {
    const isTemporary = TEMPORARY_ERRORS[error]
    if (this.routes.getRoute() === 'resume') return isTemporary ? this.selectNextRoute() : this.createLostGenerationResult('generationLost', detail)
    if (isTemporary && error !== 'internal' && !this.mayHaveArrived) return createNotRunResult('changeOwner', error, detail)
    if (!isTemporary) {
      const outcome = this.mayHaveArrived ? 'unknown' : 'notRun'
      return { answerResult: { outcome, reason: error, detail }, nextStep: 'none' }
    }
    this.mayHaveArrived = true
    return this.selectNextRoute()
  }

  private handleEndEvent (end: EndEvent, isFirstArrival: boolean): AttemptDecision {
    const { reason, detail = '', retryAfterMs } = end
    const handlers: Record<EndCategory, () => AttemptDecision> = {
      final: () => this.handleFinalEnd(end),
      changeOwner: () => createNotRunResult('changeOwner', reason, detail, retryAfterMs),
      retryLater: () => createNotRunResult('retryLater', reason, detail, retryAfterMs),
      ownerUnreachable: () => this.handleOwnerUnreachable(),
      ownerLost: () => this.handleOwnerLost(end, isFirstArrival),
      generationLost: () => this.createLostGenerationResult(reason, detail)
    }
    return handlers[classifyEndEvent(end)]()
  }

  private handleFinalEnd ({ outcome, reason, detail = '', retryAfterMs, tokens }: EndEvent): AttemptDecision {
    const { buffer, kind } = this.options.context
    if (outcome !== 'complete') return { answerResult: { outcome, reason, detail, retryAfterMs }, nextStep: 'none' }
    const reply = buffer.getReply()
    const isComplete = kind === 'call' ? reply !== undefined : (tokens ?? buffer.getOffset()) === buffer.getOffset()
    if (isComplete) return { answerResult: { outcome, reason, tokens: buffer.getTokens(), reply }, nextStep: 'none' }
    this.lastErrorDetail = 'the answer ended before it was complete'
    return this.selectNextRoute()
  }

  private handleOwnerUnreachable (): AttemptDecision {
    this.lastErrorDetail = 'the owner of the request is unreachable from other instances'
    return this.selectNextRoute()
  }

  /**
   * If the first instance reached by the request does not recognize its lease, the owner has never received the request
   * and it can be submitted to another owner.
   */
  private handleOwnerLost (end: EndEvent, isFirstArrival: boolean): AttemptDecision {
    const { buffer, kind } = this.options.context
    if (isFirstArrival) return createNotRunResult('changeOwner', end.reason, end.detail ?? '')
    if (kind === 'call') return this.handleFinalEnd(end)
    if (this.routes.getRoute() === 'resume' || buffer.getResumeToken() === undefined) {
      return this.createLostGenerationResult(end.reason, end.detail ?? '')
    }
    this.routes.setOwnerLost()
    return undefined
  }

  private selectNextRoute (): undefined {
    const { context: { dependencies, buffer }, requestId } = this.options
    if (this.routes.getRoute() === 'owner') dependencies.leases.removeLease(requestId)
    this.routes.selectNext({ consecutiveFailures: this.consecutiveFailures, canResume: buffer.getResumeToken() !== undefined })
    return undefined
  }

  private createLostGenerationResult (reason: AnswerReason, detail: string): SubmissionResult {
    const { buffer, kind } = this.options.context
    const failedResult = createFailedResult(reason, detail)
    const canRestart = kind === 'generation' && !buffer.hasDeliveredTokens()
    return canRestart ? { ...failedResult, nextStep: 'restart' } : failedResult
  }

  private createInconclusiveResult (): SubmissionResult {
    const { kind, dependencies, deadlineAtMs } = this.options.context
    const isPastDeadline = this.deadlineController.signal.aborted || dependencies.clock.nowMs() >= deadlineAtMs
    const reason = isPastDeadline ? 'deadlineExceeded' : 'ownerUnreachable'
    if (!this.mayHaveArrived) return createNotRunResult('changeOwner', reason, this.lastErrorDetail)
    if (kind === 'generation') return this.createLostGenerationResult(reason, this.lastErrorDetail)
    return { answerResult: { outcome: 'unknown', reason, detail: this.lastErrorDetail }, nextStep: 'none' }
  }
}
