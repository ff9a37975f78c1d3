import { type Result } from 'true-myth'

/** The last write or deletion of a key. */
export interface PublishedItem {
  readonly key: string
  /** Revision of the write or deletion. */
  readonly revision: number
  /** Text of the value; absent when the key was deleted. */
  readonly value?: string
}

/** One page of keys in key order. Pages do not form a consistent snapshot. */
export interface PublishedPage {
  readonly items: readonly PublishedItem[]
  /** Revision of the store at the time of the answer. */
  readonly revision: number
  /** Era of the store; it rises each time the store returns from an older copy, after which its revisions start lower. */
  readonly era: number
  /** Key after which the next page starts; absent on the last page. */
  readonly nextAfter?: string
}

/** Changes after a revision. */
export interface PublishedChanges {
  readonly items: readonly PublishedItem[]
  /** Revision from which to continue. */
  readonly revision: number
  /** Era of the store in which the revisions are valid. */
  readonly era: number
}

/** Reason for which the store gave no answer; `compacted` means that the requested history was compacted away. */
export type PublishedError = 'compacted' | 'refused' | 'unreachable' | 'timeout' | 'malformed'

/** Reads keys from the store in which the platform publishes. */
export interface PublishedSource {
  /**
   * Fetches one page of keys.
   * @param after - Key after which the page starts; empty for the first page.
   */
  fetchPage(after: string): Promise<Result<PublishedPage, PublishedError>>
  /**
   * Waits for changes.
   * @param after - Revision after which changes are requested.
   * @param waitMs - Maximum time that the store waits for changes, in milliseconds.
   * @param signal - Aborts the wait.
   */
  watchChanges(after: number, waitMs: number, signal: AbortSignal): Promise<Result<PublishedChanges, PublishedError>>
}
