import { type PeerStoreStatus } from './PeerStoreStatus.js'

/** Options of a watch schedule. */
export interface WatchScheduleOptions {
  readonly peerStoreStatus: PeerStoreStatus
  /** Returns whether this instance watches the store for its group. */
  readonly isWatcher: () => boolean
  /** Returns whether changes that peers have reported did not arrive in the expected time. */
  readonly isBehindPeers: () => boolean
  /** Returns the rank of this instance among the watchers of its group; 0 is the first. */
  readonly getWatchRank: () => number
}

/** Decides when an instance watches the store and when it relies on the watches of its peers. */
export interface WatchSchedule {
  /** Returns whether the instance may skip watching because peers watch the store. */
  readonly canSkipWatch: () => boolean
  /** Returns the delay after the answer to a watch, in milliseconds; peers watch in the meantime. */
  readonly getWatchDelayMs: () => number
}

/** Maximum age of the latest store answer of a watcher up to which other instances skip watching, in milliseconds. */
export const MAX_PEER_ANSWER_AGE_MS = 2500

/** Delay between two watches of the standby watchers of a group, in milliseconds. */
export const STANDBY_WATCH_DELAY_MS = 500

/**
 * Creates the watch schedule of an instance.
 * @param options - Options of the schedule.
 */
export function createWatchSchedule ({ peerStoreStatus, isWatcher, isBehindPeers, getWatchRank }: WatchScheduleOptions): WatchSchedule {
  return {
    canSkipWatch: () => !isWatcher() && !isBehindPeers() && peerStoreStatus.getAgeMs() < MAX_PEER_ANSWER_AGE_MS,
    getWatchDelayMs: () => getWatchRank() === 0 ? 0 : STANDBY_WATCH_DELAY_MS
  }
}
