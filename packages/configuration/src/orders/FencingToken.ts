/** Number of fencing tokens for each revision. A controller that takes a target over within a revision uses the next token. */
const FENCING_TOKENS_PER_REVISION = 65_536

/**
 * Computes the lowest fencing token of a revision.
 * @param revision - Accepted configuration revision.
 */
export function computeFirstFencingToken (revision: number): number {
  return revision * FENCING_TOKENS_PER_REVISION
}

/**
 * Computes the revision that a fencing token belongs to.
 * @param token - The fencing token.
 */
export function computeFencingTokenRevision (token: number): number {
  return Math.floor(token / FENCING_TOKENS_PER_REVISION)
}

/**
 * Computes the fencing token of a controller that takes a target over. It is higher than every token that the target
 * has accepted, so that the target rejects orders of the previous controller, and lower than the tokens of the next
 * revision.
 * @param revision - Accepted configuration revision.
 * @param highestAccepted - Highest token that the target reports as accepted; absent when it reports none.
 */
export function computeTakeoverFencingToken (revision: number, highestAccepted: number | undefined): number {
  const first = computeFirstFencingToken(revision)
  const last = first + FENCING_TOKENS_PER_REVISION - 1
  return Math.min(last, Math.max(first, (highestAccepted ?? first - 1) + 1))
}
