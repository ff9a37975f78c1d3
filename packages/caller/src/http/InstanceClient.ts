import { type Clock, readJsonLines } from '@fescuespoke/common'
import { createValidator, type AddressAnswer, type EndEvent, type ErrorBody, type LeaseGrant, type StreamEvent, type Validator } from '@fescuespoke/schema'
import { Result } from 'true-myth'
import { type Dispatcher, request } from 'undici'
import { type ConnectionPool } from './ConnectionPool.js'
import { describeException, type ExchangeError, isRefusedConnection, type RefusedError } from './ExchangeError.js'
import { observeSending } from './observeSending.js'
import { SilenceTimer } from './SilenceTimer.js'

/** One HTTP request to one instance. */
export interface InstanceRequest {
  readonly method: 'GET' | 'PUT' | 'POST' | 'DELETE'
  /** Base URL of the instance. */
  readonly url: string
  readonly path: string
  /** JSON text. */
  readonly body?: string
  /** Whether the instance answers without asking others first. */
  readonly answersAtOnce?: boolean
  /** Gives the request up. */
  readonly signal?: AbortSignal
}

/** Why a stream is left before its end. */
export type LeaveCause =
  /** Another generation began after the application had got a token. */
  | 'spliced'
  /** Tokens are missing. */
  | 'gap'
  /** The owner asks for the generation to be resumed through another instance. */
  | 'handover'

/** A stream was left before its end. */
export interface LeftStream {
  readonly type: 'left'
  readonly cause: LeaveCause
  readonly detail: string
}

/** What to do after an event of a stream. */
export type StreamStep = 'read' | LeftStream

/** Receives the events of a stream. */
export type StreamObserver = (event: StreamEvent) => StreamStep

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

const checkAddressAnswer = createValidator<AddressAnswer>('caller', 'AddressAnswer')
const checkLeaseGrant = createValidator<LeaseGrant>('caller', 'LeaseGrant')
const checkEndEvent = createValidator<EndEvent>('caller', 'EndEvent')
const checkStreamEvent = createValidator<StreamEvent>('caller', 'StreamEvent')
const checkErrorBody = createValidator<ErrorBody>('caller', 'ErrorBody')

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
    return await this.fetchValue({ method: 'GET', url, path: `/v1/addresses?${query.toString()}`, answersAtOnce: true }, checkAddressAnswer)
  }

  /**
   * Requests a lease.
   * @param url - Base URL of the instance that will own the requests.
   * @param workspace - Name of the workspace.
   */
  async requestLease (url: string, workspace: string): Promise<Result<LeaseGrant, ExchangeError>> {
    return await this.fetchValue({ method: 'POST', url, path: '/v1/leases', body: JSON.stringify({ workspace }), answersAtOnce: true }, checkLeaseGrant)
  }

  /**
   * Cancels a request and gets how it ended.
   * @param url - Base URL of any instance.
   * @param path - Path of the request.
   */
  async cancelRequest (url: string, path: string): Promise<Result<EndEvent, ExchangeError>> {
    return await this.fetchValue({ method: 'DELETE', url, path }, checkEndEvent)
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
   * @param observe - Receives the events before the last.
   */
  async readStream (streamRequest: InstanceRequest, observe: StreamObserver): Promise<Result<EndEvent | LeftStream, ExchangeError>> {
    return await this.exchange(streamRequest, async (response, timer) => {
      for await (const value of readJsonLines(observeChunks(response.body, timer), MAX_LINE_CHARACTERS)) {
        const event = readValue(value, checkStreamEvent)
        if (event.type === 'end') return event
        const step = observe(event)
        if (step !== 'read') return step
      }
      throw new Error('the stream ended without an end event')
    })
  }

  private async fetchValue<T> (valueRequest: InstanceRequest, check: Validator<T>): Promise<Result<T, ExchangeError>> {
    return await this.exchange(valueRequest, async response => readValue(await response.body.json(), check))
  }

  private async exchange<T> (
    { method, url, path, body, signal, answersAtOnce }: InstanceRequest,
    read: (response: Dispatcher.ResponseData, timer: SilenceTimer) => Promise<T>
  ): Promise<Result<T, ExchangeError>> {
    const { clock, pool, silenceMs } = this.options
    const dispatcher = pool.getDispatcher()
    const firstByteMs = answersAtOnce === true ? this.options.firstByteMs : silenceMs
    const timer = SilenceTimer.create({ clock, silenceMs, firstByteMs, signal })
    const headers = body === undefined ? undefined : { 'content-type': 'application/json' }
    const progress: Progress = { hasLeft: false, limitMs: firstByteMs }
    try {
      const observed = observeSending(dispatcher, () => { progress.hasLeft = true })
      const response = await request(url + path, { dispatcher: observed, method, body, headers, signal: timer.getSignal() })
      progress.limitMs = silenceMs
      timer.restart()
      if (response.statusCode >= 400) return Result.err(await readRefusal(response))
      return Result.ok(await read(response, timer))
    } catch (cause) {
      if (signal?.aborted === true) return Result.err({ kind: 'aborted', mayHaveArrived: progress.hasLeft, detail: 'given up by the caller' })
      pool.replace(dispatcher)
      return Result.err(describeFailure(cause, timer, progress))
    } finally {
      timer.stop()
    }
  }
}

interface Progress {
  /** Whether a byte of the request may have left. */
  hasLeft: boolean
  /** Longest silence at this point, in milliseconds. */
  limitMs: number
}

function describeFailure (cause: unknown, timer: SilenceTimer, { hasLeft, limitMs }: Progress): ExchangeError {
  const detail = timer.getSignal().aborted ? `silent for ${limitMs} ms` : describeException(cause)
  return hasLeft ? { kind: 'cut', detail } : { kind: 'notSent', detail, isRefused: isRefusedConnection(cause) }
}

async function * observeChunks (chunks: AsyncIterable<Uint8Array>, timer: SilenceTimer): AsyncGenerator<Uint8Array> {
  for await (const chunk of chunks) {
    timer.restart()
    yield chunk
  }
}

function readValue<T> (value: unknown, check: Validator<T>): T {
  const checked = check(value)
  if (checked.isOk) return checked.value
  throw new Error(`unreadable answer: ${checked.error.map(problem => problem.field).join(', ')}`)
}

async function readRefusal (response: Dispatcher.ResponseData): Promise<RefusedError> {
  const status = response.statusCode
  const text = await response.body.text()
  const checked = checkErrorBody(parseJson(text))
  if (checked.isErr) return { kind: 'refused', status, error: 'internal', detail: `HTTP status ${status}` }
  const { error, message, problems = [] } = checked.value
  const fields = problems.map(problem => `${problem.field}: ${problem.allowed}`)
  return { kind: 'refused', status, error, detail: [message, ...fields].join('; ') }
}

function parseJson (text: string): unknown {
  try {
    return JSON.parse(text)
  } catch {
    return undefined
  }
}
