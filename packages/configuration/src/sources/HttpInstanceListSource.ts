import { type BufferBudget, type Clock } from '@fescuespoke/common'
import { type PublishedList } from '@fescuespoke/schema'
import { type Result } from 'true-myth'
import { type Dispatcher } from 'undici'
import { checkList } from './checkList.js'
import { type InstanceListSource } from './InstanceListSource.js'
import { readDocument, type SourceError } from './readDocument.js'

/** Default time to wait for a response beyond the requested wait, in milliseconds. */
const DEFAULT_TIMEOUT_MS = 1000

/** Options of an instance list source over HTTP. */
export interface HttpInstanceListSourceOptions {
  /** Base URL of the service that publishes the instance list. */
  readonly url: string
  readonly clock: Clock
  /** Time to wait for a response beyond the requested wait, in milliseconds. */
  readonly timeoutMs?: number
  readonly dispatcher?: Dispatcher
  /** Bounds the bytes that the process buffers; by default those of each read alone. */
  readonly bufferBudget?: BufferBudget
}

/** Reads the published list of instances and targets over HTTP. */
export class HttpInstanceListSource implements InstanceListSource {
  /**
   * Creates a source.
   * @param options - Options of the source.
   */
  static create (options: HttpInstanceListSourceOptions): HttpInstanceListSource {
    return new HttpInstanceListSource(options)
  }

  /** @internal */
  private constructor (private readonly options: HttpInstanceListSourceOptions) {}

  /**
   * Waits for a list with another version.
   * @param after - Version that the caller already has; 0 for the current list.
   * @param waitMs - Maximum time that the platform waits for another version, in milliseconds.
   * @param signal - Cancels the request.
   */
  async fetchList (after: number, waitMs: number, signal?: AbortSignal): Promise<Result<PublishedList, SourceError>> {
    const { url, clock, dispatcher, bufferBudget, timeoutMs = DEFAULT_TIMEOUT_MS } = this.options
    return await readDocument({
      url: `${url}/v1/instances?after=${after}&waitMs=${waitMs}`,
      validate: checkList,
      timeoutMs: waitMs + timeoutMs,
      clock,
      ...(signal === undefined ? {} : { signal }),
      ...(dispatcher === undefined ? {} : { dispatcher }),
      ...(bufferBudget === undefined ? {} : { bufferBudget })
    })
  }
}
