import { BufferBudget, type Clock, JsonLineError, readJsonLines, readLimitedText, type Target } from '@fescuespoke/common'
import {
  type CacheEvent, type CacheEvents, createValidator, type EngineEvent, type TargetState, type Validator
} from '@fescuespoke/schema'
import { Result } from 'true-myth'
import { Agent, type Dispatcher, request } from 'undici'
import { sendCallOnce } from './sendCallOnce.js'
import {
  type CallError, type CallOptions, type CallReply, type GenerationEvents, type GenerationOptions, type TargetClient,
  type TargetError
} from './TargetClient.js'

/** Maximum length of a line in a response stream, in characters. */
const MAX_LINE_CHARACTERS = 1_048_576

const checkEngineEvent: Validator<EngineEvent> = createValidator('platform', 'EngineEvent')
const checkState: Validator<TargetState> = createValidator('platform', 'TargetState')
const checkCacheEvents: Validator<CacheEvents> = createValidator('platform', 'CacheEvents')

/** Maximum size of the state or the cache events of a target, in bytes. */
const MAX_DOCUMENT_BYTES = 4_194_304

/** Options of a target client. */
export interface HttpTargetClientOptions {
  readonly clock: Clock
  /** Maximum time to establish a connection, in milliseconds. */
  readonly connectTimeoutMs: number
  /** Time without received data after which a connection is closed, in milliseconds. */
  readonly silenceMs: number
  /** Bounds the bytes that the process buffers; by default those of this client alone. */
  readonly bufferBudget?: BufferBudget
  /** Called with the number of bytes sent and received by each request for the state or the cache events of a target. */
  readonly observeTraffic?: (bytesOut: number, bytesIn: number) => void
}

/** Bytes of the separators of one header: `: ` and the line break. */
const HEADER_SEPARATOR_BYTES = 4

/** Estimated bytes of the request line and headers, without the path. */
const REQUEST_OVERHEAD_BYTES = 60

/** Client for the published HTTP protocols of targets. */
export class HttpTargetClient implements TargetClient {
  /**
   * Creates a client.
   * @param options - Options of the client.
   */
  static create (options: HttpTargetClientOptions): HttpTargetClient {
    return new HttpTargetClient(options)
  }

  private readonly agent: Agent
  private readonly bufferBudget: BufferBudget

  /** @internal */
  private constructor (private readonly options: HttpTargetClientOptions) {
    this.bufferBudget = options.bufferBudget ?? BufferBudget.create()
    this.agent = new Agent({ connect: { timeout: options.connectTimeoutMs }, headersTimeout: 0, bodyTimeout: 0, pipelining: 1 })
  }

  /** @inheritdoc */
  async * openGeneration (target: Target, options: GenerationOptions): GenerationEvents {
    const abort = new AbortController()
    const forwardAbort = (): void => abort.abort()
    options.signal.addEventListener('abort', forwardAbort)
    const watchdog = this.createWatchdog(abort)
    try {
      yield * this.readGeneration(target, options, abort.signal, watchdog.restart)
    } catch (error) {
      yield Result.err(watchdog.hasFired() ? 'silent' : classifyError(error, options.signal))
    } finally {
      watchdog.stop()
      options.signal.removeEventListener('abort', forwardAbort)
      abort.abort()
    }
  }

  /** @inheritdoc */
  async cancelGeneration (target: Target, generation: string): Promise<Result<null, TargetError>> {
    const result = await this.fetchJson(target, `/v1/generations/${encodeURIComponent(generation)}`, 'DELETE')
    return result.map(() => null)
  }

  /** @inheritdoc */
  async sendCall (target: Target, options: CallOptions): Promise<Result<CallReply, CallError>> {
    return await sendCallOnce(target, options, { ...this.options, bufferBudget: this.bufferBudget })
  }

  /** @inheritdoc */
  async fetchState (target: Target): Promise<Result<TargetState, TargetError>> {
    return (await this.fetchJson(target, '/v1/state', 'GET')).andThen(body => mapValidationError(checkState(body)))
  }

  /** @inheritdoc */
  async fetchCacheEvents (target: Target, after: number): Promise<Result<CacheEvent[], TargetError>> {
    const result = await this.fetchJson(target, `/v1/cache-events?after=${after}`, 'GET')
    return result.andThen(body => mapValidationError(checkCacheEvents(body))).map(({ events }) => events)
  }

  /** Closes all connections. */
  async close (): Promise<void> {
    await this.agent.destroy()
  }

