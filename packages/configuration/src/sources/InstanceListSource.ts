import { type PublishedList } from '@fescuespoke/schema'
import { type Result } from 'true-myth'
import { type SourceError } from './readDocument.js'

/** Reads the published list of instances and targets. */
export interface InstanceListSource {
  /**
   * Waits for a list of another version.
   * @param after - Version that is known; 0 for the list as it is.
   * @param waitMs - Longest wait of the platform in milliseconds.
   * @param signal - Ends the wait early.
   */
  fetchList(after: number, waitMs: number, signal?: AbortSignal): Promise<Result<PublishedList, SourceError>>
}
