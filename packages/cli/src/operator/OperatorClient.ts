import { type Clock } from '@fescuespoke/common'
import {
  type AuditPage, createValidator, type ErrorBody, type Explanation, formatProblem, type InstanceStatus, type MetricsReading, type Validator
} from '@fescuespoke/schema'
import { Result } from 'true-myth'
import { type Dispatcher, request } from 'undici'

/** Why an instance gave no answer. */
export type OperatorErrorKind = 'unreachable' | 'notFound' | 'refused' | 'malformed'

/** A failed question to an instance. */
export interface OperatorError {
  readonly kind: OperatorErrorKind
  readonly detail: string
}

/** Options of an operator client. */
export interface OperatorClientOptions {
  /** Base URL of the operators' interface. */
  readonly url: string
  readonly clock: Clock
  readonly dispatcher: Dispatcher
  /** Longest wait for an answer in milliseconds. */
  readonly timeoutMs: number
}

/** Longest answer that is read, in bytes. */
const MAX_ANSWER_BYTES = 16 * 1024 * 1024

const checkStatus = createValidator<InstanceStatus>('operator', 'InstanceStatus')
const checkAuditPage = createValidator<AuditPage>('operator', 'AuditPage')
const checkMetrics = createValidator<MetricsReading>('operator', 'MetricsReading')
const checkExplanation = createValidator<Explanation>('operator', 'Explanation')
const checkErrorBody = createValidator<ErrorBody>('caller', 'ErrorBody')

/** Asks one instance over the HTTP interface for operators. */
export class OperatorClient {
  /**
   * Creates a client.
   * @param options - Options of the client.
   */
  static create (options: OperatorClientOptions): OperatorClient {
    return new OperatorClient(options)
  }

  /** @internal */
  private constructor (private readonly options: OperatorClientOptions) {}

  /** Fetches the status. */
  async fetchStatus (): Promise<Result<InstanceStatus, OperatorError>> {
    return await this.fetchValue('/v1/status', checkStatus)
  }

  /**
   * Fetches events of the audit trail.
   * @param after - Sequence number of the last event that is known.
   */
  async fetchAudit (after: number): Promise<Result<AuditPage, OperatorError>> {
    return await this.fetchValue(`/v1/audit?after=${after}`, checkAuditPage)
  }

  /** Fetches the metrics. */
  async fetchMetrics (): Promise<Result<MetricsReading, OperatorError>> {
    return await this.fetchValue('/v1/metrics', checkMetrics)
  }

  /**
   * Fetches why a request went where it went.
   * @param requestId - Id of the request.
   */
  async fetchExplanation (requestId: string): Promise<Result<Explanation, OperatorError>> {
    return await this.fetchValue(`/v1/explanations/${encodeURIComponent(requestId)}`, checkExplanation)
  }

  private async fetchValue<T> (path: string, check: Validator<T>): Promise<Result<T, OperatorError>> {
    const { url, clock, dispatcher, timeoutMs } = this.options
    const timeout = new AbortController()
    const cancelTimer = clock.startTimer(timeoutMs, () => timeout.abort())
    try {
      const response = await request(url + path, { dispatcher, signal: timeout.signal })
      return convertAnswer(response.statusCode, await readText(response.body), check)
    } catch (error) {
      const detail = timeout.signal.aborted ? `no answer within ${timeoutMs} ms` : describeException(error)
      return Result.err({ kind: 'unreachable', detail })
    } finally {
      cancelTimer()
    }
  }
}

async function readText (body: AsyncIterable<Buffer>): Promise<string> {
  const chunks: Buffer[] = []
  let size = 0
  for await (const chunk of body) {
    size += chunk.length
    if (size > MAX_ANSWER_BYTES) throw new Error(`the answer has more than ${MAX_ANSWER_BYTES} bytes`)
    chunks.push(chunk)
  }
  return Buffer.concat(chunks).toString('utf8')
}

function convertAnswer<T> (status: number, text: string, check: Validator<T>): Result<T, OperatorError> {
  const value = parseJson(text)
  if (status === 404) return Result.err({ kind: 'notFound', detail: describeRefusal(status, value) })
  if (status >= 400) return Result.err({ kind: 'refused', detail: describeRefusal(status, value) })
  return check(value).mapErr(problems => ({
    kind: 'malformed',
    detail: `the answer does not match the schema of this command line: ${problems.slice(0, 1).map(formatProblem).join()}`
  }))
}

function describeRefusal (status: number, value: unknown): string {
  return checkErrorBody(value).mapOr(`HTTP status ${status}`, ({ message }) => `HTTP status ${status}, ${message}`)
}

function parseJson (text: string): unknown {
  try {
    return JSON.parse(text)
  } catch {
    return undefined
  }
}

function describeException (error: unknown): string {
  const { code, message } = error as { code?: string, message?: string }
  return message === undefined || message === '' ? String(code) : message
}
