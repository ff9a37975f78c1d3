import { type CancelTimer } from '@fescuespoke/common'
import { type EndEvent, type ErrorBody, type SubmitRequest } from '@fescuespoke/schema'
import { type Result } from 'true-myth'
import { type AnswerReason } from '../answer/AnswerResult.js'
import { type AbortedError, type ExchangeError, type NotSentError, type HttpError } from '../http/ExchangeError.js'
import { type AbandonCause, type AbandonedStream } from '../http/InstanceClient.js'
import { type RequestId } from '../leases/LeaseManager.js'
import { type RequestContext } from './RequestContext.js'
import { computeBackoffMs } from './computeBackoffMs.js'
import { classifyEndEvent, type EndCategory, type NextStep, type SubmissionResult } from './SubmissionResult.js'

/** Where the next attempt goes: to the owner, through another instance to the owner, or past a lost owner to the engine. */
type Route = 'owner' | 'forward' | 'resume'

/** How an attempt ended. */
type AttemptResult = Result<EndEvent | AbandonedStream, ExchangeError>

/** What follows an attempt: nothing where another attempt does. */
type AttemptDecision = SubmissionResult | 'cancelled' | undefined

/** Options of a submission. */
export interface SubmissionOptions {
  readonly context: RequestContext
  readonly requestId: RequestId
  readonly input: SubmitRequest
}

/** Attempts at the owner, on new connections, before other instances are asked. */
const MAX_OWNER_ATTEMPTS = 2

/** Refused connections to the owner after which a call ends: a process that no longer listens does not come back. */
const MAX_REFUSED_CONNECTIONS = 3

/** Time after the deadline for the owner's answer to arrive, in milliseconds. */
const DEADLINE_GRACE_MS = 500

/** Whether an HTTP error may go away by itself. */
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

/** Carries one request id to its end: attaches, resumes by offset, and goes through other instances when the owner is lost. */
export class Submission {
  /**
   * Creates a submission that has not been sent.
   * @param options - Options of the submission.
   */
  static create (options: SubmissionOptions): Submission {
    return new Submission(options)
  }

  private readonly path: string
  private readonly body: string
  /** Aborted when no answer can be of use any more. */
  private readonly deadlineController = new AbortController()
  private route: Route = 'owner'
  /** Attempts since the last one that brought a token. */
  private consecutiveFailures = 0
  private refusedConnections = 0
  private mayHaveArrived = false
  private isOwnerLost = false
  private lastErrorDetail = 'no attempt was made'

  /** @internal */
  private constructor (private readonly options: SubmissionOptions) {
    const { requestId: slot, input } = options
    this.path = `/v1/requests/${encodeURIComponent(slot.lease)}/${slot.number}`
    this.body = JSON.stringify(input)
  }

  /** Tells whether a byte of the request may have reached an instance. */
  mayHaveBeenSent (): boolean {
    return this.mayHaveArrived
  }

  /** Runs attempts until the request has ended, nothing more can be learnt, or the application cancels. */
  async run (): Promise<SubmissionResult | 'cancelled'> {
    const cancelTimer = this.startDeadlineTimer()
    const submissionResult = await this.runAttempts()
    cancelTimer()
    return submissionResult
  }

