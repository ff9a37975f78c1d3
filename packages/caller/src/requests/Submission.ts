import { type CancelTimer } from '@fescuespoke/common'
import { type EndEvent, type ErrorBody, type SubmitRequest } from '@fescuespoke/schema'
import { type Result } from 'true-myth'
import { type AnswerReason } from '../answer/AnswerResult.js'
import { type AbortedError, type ExchangeError, type NotSentError, type RefusedError } from '../http/ExchangeError.js'
import { type LeaveCause, type LeftStream } from '../http/InstanceClient.js'
import { type RequestSlot } from '../leases/LeaseBook.js'
import { type RequestContext } from './RequestContext.js'
import { computeBackoffMs } from './computeBackoffMs.js'
import { getEndMeaning, type EndMeaning, type Sequel, type SubmissionEnd } from './SubmissionEnd.js'

/** Where the next attempt goes: to the owner, through another instance to the owner, or past a lost owner to the engine. */
type Route = 'owner' | 'forward' | 'resume'

/** How an attempt ended. */
type AttemptEnd = Result<EndEvent | LeftStream, ExchangeError>

/** What follows an attempt: nothing where another attempt does. */
type AttemptSequel = SubmissionEnd | 'cancelled' | undefined

/** Options of a submission. */
export interface SubmissionOptions {
  readonly context: RequestContext
  readonly slot: RequestSlot
  readonly input: SubmitRequest
}

/** Attempts at the owner, on new connections, before other instances are asked. */
const OWNER_ATTEMPTS = 2

