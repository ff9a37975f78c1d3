import { type BufferBudget, type Clock } from '@fescuespoke/common'
import { createValidator, type PublishedChange, type PublishedValues } from '@fescuespoke/schema'
import { type Result } from 'true-myth'
import { type Dispatcher } from 'undici'
import { type ConfigurationSource } from './ConfigurationSource.js'
import { readDocument, type SourceError } from './readDocument.js'

/** Default time to wait for a response beyond the requested wait, in milliseconds. */
const DEFAULT_TIMEOUT_MS = 1000

/** Default timeout for fetching the whole published state, in milliseconds. */
const DEFAULT_SNAPSHOT_TIMEOUT_MS = 3000

/** Options of a configuration source over HTTP. */
export interface HttpConfigurationSourceOptions {
  /** Base URL of the configuration service. */
  readonly url: string
  readonly clock: Clock
  /** Time to wait for a response beyond the requested wait, in milliseconds. */
  readonly timeoutMs?: number
  /** Timeout for fetching the whole published state, in milliseconds. */
  readonly snapshotTimeoutMs?: number
  readonly dispatcher?: Dispatcher
  /** Bounds the bytes that the process buffers; by default those of each read alone. */
  readonly bufferBudget?: BufferBudget
}

const validateValues = createValidator<PublishedValues>('platform', 'PublishedValues')
const validateChange = createValidator<PublishedChange>('platform', 'PublishedChange')

/** Reads the published records from the configuration service. */
export class HttpConfigurationSource implements ConfigurationSource {
  /**
   * Creates a source.
   * @param options - Options of the source.
   */
  static create (options: HttpConfigurationSourceOptions): HttpConfigurationSource {
    return new HttpConfigurationSource(options)
  }

  /** @internal */
  private constructor (private readonly options: HttpConfigurationSourceOptions) {}

  /**
   * Fetches the whole published state.
   * @param signal - Cancels the request.
   */
  async fetchSnapshot (signal?: AbortSignal): Promise<Result<PublishedValues, SourceError>> {
    return await readDocument({
      url: `${this.options.url}/v1/snapshot`,
      validate: validateValues,
      timeoutMs: this.options.snapshotTimeoutMs ?? DEFAULT_SNAPSHOT_TIMEOUT_MS,
      ...this.getReadOptions(signal)
    })
  }

  /**
   * Waits for a change after a revision.
   * @param after - Revision that the caller already has.
   * @param waitMs - Maximum time that the service waits for a change, in milliseconds.
   * @param signal - Cancels the request.
   */
  async fetchChange (after: number, waitMs: number, signal?: AbortSignal): Promise<Result<PublishedChange, SourceError>> {
    return await readDocument({
      url: `${this.options.url}/v1/watch?after=${after}&waitMs=${waitMs}`,
      validate: validateChange,
      timeoutMs: waitMs + (this.options.timeoutMs ?? DEFAULT_TIMEOUT_MS),
      ...this.getReadOptions(signal)
    })
  }

  private getReadOptions (signal?: AbortSignal): { clock: Clock, signal?: AbortSignal, dispatcher?: Dispatcher, bufferBudget?: BufferBudget } {
    const { clock, dispatcher, bufferBudget } = this.options
    return { clock, ...(signal === undefined ? {} : { signal }), ...(dispatcher === undefined ? {} : { dispatcher }), ...(bufferBudget === undefined ? {} : { bufferBudget }) }
  }
}