  /** The owner answers at the deadline by itself; an attempt that goes on after that is given up. */
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
    const { dependencies, buffer, cancelSignal } = this.options.context
    const signal = AbortSignal.any([cancelSignal, this.deadlineController.signal])
    const offset = buffer.getOffset()
    const url = await this.selectUrl()
    const handleEvent = buffer.handleEvent.bind(buffer)
    const resumeToken = buffer.getResumeToken()
    if (this.route === 'resume' && resumeToken !== undefined) {
      const body = JSON.stringify({ resumeToken, offset })
      return await dependencies.client.readStream({ method: 'POST', url, path: '/v1/resumes', body, signal }, handleEvent)
    }
    const path = `${this.path}?offset=${offset}`
    const isAnsweredLocally = this.route === 'owner'
    return await dependencies.client.readStream({ method: 'PUT', url, path, body: this.body, signal, isAnsweredLocally }, handleEvent)
  }

  private async selectUrl (): Promise<string> {
    const { dependencies, input } = this.options.context
    const { ownerUrl } = this.options.requestId
    if (this.route === 'owner') return ownerUrl
    const urls = await dependencies.addresses.listUrls(input.service)
    const otherUrls = urls.filter(url => url !== ownerUrl)
    return otherUrls[this.consecutiveFailures % Math.max(1, otherUrls.length)] ?? ownerUrl
  }

  private handleStreamResult (end: EndEvent | AbandonedStream): AttemptDecision {
    const isFirstArrival = !this.mayHaveArrived
    this.mayHaveArrived = true
    return end.type === 'abandoned' ? this.handleAbandonedStream(end) : this.handleEndEvent(end, isFirstArrival)
  }

  private handleAbandonedStream ({ cause, detail }: AbandonedStream): AttemptDecision {
    this.lastErrorDetail = detail
    const handlers: Record<AbandonCause, () => AttemptDecision> = {
      generationChanged: () => createFailedResult('generationLost', detail),
      gap: () => this.selectNextRoute(),
      handover: () => this.handleHandover(detail)
    }
    return handlers[cause]()
  }

  private handleHandover (detail: string): AttemptDecision {
    if (this.options.context.buffer.getResumeToken() === undefined) return this.createLostGenerationResult('draining', detail)
    this.switchToResume()
    return undefined
  }

  private switchToResume (): void {
    this.isOwnerLost = true
    this.route = 'resume'
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

  /** A request that has never left may go to another owner at once. */
  private handleNotSent ({ detail, isConnectionRefused: isRefused }: NotSentError): AttemptDecision {
    if (!this.mayHaveArrived) return createNotRunResult('changeOwner', 'ownerUnreachable', detail)
    if (this.route === 'owner' && isRefused === true) this.refusedConnections++
    if (this.options.context.kind === 'call' && this.refusedConnections >= MAX_REFUSED_CONNECTIONS) return this.createInconclusiveResult()
    this.consecutiveFailures = Math.max(this.consecutiveFailures, MAX_OWNER_ATTEMPTS)
    return this.selectNextRoute()
  }

  private handleHttpError ({ error, detail }: HttpError): AttemptDecision {
    const isTemporary = TEMPORARY_ERRORS[error]
    if (this.route === 'resume') return isTemporary ? this.selectNextRoute() : this.createLostGenerationResult('generationLost', detail)
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
    this.lastErrorDetail = 'the answer ended before all of it had arrived'
    return this.selectNextRoute()
  }

  private handleOwnerUnreachable (): AttemptDecision {
    this.lastErrorDetail = 'no instance reaches the owner of the request'
    return this.selectNextRoute()
  }

  /** A process that does not know the lease has taken the only copy, so the owner never got the request. */
  private handleOwnerLost (end: EndEvent, isFirstArrival: boolean): AttemptDecision {
    const { buffer, kind } = this.options.context
    if (isFirstArrival) return createNotRunResult('changeOwner', end.reason, end.detail ?? '')
    if (kind === 'call') return this.handleFinalEnd(end)
    if (this.route === 'resume' || buffer.getResumeToken() === undefined) {
      return this.createLostGenerationResult(end.reason, end.detail ?? '')
    }
    this.switchToResume()
    return undefined
  }

  /** The owner first, then past it where a generation can be read at its engine, then the owner through other instances. */
  private selectNextRoute (): undefined {
    if (this.route === 'owner') this.options.context.dependencies.leases.removeLease(this.options.requestId)
    if (this.route === 'owner' && this.consecutiveFailures < MAX_OWNER_ATTEMPTS) return undefined
    const canResume = this.options.context.buffer.getResumeToken() !== undefined
    const routes: Record<Route, Route> = {
      owner: canResume ? 'resume' : 'forward',
      resume: this.isOwnerLost ? 'resume' : 'forward',
      forward: 'owner'
    }
    this.route = routes[this.route]
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

function createNotRunResult (nextStep: NextStep, reason: AnswerReason, detail: string, retryAfterMs?: number): SubmissionResult {
  return { answerResult: { outcome: 'notRun', reason, detail, retryAfterMs }, nextStep, retryAfterMs }
}

function createFailedResult (reason: AnswerReason, detail: string): SubmissionResult {
  return { answerResult: { outcome: 'failed', reason, detail }, nextStep: 'none' }
}
