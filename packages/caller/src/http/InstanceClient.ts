import { type Clock, readJsonLines } from '@fescuespoke/common'
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
  /** Whether the instance answers without asking others first. */
  readonly isAnsweredLocally?: boolean
  /** Gives the request up. */
  readonly signal?: AbortSignal
}

/** Why a stream is left before its end. */
export type AbandonCause =
  /** Another generation began after the application had got a token. */
  | 'generationChanged'
  /** Tokens are missing. */
  | 'gap'
  /** The owner asks for the generation to be resumed through another instance. */
  | 'handover'

/** A stream was left before its end. */
export interface AbandonedStream {
  readonly type: 'abandoned'
  readonly cause: AbandonCause
  readonly detail: string
}

/** What to do after an event of a stream. */
export type StreamAction = 'continue' | AbandonedStream

/** Receives the events of a stream. */
export type StreamEventHandler = (event: StreamEvent) => StreamAction

/** Options of an instance client. */
export interface InstanceClientOptions {
  readonly clock: Clock
  readonly pool: ConnectionPool
  /** Silence after which a connection is given up, in milliseconds. */
  readonly silenceMs: number
  /** Longest wait for the first byte of an answer that needs no other instance, in milliseconds. */
  readonly firstByteMs: number
}

/** Longest event that is accepted, in characters. */
const MAX_LINE_CHARACTERS = 16 * 1024 * 1024

const validateAddressAnswer = createValidator<AddressAnswer>('caller', 'AddressAnswer')
const validateLeaseGrant = createValidator<LeaseGrant>('caller', 'LeaseGrant')
const validateEndEvent = createValidator<EndEvent>('caller', 'EndEvent')
const validateStreamEvent = createValidator<StreamEvent>('caller', 'StreamEvent')
const validateErrorBody = createValidator<ErrorBody>('caller', 'ErrorBody')

/** Speaks the HTTP interface of instances and never repeats a request on its own. */
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
   * Cancels a request and gets how it ended.
   * @param url - Base URL of any instance.
   * @param path - Path of the request.
   */
  async cancelRequest (url: string, path: string): Promise<Result<EndEvent, ExchangeError>> {
    return await this.fetchJson({ method: 'DELETE', url, path }, validateEndEvent)
  }

  /**
   * Cancels a generation whose owner is gone.
   * @param url - Base URL of any instance.
   * @param resumeToken - Token of the generation.
   */
  async cancelGeneration (url: string, resumeToken: string): Promise<Result<undefined, ExchangeError>> {
    const path = `/v1/resumes/${encodeURIComponent(resumeToken)}`
    return await this.exchange({ method: 'DELETE', url, path }, async response => {
      await response.body.dump()
      return undefined
    })
  }

  /**
   * Reads a stream up to its end event, or until its observer leaves it.
   * @param streamRequest - Request that is answered by a stream.
   * @param handleEvent - Receives the events before the last.
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
    return await this.exchange(jsonRequest, async response => validateOrThrow(await response.body.json(), validate))
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
    const exchangeProgress: ExchangeProgress = { hasStartedSending: false, timeoutMs: firstByteMs }
    try {
      const interceptedDispatcher = interceptRequestStart(dispatcher, () => { exchangeProgress.hasStartedSending = true })
      const response = await request(url + path, { dispatcher: interceptedDispatcher, method, body, headers, signal: timer.getSignal() })
      exchangeProgress.timeoutMs = silenceMs
      timer.restart()
      if (response.statusCode >= 400) return Result.err(await readHttpError(response))
      return Result.ok(await readResponse(response, timer))
    } catch (cause) {
      if (signal?.aborted === true) return Result.err({ kind: 'aborted', mayHaveArrived: exchangeProgress.hasStartedSending, detail: 'given up by the caller' })
      pool.replaceDispatcher(dispatcher)
      return Result.err(createExchangeError(cause, timer, exchangeProgress))
    } finally {
      timer.stop()
    }
  }
}

interface ExchangeProgress {
  /** Whether a byte of the request may have left. */
  hasStartedSending: boolean
  /** Longest silence at this point, in milliseconds. */
  timeoutMs: number
}

function createExchangeError (cause: unknown, timer: IdleTimer, { hasStartedSending, timeoutMs }: ExchangeProgress): ExchangeError {
  const detail = timer.getSignal().aborted ? `silent for ${timeoutMs} ms` : describeException(cause)
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
  throw new Error(`unreadable answer: ${validated.error.map(problem => problem.field).join(', ')}`)
}

async function readHttpError (response: Dispatcher.ResponseData): Promise<HttpError> {
  const status = response.statusCode
  const text = await response.body.text()
  const validated = validateErrorBody(parseJson(text))
  if (validated.isErr) return { kind: 'httpError', status, error: 'internal', detail: `HTTP status ${status}` }
  const { error, message, problems = [] } = validated.value
  const fields = problems.map(problem => `${problem.field}: ${problem.allowed}`)
  return { kind: 'httpError', status, error, detail: [message, ...fields].join('; ') }
}

function parseJson (text: string): unknown {
  try {
    return JSON.parse(text)
  } catch {
    return undefined
  }
}
