/** Fencing numbers of one revision. A giver that takes over within a revision uses the next one. */
const FENCES_PER_REVISION = 65_536

/**
 * Computes the lowest fencing number of a revision.
 * @param revision - Accepted configuration revision.
 */
export function computeFirstFence (revision: number): number {
  return revision * FENCES_PER_REVISION
}

/**
 * Computes the revision that a fencing number was made from.
 * @param fence - The fencing number.
 */
export function computeFenceRevision (fence: number): number {
  return Math.floor(fence / FENCES_PER_REVISION)
}

/**
 * Computes the fencing number of an order giver that takes a target over: above every number that the target has
 * accepted, so that the giver before it cannot give orders any more, and still below those of the next revision.
 * @param revision - Accepted configuration revision.
 * @param reported - Highest number that the target reports to have accepted; absent when it reports none.
 */
export function computeTakeoverFence (revision: number, reported: number | undefined): number {
  const first = computeFirstFence(revision)
  const last = first + FENCES_PER_REVISION - 1
  return Math.min(last, Math.max(first, (reported ?? first - 1) + 1))
}
