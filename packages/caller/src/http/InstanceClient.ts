import { BufferBudget, type Clock, parseJson, readJsonLines, readLimitedText } from '@fescuespoke/common'
import { createValidator, type AddressAnswer, type EndEvent, type ErrorBody, type LeaseGrant, type StreamEvent, type Validator } from '@fescuespoke/schema'
import { Result } from 'true-myth'
import { type Dispatcher, request } from 'undici'
import { type ConnectionPool } from './ConnectionPool.js'
import { describeException, type ExchangeError, isConnectionRefusedError, type HttpError } from './ExchangeError.js'
import { interceptRequestStart } from './interceptRequestStart.js'
import { IdleTimer } from './IdleTimer.js'

/** One HTTP request to one instance. */
export interface InstanceRequest {
  readonly method: 'GET' | 'PUT' | 'POST' | 'DELETE'
  /** Base URL of the instance. */
  readonly url: string
  readonly path: string
  /** JSON text. */
  readonly body?: string
  /** Whether the instance responds without contacting other instances, so that `firstByteMs` applies. */
  readonly isAnsweredLocally?: boolean
  /** Aborts the request. */
  readonly signal?: AbortSignal
}

/** Reason for abandoning a stream before its end. */
export type AbandonCause =
  /** Another generation began after a token had been delivered to the application. */
  | 'spliced'
  /** Tokens are missing in the stream. */
  | 'gap'
  /** The owner requested that the generation be resumed through another instance. */
  | 'handover'

/** A stream that was abandoned before its end. */
export interface AbandonedStream {
  readonly type: 'abandoned'
  readonly cause: AbandonCause
  readonly detail: string
}

/** Whether to continue reading a stream after an event or to abandon it. */
export type StreamAction = 'continue' | AbandonedStream

/** Handles an event of a stream. */
export type StreamEventHandler = (event: StreamEvent) => StreamAction

/** Options of an instance client. */
export interface InstanceClientOptions {
  readonly clock: Clock
  readonly pool: ConnectionPool
  /** Maximum time without received data, in milliseconds. */
  readonly silenceMs: number
  /** Maximum time to wait for the first byte of a response that involves no other instance, in milliseconds. */
  readonly firstByteMs: number
}

/** Maximum length of an event, in characters. */
const MAX_LINE_CHARACTERS = 16 * 1024 * 1024

/** Maximum size of the body of a response that is no stream, in bytes. */
const MAX_BODY_BYTES = 1024 * 1024

const validateAddressAnswer = createValidator<AddressAnswer>('caller', 'AddressAnswer')
const validateLeaseGrant = createValidator<LeaseGrant>('caller', 'LeaseGrant')
const validateEndEvent = createValidator<EndEvent>('caller', 'EndEvent')
const validateStreamEvent = createValidator<StreamEvent>('caller', 'StreamEvent')
const validateErrorBody = createValidator<ErrorBody>('caller', 'ErrorBody')

/** Client of the HTTP interface of instances. It never retries a request. */
export class InstanceClient {
  /**
   * Creates a client.
   * @param options - Options of the client.
   */
  static create (options: InstanceClientOptions): InstanceClient {
    return new InstanceClient(options)
  }

  /** @internal */
  private constructor (private readonly options: InstanceClientOptions) {}

  /**
   * Fetches the ranked addresses for a service.
   * @param url - Base URL of the instance.
   * @param service - Name of the service.
   * @param workspace - Name of the workspace.
   */
  async fetchAddresses (url: string, service: string, workspace: string): Promise<Result<AddressAnswer, ExchangeError>> {
    const query = new URLSearchParams({ service, workspace })
    return await this.fetchJson({ method: 'GET', url, path: `/v1/addresses?${query.toString()}`, isAnsweredLocally: true }, validateAddressAnswer)
  }

  /**
   * Requests a lease.
   * @param url - Base URL of the instance that will own the requests.
   * @param workspace - Name of the workspace.
   */
  async requestLease (url: string, workspace: string): Promise<Result<LeaseGrant, ExchangeError>> {
    return await this.fetchJson({ method: 'POST', url, path: '/v1/leases', body: JSON.stringify({ workspace }), isAnsweredLocally: true }, validateLeaseGrant)
  }

  /**
   * Cancels a request and returns its end event.
   * @param url - Base URL of any instance.
   * @param path - Path of the request.
   */
  async cancelRequest (url: string, path: string): Promise<Result<EndEvent, ExchangeError>> {
    return await this.fetchJson({ method: 'DELETE', url, path }, validateEndEvent)
  }

  /**
   * Cancels a generation whose owner is lost.
   * @param url - Base URL of any instance.
   * @param resumeToken - Resume token of the generation.
   */
  async cancelGeneration (url: string, resumeToken: string): Promise<Result<undefined, ExchangeError>> {
    const path = `/v1/resumes/${encodeURIComponent(resumeToken)}`
    return await this.exchange({ method: 'DELETE', url, path }, async response => {
      await response.body.dump()
      return undefined
    })
  }

