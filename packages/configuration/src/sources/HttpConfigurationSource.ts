import { type Clock } from '@fescuespoke/common'
import { createValidator, type PublishedChange, type PublishedValues } from '@fescuespoke/schema'
import { type Result } from 'true-myth'
import { type Dispatcher } from 'undici'
import { type ConfigurationSource } from './ConfigurationSource.js'
import { readDocument, type SourceError } from './readDocument.js'

/** Time beyond the wait asked for after which an answer is given up, in milliseconds. */
const DEFAULT_TIMEOUT_MS = 1000

/** Time for a whole published state, in milliseconds. */
const DEFAULT_SNAPSHOT_TIMEOUT_MS = 3000

/** Options of a configuration source over HTTP. */
export interface HttpConfigurationSourceOptions {
  /** Base URL of the configuration service. */
  readonly url: string
  readonly clock: Clock
  /** Time beyond the wait asked for, in milliseconds. */
  readonly timeoutMs?: number
  /** Time for a whole published state, in milliseconds. */
  readonly snapshotTimeoutMs?: number
  readonly dispatcher?: Dispatcher
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
   * @param signal - Ends the read early.
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
   * @param after - Revision that is known.
   * @param waitMs - Longest wait of the service in milliseconds.
   * @param signal - Ends the wait early.
   */
  async fetchChange (after: number, waitMs: number, signal?: AbortSignal): Promise<Result<PublishedChange, SourceError>> {
    return await readDocument({
      url: `${this.options.url}/v1/watch?after=${after}&waitMs=${waitMs}`,
      validate: validateChange,
      timeoutMs: waitMs + (this.options.timeoutMs ?? DEFAULT_TIMEOUT_MS),
      ...this.getReadOptions(signal)
    })
  }

  private getReadOptions (signal?: AbortSignal): { clock: Clock, signal?: AbortSignal, dispatcher?: Dispatcher } {
    const { clock, dispatcher } = this.options
    return { clock, ...(signal === undefined ? {} : { signal }), ...(dispatcher === undefined ? {} : { dispatcher }) }
  }
}
