import { type EndEvent } from '@fescuespoke/schema'
import { type Result } from 'true-myth'
import { type ExchangeError } from '../http/ExchangeError.js'
import { type AbandonedStream } from '../http/InstanceClient.js'
import { type Route } from './AttemptRoutes.js'
import { type SubmissionOptions } from './SubmissionOptions.js'

/** Result of an attempt. */
export type AttemptResult = Result<EndEvent | AbandonedStream, ExchangeError>

/** One attempt of a submission. */
export interface AttemptOptions {
  readonly route: Route
  /** Number of attempts since the last progress, by which another instance is chosen. */
  readonly consecutiveFailures: number
  readonly signal: AbortSignal
}

/** Sends the attempts of one submission, each from the offset that its answer has reached. */
export class AttemptSender {
  /**
   * Creates a sender.
   * @param options - Options of the submission.
   */
  static create (options: SubmissionOptions): AttemptSender {
    return new AttemptSender(options)
  }

  private readonly path: string
  private readonly body: string

  /** @internal */
  private constructor (private readonly options: SubmissionOptions) {
    const { requestId, input } = options
    this.path = `/v1/requests/${encodeURIComponent(requestId.lease)}/${requestId.number}`
    this.body = JSON.stringify(input)
  }

  /**
   * Sends an attempt and reads its answer into the buffer of the request.
   * @param attempt - The attempt.
   */
  async sendAttempt (attempt: AttemptOptions): Promise<AttemptResult> {
    const { dependencies: { client }, buffer } = this.options.context
    const { route, signal } = attempt
    const offset = buffer.getOffset()
    const url = await this.selectUrl(attempt)
    const handleEvent = buffer.handleEvent.bind(buffer)
    const resumeToken = buffer.getResumeToken()
    if (route === 'resume' && resumeToken !== undefined) {
      const body = JSON.stringify({ resumeToken, offset })
      return await client.readStream({ method: 'POST', url, path: '/v1/resumes', body, signal }, handleEvent)
    }
    const path = `${this.path}?offset=${offset}`
    return await client.readStream({ method: 'PUT', url, path, body: this.body, signal, isAnsweredLocally: route === 'owner' }, handleEvent)
  }

  private async selectUrl ({ route, consecutiveFailures }: AttemptOptions): Promise<string> {
    const { dependencies, input } = this.options.context
    const { ownerUrl } = this.options.requestId
    if (route === 'owner') return ownerUrl
    const urls = await dependencies.addresses.listUrls(input.service)
    const otherUrls = urls.filter(url => url !== ownerUrl)
    return otherUrls[consecutiveFailures % Math.max(1, otherUrls.length)] ?? ownerUrl
  }
}
