/** Fencing numbers of one revision. A giver that takes over within a revision uses the next one. */
const FENCING_TOKENS_PER_REVISION = 65_536

/**
 * Computes the lowest fencing number of a revision.
 * @param revision - Accepted configuration revision.
 */
export function computeFirstFence (revision: number): number {
  return revision * FENCING_TOKENS_PER_REVISION
}

/**
 * Computes the revision that a fencing number was made from.
 * @param fence - The fencing number.
 */
export function computeFenceRevision (token: number): number {
  return Math.floor(token / FENCING_TOKENS_PER_REVISION)
}

/**
 * Computes the fencing number of an order giver that takes a target over: above every number that the target has
 * accepted, so that the giver before it cannot give orders any more, and still below those of the next revision.
 * @param revision - Accepted configuration revision.
 * @param reported - Highest number that the target reports to have accepted; absent when it reports none.
 */
export function computeTakeoverFencingToken (revision: number, highestAccepted: number | undefined): number {
  const first = computeFirstFence(revision)
  const last = first + FENCING_TOKENS_PER_REVISION - 1
  return Math.min(last, Math.max(first, (highestAccepted ?? first - 1) + 1))
}
