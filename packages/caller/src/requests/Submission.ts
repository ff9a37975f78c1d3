import { type EndEvent, type ErrorBody, type SubmitRequest } from '@fescuespoke/schema'
import { type Result } from 'true-myth'
import { type AnswerResult, type AnswerReason } from '../answer/AnswerResult.js'
import { type ExchangeError, type RefusedError } from '../http/ExchangeError.js'
import { type RequestSlot } from '../leases/LeaseBook.js'
import { type RequestContext } from './RequestContext.js'
import { computeBackoffMs } from './computeBackoffMs.js'
import { getEndMeaning, type EndMeaning, type SubmissionEnd } from './SubmissionEnd.js'

type StreamEnd = Result<EndEvent, ExchangeError>

/** Where the next attempt goes: to the owner, through another instance to the owner, or past a lost owner to the engine. */
type Route = 'owner' | 'forward' | 'resume'

/** Options of a submission. */
export interface SubmissionOptions {
  readonly context: RequestContext
  readonly slot: RequestSlot
  readonly input: SubmitRequest
}

const REFUSAL_IS_TEMPORARY: Record<ErrorBody['error'], boolean> = {
  invalidInput: false,
  tooLarge: false,
  notFound: false,
  conflict: false,
  forbidden: false,
  draining: true,
  notReady: true,
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
  private route: Route = 'owner'
  private failures = 0
  private mayHaveArrived = false
  private ownerLost = false
  private lastError = 'no attempt was made'

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
    const { services, buffer, cancelSignal } = this.options.context
    while (this.failures < services.maxAttempts) {
      await services.clock.sleep(computeBackoffMs(services.random, this.failures), cancelSignal)
      if (cancelSignal.aborted) return 'cancelled'
      const offset = buffer.getOffset()
      const end = await this.attach()
      this.failures = buffer.getOffset() > offset ? 1 : this.failures + 1
      const submissionEnd = this.settleAttempt(end)
      if (submissionEnd !== undefined) return submissionEnd
    }
    return this.giveUp()
  }

  private async attach (): Promise<StreamEnd> {
    const { services, buffer, cancelSignal: signal } = this.options.context
    const offset = buffer.getOffset()
    const url = await this.pickUrl()
    const observe = buffer.observe.bind(buffer)
    const resumeToken = buffer.getResumeToken()
    if (this.route === 'resume' && resumeToken !== undefined) {
      const body = JSON.stringify({ resumeToken, offset })
      return await services.client.readStream({ method: 'POST', url, path: '/v1/resumes', body, signal }, observe)
    }
    const path = `${this.path}?offset=${offset}`
    return await services.client.readStream({ method: 'PUT', url, path, body: this.body, signal }, observe)
  }

  private async pickUrl (): Promise<string> {
    const { services, input } = this.options.context
    const { ownerUrl } = this.options.slot
    if (this.route === 'owner') return ownerUrl
    const urls = await services.addresses.listUrls(input.service)
    const others = urls.filter(url => url !== ownerUrl)
    return others[this.failures % Math.max(1, others.length)] ?? ownerUrl
  }

  private settleAttempt (end: StreamEnd): SubmissionEnd | 'cancelled' | undefined {
    const { buffer } = this.options.context
    if (buffer.isSpliced()) return this.fail('generationLost', 'the generation was lost after some of it had been delivered')
    if (end.isOk) {
      this.mayHaveArrived = true
      return this.settleEnd(end.value)
    }
    this.lastError = end.error.detail
    return this.settleError(end.error)
  }

  private settleError (error: ExchangeError): SubmissionEnd | 'cancelled' | undefined {
    const handlers: { [K in ExchangeError['kind']]: () => SubmissionEnd | 'cancelled' | undefined } = {
      aborted: () => {
        this.mayHaveArrived = true
        return 'cancelled'
      },
      notSent: () => {
        if (!this.mayHaveArrived) return this.resubmit('ownerUnreachable', error.detail)
        return this.changeRoute()
      },
      cut: () => {
        this.mayHaveArrived = true
        return this.settleCut()
      },
      refused: () => this.settleRefusal(error as RefusedError)
    }
    return handlers[error.kind]()
  }

  /** Tries the owner again on a new connection before it goes through another instance. */
  private settleCut (): undefined {
    if (this.route === 'owner' && this.failures <= 1) return undefined
    return this.changeRoute()
  }

  private settleRefusal ({ error, detail }: RefusedError): SubmissionEnd | undefined {
    if (this.route === 'resume') {
      return REFUSAL_IS_TEMPORARY[error] ? undefined : this.loseGeneration('generationLost', detail)
    }
    if (REFUSAL_IS_TEMPORARY[error]) {
      const isCertain = !this.mayHaveArrived && error !== 'internal'
      if (!isCertain) this.mayHaveArrived = true
      return isCertain ? this.resubmit(error, detail) : this.changeRoute()
    }
    if (!this.mayHaveArrived) return { result: { outcome: 'notRun', reason: error, detail }, sequel: 'none' }
    return { result: { outcome: 'unknown', reason: error, detail }, sequel: 'none' }
  }

  private settleEnd (end: EndEvent): SubmissionEnd | undefined {
    const handlers: Record<EndMeaning, () => SubmissionEnd | undefined> = {
      final: () => this.finish(end),
      notRun: () => this.resubmit(end.reason, end.detail ?? '', end.retryAfterMs),
      ownerUnreachable: () => this.settleOwnerUnreachable(),
      ownerGone: () => this.settleOwnerGone(end),
      generationLost: () => this.loseGeneration(end.reason, end.detail ?? '')
    }
    return handlers[getEndMeaning(end)]()
  }

  private finish (end: EndEvent): SubmissionEnd | undefined {
    const { buffer, kind } = this.options.context
    const { outcome, reason, detail = '', retryAfterMs } = end
    if (outcome !== 'complete') return { result: { outcome, reason, detail, retryAfterMs }, sequel: 'none' }
    const isWhole = kind === 'call' ? buffer.getReply() !== undefined : end.tokens === undefined || end.tokens === buffer.getOffset()
    if (!isWhole) return this.changeRoute()
    return { result: { outcome, reason, tokens: buffer.getTokens(), reply: buffer.getReply() }, sequel: 'none' }
  }

  private settleOwnerUnreachable (): SubmissionEnd | undefined {
    this.lastError = 'no instance reaches the owner of the request'
    this.ownerLost = true
    return this.changeRoute()
  }

  private settleOwnerGone (end: EndEvent): SubmissionEnd | undefined {
    const { buffer, kind } = this.options.context
    if (kind === 'call') return this.finish(end)
    if (this.route !== 'resume' && buffer.getResumeToken() !== undefined) {
      this.route = 'resume'
      return undefined
    }
    return this.loseGeneration(end.reason, end.detail ?? '')
  }

  private changeRoute (): undefined {
    const { buffer, kind } = this.options.context
    const canResume = this.ownerLost && kind === 'generation' && buffer.getResumeToken() !== undefined
    const next: Record<Route, Route> = { owner: 'forward', forward: canResume ? 'resume' : 'owner', resume: 'resume' }
    this.route = next[this.route]
    return undefined
  }

  private resubmit (reason: AnswerReason, detail: string, retryAfterMs?: number): SubmissionEnd {
    return { result: { outcome: 'notRun', reason, detail, retryAfterMs }, sequel: 'resubmit', retryAfterMs }
  }

  private loseGeneration (reason: AnswerReason, detail: string): SubmissionEnd {
    const { buffer, kind } = this.options.context
    if (kind === 'call' || buffer.isDelivered()) return this.fail(reason, detail)
    return { ...this.fail(reason, detail), sequel: 'startAnew' }
  }

  private fail (reason: AnswerReason, detail: string): SubmissionEnd {
    return { result: { outcome: 'failed', reason, detail }, sequel: 'none' }
  }

  private giveUp (): SubmissionEnd {
    const { kind } = this.options.context
    if (kind === 'generation') return this.loseGeneration('ownerUnreachable', this.lastError)
    const result: AnswerResult = { outcome: 'unknown', reason: 'ownerUnreachable', detail: this.lastError }
    return { result, sequel: 'none' }
  }
}
