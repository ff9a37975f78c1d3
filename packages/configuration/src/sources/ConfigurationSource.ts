import { type PublishedChange, type PublishedValues } from '@fescuespoke/schema'
import { type Result } from 'true-myth'
import { type SourceError } from './readDocument.js'

/** Reads the published records. */
export interface ConfigurationSource {
  /**
   * Fetches the whole published state.
   * @param signal - Cancels the request.
   */
  fetchSnapshot(signal?: AbortSignal): Promise<Result<PublishedValues, SourceError>>
  /**
   * Waits for a change after a revision.
   * @param after - Revision that the caller already has.
   * @param waitMs - Maximum time that the service waits for a change, in milliseconds.
   * @param signal - Cancels the request.
   */
  fetchChange(after: number, waitMs: number, signal?: AbortSignal): Promise<Result<PublishedChange, SourceError>>
}
