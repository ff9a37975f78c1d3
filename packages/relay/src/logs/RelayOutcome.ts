import { type RefusalReason } from '../requests/RelayRequest.js'

/** Outcome of a request in the counters. */
export type RelayOutcome = 'answered' | 'targetFailed' | 'brokenOff' | 'callerLeft' | 'stopped' | RefusalReason

/** Outcomes of requests without a complete answer, which may have run. */
const CUT_OUTCOMES: ReadonlySet<RelayOutcome> = new Set<RelayOutcome>(['brokenOff', 'stopped', 'timeout', 'lost'])

/**
 * Returns whether an outcome is that of a request that was cut: it has no complete answer, and may have run.
 * @param outcome - The outcome.
 */
export function isCut (outcome: RelayOutcome): boolean {
  return CUT_OUTCOMES.has(outcome)
}
