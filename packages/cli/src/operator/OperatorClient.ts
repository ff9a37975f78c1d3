import { type Clock, parseJson } from '@fescuespoke/common'
import {
  type AuditPage, createValidator, type ErrorBody, type Explanation, formatProblem, type InstanceStatus, type MetricsReading, type Validator
} from '@fescuespoke/schema'
import { Result } from 'true-myth'
import { type Dispatcher, request } from 'undici'

/** Kind of a failed request to an instance. */
export type OperatorErrorKind = 'unreachable' | 'notFound' | 'refused' | 'malformed'

/** Error of a failed request to an instance. */
export interface OperatorError {
  readonly kind: OperatorErrorKind
  readonly detail: string
}

/** Options of an operator client. */
export interface OperatorClientOptions {
  /** Base URL of the operator interface. */
  readonly url: string
  readonly clock: Clock
  readonly dispatcher: Dispatcher
  /** Maximum time to wait for a response, in milliseconds. */
  readonly timeoutMs: number
}

/** Maximum size of a response body, in bytes. */
const MAX_RESPONSE_BYTES = 16 * 1024 * 1024

const validateStatus = createValidator<InstanceStatus>('operator', 'InstanceStatus')
const validateAuditPage = createValidator<AuditPage>('operator', 'AuditPage')
const validateMetrics = createValidator<MetricsReading>('operator', 'MetricsReading')
const validateExplanation = createValidator<Explanation>('operator', 'Explanation')
const validateErrorBody = createValidator<ErrorBody>('caller', 'ErrorBody')

/** Client of the HTTP operator interface of one instance. */
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

  /** Fetches the status of the instance. */
  async fetchStatus (): Promise<Result<InstanceStatus, OperatorError>> {
    return await this.fetchValue('/v1/status', validateStatus)
  }

  /**
   * Fetches events of the audit trail.
   * @param after - Sequence number after which events are returned.
   */
  async fetchAudit (after: number): Promise<Result<AuditPage, OperatorError>> {
    return await this.fetchValue(`/v1/audit?after=${after}`, validateAuditPage)
  }

  /** Fetches the metrics of the instance. */
  async fetchMetrics (): Promise<Result<MetricsReading, OperatorError>> {
    return await this.fetchValue('/v1/metrics', validateMetrics)
  }

  /**
   * Fetches the explanation of how a request was routed.
   * @param requestId - Id of the request.
   */
  async fetchExplanation (requestId: string): Promise<Result<Explanation, OperatorError>> {
    return await this.fetchValue(`/v1/explanations/${encodeURIComponent(requestId)}`, validateExplanation)
  }

  private async fetchValue<T> (path: string, validate: Validator<T>): Promise<Result<T, OperatorError>> {
    const { url, clock, dispatcher, timeoutMs } = this.options
    const timeoutController = new AbortController()
    const cancelTimer = clock.startTimer(timeoutMs, () => timeoutController.abort())
    try {
      const response = await request(url + path, { dispatcher, signal: timeoutController.signal })
      return parseResponse(response.statusCode, await readText(response.body), validate)
    } catch (error) {
      const detail = timeoutController.signal.aborted ? `no response within ${timeoutMs} ms` : describeException(error)
      return Result.err({ kind: 'unreachable', detail })
    } finally {
      cancelTimer()
    }
  }
}

async function readText (body: AsyncIterable<Buffer>): Promise<string> {
  const chunks: Buffer[] = []
  let sizeBytes = 0
  for await (const chunk of body) {
    sizeBytes += chunk.length
    if (sizeBytes > MAX_RESPONSE_BYTES) throw new Error(`the response exceeds ${MAX_RESPONSE_BYTES} bytes`)
    chunks.push(chunk)
  }
  return Buffer.concat(chunks).toString('utf8')
}

function parseResponse<T> (statusCode: number, text: string, validate: Validator<T>): Result<T, OperatorError> {
  const value = parseJson(text)
  if (statusCode === 404) return Result.err({ kind: 'notFound', detail: describeErrorResponse(statusCode, value) })
  if (statusCode >= 400) return Result.err({ kind: 'refused', detail: describeErrorResponse(statusCode, value) })
  return validate(value).mapErr(problems => ({
    kind: 'malformed',
    detail: `the response does not match the schema of this program version: ${problems.slice(0, 1).map(formatProblem).join()}`
  }))
}

function describeErrorResponse (statusCode: number, value: unknown): string {
  return validateErrorBody(value).mapOr(`HTTP status ${statusCode}`, ({ message }) => `HTTP status ${statusCode}, ${message}`)
}

function describeException (error: unknown): string {
  const { code, message } = error as { code?: string, message?: string }
  return message === undefined || message === '' ? String(code) : message
}
