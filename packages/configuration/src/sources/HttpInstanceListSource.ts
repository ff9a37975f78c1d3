import { type Clock } from '@fescuespoke/common'
import { type PublishedList } from '@fescuespoke/schema'
import { type Result } from 'true-myth'
import { type Dispatcher } from 'undici'
import { checkList } from './checkList.js'
import { type InstanceListSource } from './InstanceListSource.js'
import { readDocument, type SourceError } from './readDocument.js'

/** Time beyond the wait asked for after which an answer is given up, in milliseconds. */
const DEFAULT_TIMEOUT_MS = 1000

/** Options of an instance list over HTTP. */
export interface HttpInstanceListSourceOptions {
  /** Base URL of the instance list. */
  readonly url: string
  readonly clock: Clock
  /** Time beyond the wait asked for, in milliseconds. */
  readonly timeoutMs?: number
  readonly dispatcher?: Dispatcher
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
   * Waits for a list of another version.
   * @param after - Version that is known; 0 for the list as it is.
   * @param waitMs - Longest wait of the platform in milliseconds.
   * @param signal - Ends the wait early.
   */
  async fetchList (after: number, waitMs: number, signal?: AbortSignal): Promise<Result<PublishedList, SourceError>> {
    const { url, clock, dispatcher, timeoutMs = DEFAULT_TIMEOUT_MS } = this.options
    return await readDocument({
      url: `${url}/v1/instances?after=${after}&waitMs=${waitMs}`,
      validate: checkList,
      timeoutMs: waitMs + timeoutMs,
      clock,
      ...(signal === undefined ? {} : { signal }),
      ...(dispatcher === undefined ? {} : { dispatcher })
    })
  }
}