/** Refused connections to the owner after which a call ends: a process that no longer listens does not come back. */
const OWNER_REFUSALS = 3

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
  private readonly overdue = new AbortController()
  private route: Route = 'owner'
  /** Attempts since the last one that brought a token. */
  private failures = 0
  private refusals = 0
  private mayHaveArrived = false
  private ownerGone = false
  private lastDetail = 'no attempt was made'

  /** @internal */
  private constructor (private readonly options: SubmissionOptions) {
    const { slot, input } = options
    this.path = `/v1/requests/${encodeURIComponent(slot.lease)}/${slot.number}`
    this.body = JSON.stringify(input)
  }

  /** Tells whether a byte of the request may have reached an instance. */
  hasLeft (): boolean {
    return this.mayHaveArrived
  }

  /** Runs attempts until the request has ended, nothing more can be learnt, or the application cancels. */
  async run (): Promise<SubmissionEnd | 'cancelled'> {
    const cancelTimer = this.startDeadlineTimer()
    const end = await this.runAttempts()
    cancelTimer()
    return end
  }

  /** The owner answers at the deadline by itself; an attempt that goes on after that is given up. */
  private startDeadlineTimer (): CancelTimer {
    const { services, deadlineAtMs } = this.options.context
    if (!Number.isFinite(deadlineAtMs)) return () => {}
    const waitMs = deadlineAtMs + DEADLINE_GRACE_MS - services.clock.nowMs()
    return services.clock.startTimer(waitMs, () => this.overdue.abort())
  }

  private async runAttempts (): Promise<SubmissionEnd | 'cancelled'> {
    const { services, buffer, cancelSignal } = this.options.context
    while (this.canTry()) {
      await services.clock.sleep(computeBackoffMs(services.random, this.failures), cancelSignal)
      if (cancelSignal.aborted) return 'cancelled'
      const offset = buffer.getOffset()
      const end = await this.sendAttempt()
      this.failures = buffer.getOffset() > offset ? 1 : this.failures + 1
      const sequel = end.isOk ? this.settleStream(end.value) : this.settleError(end.error)
      if (sequel !== undefined) return sequel
    }
    return this.settleNothingLearnt()
  }

  private canTry (): boolean {
    const { services, deadlineAtMs } = this.options.context
    if (this.failures === 0) return true
    return this.failures < services.maxAttempts && services.clock.nowMs() < deadlineAtMs
  }

  private async sendAttempt (): Promise<AttemptEnd> {
    const { services, buffer, cancelSignal } = this.options.context
    const signal = AbortSignal.any([cancelSignal, this.overdue.signal])
    const offset = buffer.getOffset()
    const url = await this.pickUrl()
    const observe = buffer.observe.bind(buffer)
    const resumeToken = buffer.getResumeToken()
    if (this.route === 'resume' && resumeToken !== undefined) {
      const body = JSON.stringify({ resumeToken, offset })
      return await services.client.readStream({ method: 'POST', url, path: '/v1/resumes', body, signal }, observe)
    }
    const path = `${this.path}?offset=${offset}`
    const answersAtOnce = this.route === 'owner'
    return await services.client.readStream({ method: 'PUT', url, path, body: this.body, signal, answersAtOnce }, observe)
  }

  private async pickUrl (): Promise<string> {
    const { services, input } = this.options.context
    const { ownerUrl } = this.options.slot
    if (this.route === 'owner') return ownerUrl
    const urls = await services.addresses.listUrls(input.service)
    const others = urls.filter(url => url !== ownerUrl)
    return others[this.failures % Math.max(1, others.length)] ?? ownerUrl
  }

  private settleStream (end: EndEvent | LeftStream): AttemptSequel {
    const isFirstCopy = !this.mayHaveArrived
    this.mayHaveArrived = true
    return end.type === 'left' ? this.settleLeft(end) : this.settleEnd(end, isFirstCopy)
  }

  private settleLeft ({ cause, detail }: LeftStream): AttemptSequel {
    this.lastDetail = detail
    const handlers: Record<LeaveCause, () => AttemptSequel> = {
      spliced: () => createFailure('generationLost', detail),
      gap: () => this.pickNextRoute(),
      handover: () => this.settleHandover(detail)
    }
    return handlers[cause]()
  }

  private settleHandover (detail: string): AttemptSequel {
    if (this.options.context.buffer.getResumeToken() === undefined) return this.settleLostGeneration('draining', detail)
    this.resumeElsewhere()
    return undefined
  }

  private resumeElsewhere (): void {
    this.ownerGone = true
    this.route = 'resume'
  }

  private settleError (error: ExchangeError): AttemptSequel {
    this.lastDetail = error.detail
    const handlers: { [K in ExchangeError['kind']]: () => AttemptSequel } = {
      aborted: () => {
        this.mayHaveArrived ||= (error as AbortedError).mayHaveArrived
        return this.options.context.cancelSignal.aborted ? 'cancelled' : this.settleNothingLearnt()
      },
      notSent: () => this.settleNotSent(error as NotSentError),
      cut: () => {
        this.mayHaveArrived = true
        return this.pickNextRoute()
      },
      refused: () => this.settleRefusal(error as RefusedError)
    }
    return handlers[error.kind]()
  }

  /** A request that has never left may go to another owner at once. */
  private settleNotSent ({ detail, isRefused }: NotSentError): AttemptSequel {
    if (!this.mayHaveArrived) return createRetry('moveOn', 'ownerUnreachable', detail)
    if (this.route === 'owner' && isRefused === true) this.refusals++
    if (this.options.context.kind === 'call' && this.refusals >= OWNER_REFUSALS) return this.settleNothingLearnt()
    this.failures = Math.max(this.failures, OWNER_ATTEMPTS)
    return this.pickNextRoute()
  }

  private settleRefusal ({ error, detail }: RefusedError): AttemptSequel {
    const isTemporary = TEMPORARY_ERRORS[error]
    if (this.route === 'resume') return isTemporary ? this.pickNextRoute() : this.settleLostGeneration('generationLost', detail)
    if (isTemporary && error !== 'internal' && !this.mayHaveArrived) return createRetry('moveOn', error, detail)
    if (!isTemporary) {
      const outcome = this.mayHaveArrived ? 'unknown' : 'notRun'
      return { result: { outcome, reason: error, detail }, sequel: 'none' }
    }
    this.mayHaveArrived = true
    return this.pickNextRoute()
  }

  private settleEnd (end: EndEvent, isFirstCopy: boolean): AttemptSequel {
    const { reason, detail = '', retryAfterMs } = end
    const handlers: Record<EndMeaning, () => AttemptSequel> = {
      final: () => this.settleFinal(end),
      moveOn: () => createRetry('moveOn', reason, detail, retryAfterMs),
      tryLater: () => createRetry('tryLater', reason, detail, retryAfterMs),
      ownerUnreachable: () => this.settleOwnerUnreachable(),
      ownerGone: () => this.settleOwnerGone(end, isFirstCopy),
      generationLost: () => this.settleLostGeneration(reason, detail)
    }
    return handlers[getEndMeaning(end)]()
  }

  private settleFinal ({ outcome, reason, detail = '', retryAfterMs, tokens }: EndEvent): AttemptSequel {
    const { buffer, kind } = this.options.context
    if (outcome !== 'complete') return { result: { outcome, reason, detail, retryAfterMs }, sequel: 'none' }
    const reply = buffer.getReply()
    const isWhole = kind === 'call' ? reply !== undefined : (tokens ?? buffer.getOffset()) === buffer.getOffset()
    if (isWhole) return { result: { outcome, reason, tokens: buffer.getTokens(), reply }, sequel: 'none' }
    this.lastDetail = 'the answer ended before all of it had arrived'
    return this.pickNextRoute()
  }

  private settleOwnerUnreachable (): AttemptSequel {
    this.lastDetail = 'no instance reaches the owner of the request'
    return this.pickNextRoute()
  }

  /** A process that does not know the lease has taken the only copy, so the owner never got the request. */
  private settleOwnerGone (end: EndEvent, isFirstCopy: boolean): AttemptSequel {
    const { buffer, kind } = this.options.context
    if (isFirstCopy) return createRetry('moveOn', end.reason, end.detail ?? '')
    if (kind === 'call') return this.settleFinal(end)
    if (this.route === 'resume' || buffer.getResumeToken() === undefined) {
      return this.settleLostGeneration(end.reason, end.detail ?? '')
    }
    this.resumeElsewhere()
    return undefined
  }

  /** The owner first, then past it where a generation can be read at its engine, then the owner through other instances. */
  private pickNextRoute (): undefined {
    if (this.route === 'owner') this.options.context.services.leases.removeLease(this.options.slot)
    if (this.route === 'owner' && this.failures < OWNER_ATTEMPTS) return undefined
    const canResume = this.options.context.buffer.getResumeToken() !== undefined
    const routes: Record<Route, Route> = {
      owner: canResume ? 'resume' : 'forward',
      resume: this.ownerGone ? 'resume' : 'forward',
      forward: 'owner'
    }
    this.route = routes[this.route]
    return undefined
  }

  private settleLostGeneration (reason: AnswerReason, detail: string): SubmissionEnd {
    const { buffer, kind } = this.options.context
    const failure = createFailure(reason, detail)
    const canStartAnew = kind === 'generation' && !buffer.isDelivered()
    return canStartAnew ? { ...failure, sequel: 'startAnew' } : failure
  }

  private settleNothingLearnt (): SubmissionEnd {
    const { kind, services, deadlineAtMs } = this.options.context
    const isOverdue = this.overdue.signal.aborted || services.clock.nowMs() >= deadlineAtMs
    const reason = isOverdue ? 'deadlineExceeded' : 'ownerUnreachable'
    if (!this.mayHaveArrived) return createRetry('moveOn', reason, this.lastDetail)
    if (kind === 'generation') return this.settleLostGeneration(reason, this.lastDetail)
    return { result: { outcome: 'unknown', reason, detail: this.lastDetail }, sequel: 'none' }
  }
}

function createRetry (sequel: Sequel, reason: AnswerReason, detail: string, retryAfterMs?: number): SubmissionEnd {
  return { result: { outcome: 'notRun', reason, detail, retryAfterMs }, sequel, retryAfterMs }
}

function createFailure (reason: AnswerReason, detail: string): SubmissionEnd {
  return { result: { outcome: 'failed', reason, detail }, sequel: 'none' }
}
