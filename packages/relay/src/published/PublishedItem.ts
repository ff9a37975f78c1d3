import { type Result } from 'true-myth'

/** A key as it was written or deleted last. */
export interface PublishedItem {
  readonly key: string
  /** Revision of the write or deletion. */
  readonly revision: number
  /** Text of the value; absent for a deleted key. */
  readonly value?: string
}

/** Part of the keys, in order. Parts are not a snapshot. */
export interface PublishedPage {
  readonly items: readonly PublishedItem[]
  /** Revision of the store when it answered. */
  readonly revision: number
  /** Key after which the next part begins; absent on the last part. */
  readonly nextAfter?: string
}

/** Changes after a revision. */
export interface PublishedChanges {
  readonly items: readonly PublishedItem[]
  /** Revision from which to go on. */
  readonly revision: number
}

/** Why the store gave no answer: `compacted` says that the wanted history is gone. */
export type PublishedError = 'compacted' | 'refused' | 'unreachable' | 'timeout' | 'malformed'

/** Reads what the platform publishes. */
export interface PublishedSource {
  /**
   * Fetches one part of all keys.
   * @param after - Key after which the part begins; empty for the first.
   */
  fetchPage(after: string): Promise<Result<PublishedPage, PublishedError>>
  /**
   * Waits for changes.
   * @param after - Revision after which changes are wanted.
   * @param waitMs - Longest wait of the store in milliseconds.
   * @param signal - Ends the wait.
   */
  watchChanges(after: number, waitMs: number, signal: AbortSignal): Promise<Result<PublishedChanges, PublishedError>>
}
