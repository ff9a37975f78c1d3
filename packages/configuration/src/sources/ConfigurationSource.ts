import { type PublishedChange, type PublishedValues } from '@fescuespoke/schema'
import { type Result } from 'true-myth'
import { type SourceError } from './readDocument.js'

/** Reads the published records. */
export interface ConfigurationSource {
  /**
   * Fetches the whole published state.
   * @param signal - Ends the read early.
   */
  fetchSnapshot(signal?: AbortSignal): Promise<Result<PublishedValues, SourceError>>
  /**
   * Waits for a change after a revision.
   * @param after - Revision that is known.
   * @param waitMs - Longest wait of the service in milliseconds.
   * @param signal - Ends the wait early.
   */
  fetchChange(after: number, waitMs: number, signal?: AbortSignal): Promise<Result<PublishedChange, SourceError>>
}
