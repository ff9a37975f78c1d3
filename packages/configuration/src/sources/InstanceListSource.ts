import { type PublishedList } from '@fescuespoke/schema'
import { type Result } from 'true-myth'
import { type SourceError } from './readDocument.js'

/** Reads the published list of instances and targets. */
export interface InstanceListSource {
  /**
   * Waits for a list with another version.
   * @param after - Version that the caller already has; 0 for the current list.
   * @param waitMs - Maximum time that the platform waits for another version, in milliseconds.
   * @param signal - Cancels the request.
   */
  fetchList(after: number, waitMs: number, signal?: AbortSignal): Promise<Result<PublishedList, SourceError>>
}