  private async * readGeneration (
    target: Target, options: GenerationOptions, signal: AbortSignal, restartWatchdog: () => void
  ): GenerationEvents {
    if (options.canSend?.() === false) {
      yield Result.err('withheld')
      return
    }
    const response = await this.requestGeneration(target, options, signal)
    if (response.statusCode !== 200) {
      await response.body.dump()
      yield Result.err(response.statusCode === 404 ? 'notFound' : 'refused')
      return
    }
    for await (const line of this.readLines(response, options)) {
      restartWatchdog()
      const event = checkEngineEvent(line)
      if (event.isErr) throw new JsonLineError('notJson', 'an engine event does not match its schema')
      yield Result.ok(event.value)
      if (event.value.type === 'end') return
      restartWatchdog()
    }
    yield Result.err('cut')
  }

  /** Reads the lines of a generation, whose connection is closed if the process buffers too many bytes and most for the line that is arriving. */
  private async * readLines ({ body }: Dispatcher.ResponseData, { generation }: GenerationOptions): AsyncGenerator<unknown, void, undefined> {
    const account = this.bufferBudget.openAccount({ kind: 'targetAnswer', request: generation, end: () => { body.destroy() } })
    try {
      yield * readJsonLines(body, MAX_LINE_CHARACTERS, length => account.setBytes(length))
    } finally {
      account.close()
    }
  }

  private async requestGeneration (target: Target, options: GenerationOptions, signal: AbortSignal): Promise<Dispatcher.ResponseData> {
    const url = `${target.url}/v1/generations/${encodeURIComponent(options.generation)}?offset=${options.offset}`
    const requestOptions = options.spec === undefined
      ? { method: 'GET' as const }
      : { method: 'PUT' as const, body: JSON.stringify(options.spec), headers: { 'content-type': 'application/json' } }
    return await request(url, { ...requestOptions, signal, dispatcher: this.agent })
  }

  private async fetchJson (target: Target, path: string, method: 'GET' | 'DELETE'): Promise<Result<unknown, TargetError>> {
    const abort = new AbortController()
    const watchdog = this.createWatchdog(abort)
    try {
      const response = await request(`${target.url}${path}`, { method, signal: abort.signal, dispatcher: this.agent })
      if (response.statusCode === 204) return Result.ok(null)
      const text = await readLimitedText(response.body, { maxBytes: MAX_DOCUMENT_BYTES, bufferBudget: this.bufferBudget, owner: { kind: 'controlAnswer', peer: target.url } })
      if (text.isErr) return Result.err('malformed')
      this.options.observeTraffic?.(path.length + REQUEST_OVERHEAD_BYTES, text.value.length + countHeaderBytes(response.headers))
      const body: unknown = JSON.parse(text.value)
      return response.statusCode === 200 ? Result.ok(body) : Result.err(response.statusCode === 404 ? 'notFound' : 'refused')
    } catch (error) {
      return Result.err(watchdog.hasFired() ? 'silent' : classifyError(error, undefined))
    } finally {
      watchdog.stop()
    }
  }

  private createWatchdog (abort: AbortController): Watchdog {
    const { clock, silenceMs } = this.options
    let isFired = false
    const fire = (): void => {
      isFired = true
      abort.abort()
    }
    let cancel = clock.startTimer(silenceMs, fire)
    return {
      restart: () => {
        cancel()
        cancel = clock.startTimer(silenceMs, fire)
      },
      stop: () => cancel(),
      hasFired: () => isFired
    }
  }
}

interface Watchdog {
  restart(): void
  stop(): void
  hasFired(): boolean
}

const UNREACHABLE_CODES: ReadonlySet<string> =
  new Set(['ECONNREFUSED', 'UND_ERR_CONNECT_TIMEOUT', 'EHOSTUNREACH', 'ENETUNREACH', 'ENOTFOUND', 'ETIMEDOUT'])

function classifyError (error: unknown, signal: AbortSignal | undefined): TargetError {
  if (signal?.aborted === true) return 'aborted'
  if (error instanceof JsonLineError || error instanceof SyntaxError) return 'malformed'
  const code = (error as { code?: string }).code ?? ''
  return UNREACHABLE_CODES.has(code) ? 'unreachable' : 'cut'
}

function countHeaderBytes (headers: Dispatcher.ResponseData['headers']): number {
  return Object.entries(headers).reduce((sum, [name, value]) => sum + name.length + String(value).length + HEADER_SEPARATOR_BYTES, 0)
}

function mapValidationError<T> (validated: Result<T, unknown>): Result<T, TargetError> {
  return validated.mapErr(() => 'malformed' as const)
}
