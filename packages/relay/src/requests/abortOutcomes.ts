import { EVICTION_REASON, type RelayContext, STOP_REASON } from './RelayContext.js'
import { type RefusalReason } from './RelayRequest.js'

/** Why an answer that has begun is broken off. */
export type AbortOutcome = 'brokenOff' | 'callerLeft' | 'timeout' | 'stopped'

/**
 * Returns why an answer that has begun is broken off.
 * @param context - The request.
 */
export function getAbortOutcome ({ sink, signal }: RelayContext): AbortOutcome {
  if (signal.reason === EVICTION_REASON) return 'brokenOff'
  if (sink.callerSignal.aborted) return 'callerLeft'
  if (!signal.aborted) return 'brokenOff'
  return signal.reason === STOP_REASON ? 'stopped' : 'timeout'
}

/**
 * Returns the reason with which an aborted request is refused.
 * @param context - The request, whose signal is aborted.
 * @param isSent - Whether it may have run.
 */
export function findAbortReason ({ signal }: RelayContext, isSent: boolean): RefusalReason {
  if (signal.reason === EVICTION_REASON) return isSent ? 'lost' : 'overloaded'
  if (signal.reason === STOP_REASON) return isSent ? 'lost' : 'stopping'
  return isSent ? 'timeout' : 'timeoutNotRun'
}
