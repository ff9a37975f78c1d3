import { type Result } from 'true-myth'
import { type PublishedPosition } from './PublishedPosition.js'

/** The last write or deletion of a key, with its position. */
export interface PublishedItem extends PublishedPosition {
  readonly key: string
  /** Text of the value; absent when the key was deleted. */
  readonly value?: string
}

/** One page of keys in key order. Pages do not form a consistent snapshot. */
export interface PublishedPage {
  readonly items: readonly PublishedItem[]
  /** Position of the store at the time of the answer. */
  readonly position: PublishedPosition
  /** Key after which the next page starts; absent on the last page. */
  readonly nextAfter?: string
}

/** Changes after a revision. */
export interface PublishedChanges {
  readonly items: readonly PublishedItem[]
  /** Position from which to continue. */
  readonly position: PublishedPosition
}

/**
 * Reason for which the store gave no usable answer. `compacted`: the requested history was compacted away. `restored`: the store
 * has returned from an older copy since the previous answer. `outdated`: the answer is from before the store returned. `tooLarge`: a
 * read of all keys, or an answer while the process buffers much besides, contains more than is accepted.
 */
export type PublishedError = 'compacted' | 'restored' | 'outdated' | 'refused' | 'unreachable' | 'timeout' | 'malformed' | 'tooLarge'

/** Options of one watch. */
export interface WatchOptions {
  /** Maximum time that the store waits for changes, in milliseconds. */
  readonly waitMs: number
  /** Time without any byte of the answer after which it counts as lost, in milliseconds; for its first byte, beyond `waitMs`. */
  readonly answerTimeoutMs: number
  /** Called when the head of the answer has arrived. */
  readonly onArrival?: () => void
  /** Aborts the watch. */
  readonly signal: AbortSignal
}

/**
 * Time for which a source keeps an idle connection to the store, in milliseconds. An instance that has not watched for longer uses a
 * new connection, since the previous one may have gone silent.
 */
export const MAX_IDLE_CONNECTION_MS = 800

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
   * @param options - Options of the watch.
   */
  watchChanges(after: number, options: WatchOptions): Promise<Result<PublishedChanges, PublishedError>>
}