  /**
   * Reads a stream until its end event or until its event handler abandons it.
   * @param streamRequest - Request whose response is a stream.
   * @param handleEvent - Handles all events except the end event.
   */
  async readStream (streamRequest: InstanceRequest, handleEvent: StreamEventHandler): Promise<Result<EndEvent | AbandonedStream, ExchangeError>> {
    return await this.exchange(streamRequest, async (response, timer) => {
      for await (const value of readJsonLines(readChunks(response.body, timer), MAX_LINE_CHARACTERS)) {
        const event = validateOrThrow(value, validateStreamEvent)
        if (event.type === 'end') return event
        const action = handleEvent(event)
        if (action !== 'continue') return action
      }
      throw new Error('the stream ended without an end event')
    })
  }

  private async fetchJson<T> (jsonRequest: InstanceRequest, validate: Validator<T>): Promise<Result<T, ExchangeError>> {
    return await this.exchange(jsonRequest, async response => validateOrThrow(JSON.parse(await readText(response)), validate))
  }

  private async exchange<T> (
    { method, url, path, body, signal, isAnsweredLocally }: InstanceRequest,
    readResponse: (response: Dispatcher.ResponseData, timer: IdleTimer) => Promise<T>
  ): Promise<Result<T, ExchangeError>> {
    const { clock, pool, silenceMs } = this.options
    const dispatcher = pool.getDispatcher()
    const firstByteMs = isAnsweredLocally === true ? this.options.firstByteMs : silenceMs
    const timer = IdleTimer.create({ clock, silenceMs, firstByteMs, signal })
    const headers = body === undefined ? undefined : { 'content-type': 'application/json' }
    const progress: ExchangeProgress = { hasStartedSending: false, timeoutMs: firstByteMs }
    try {
      const interceptedDispatcher = interceptRequestStart(dispatcher, () => { progress.hasStartedSending = true })
      const response = await request(url + path, { dispatcher: interceptedDispatcher, method, body, headers, signal: timer.getSignal() })
      progress.timeoutMs = silenceMs
      timer.restart()
      if (response.statusCode >= 400) return Result.err(await readHttpError(response))
      return Result.ok(await readResponse(response, timer))
    } catch (cause) {
      if (signal?.aborted === true) return Result.err({ kind: 'aborted', mayHaveArrived: progress.hasStartedSending, detail: 'aborted by the caller' })
      pool.replaceDispatcher(dispatcher)
      return Result.err(createExchangeError(cause, timer, progress))
    } finally {
      timer.stop()
    }
  }
}

interface ExchangeProgress {
  /** Whether a byte of the request may have been sent. */
  hasStartedSending: boolean
  /** Maximum time without received data in the current phase of the exchange, in milliseconds. */
  timeoutMs: number
}

function createExchangeError (cause: unknown, timer: IdleTimer, { hasStartedSending, timeoutMs }: ExchangeProgress): ExchangeError {
  const detail = timer.getSignal().aborted ? `no data received for ${timeoutMs} ms` : describeException(cause)
  return hasStartedSending ? { kind: 'interrupted', detail } : { kind: 'notSent', detail, isConnectionRefused: isConnectionRefusedError(cause) }
}

async function * readChunks (chunks: AsyncIterable<Uint8Array>, timer: IdleTimer): AsyncGenerator<Uint8Array> {
  for await (const chunk of chunks) {
    timer.restart()
    yield chunk
  }
}

function validateOrThrow<T> (value: unknown, validate: Validator<T>): T {
  const validated = validate(value)
  if (validated.isOk) return validated.value
  throw new Error(`invalid response: ${validated.error.map(problem => problem.field).join(', ')}`)
}

/** Reads the body of a response that is no stream; throws when it is too long. */
async function readText ({ body }: Dispatcher.ResponseData): Promise<string> {
  const text = await readLimitedText(body, { maxBytes: MAX_BODY_BYTES, bufferBudget: BufferBudget.create(), owner: { kind: 'platformAnswer' } })
  if (text.isErr) throw new Error(`the body of a response exceeds ${MAX_BODY_BYTES} bytes`)
  return text.value
}

async function readHttpError (response: Dispatcher.ResponseData): Promise<HttpError> {
  const status = response.statusCode
  const text = await readText(response)
  const validated = validateErrorBody(parseJson(text))
  if (validated.isErr) return { kind: 'httpError', status, error: 'internal', detail: `HTTP status ${status}` }
  const { error, message, problems = [] } = validated.value
  const fields = problems.map(problem => `${problem.field}: ${problem.allowed}`)
  return { kind: 'httpError', status, error, detail: [message, ...fields].join('; ') }
}
