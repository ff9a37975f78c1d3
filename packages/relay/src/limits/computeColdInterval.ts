/** Requests in one second that a cold target may get from all instances, beyond its rate. */
export interface ColdBound {
  /** Factor on the rate of the target. */
  readonly overage: number
  /** Requests in addition to that. */
  readonly slack: number
}

/** Instances that share the rate of a cold target, as one of them knows them. */
export interface ColdFleet {
  /** Number of instances that are considered alive, including this one. */
  readonly alive: number
  /** Number of instances that may be running, whether or not this one can reach them; `Infinity` while it is not known. */
  readonly possible: number
  /** Rank of this instance among those that may be running, from 0, in an order that depends on the target. */
  readonly rank: number
}

const MS_PER_SECOND = 1000

/**
 * Time in which an instance uses no more turns than are its share of what a target may get in one second, in milliseconds. It is longer
 * than a second, since a request may be sent up to 400 ms after its turn was taken: it waits for a connection.
 */
export const TURN_WINDOW_MS = 1500

/**
 * Computes the shortest interval between two requests of an instance to a cold target; `Infinity` when it has no turns there. Of the
 * instances that may be running, at most as many share the target as the bound allows requests in one second. Each of them uses at most
 * its share of the bound in `TURN_WINDOW_MS`, whatever the others do, so that the bound holds without any common count of the turns.
 * @param perSecond - Requests a second that the target takes while it is cold.
 * @param bound - What the target may get beyond its rate.
 * @param fleet - Instances that share the rate.
 */
export function computeColdIntervalMs (perSecond: number, { overage, slack }: ColdBound, { alive, possible, rank }: ColdFleet): number {
  const allowed = Math.floor(perSecond * overage + slack)
  const sharing = Math.min(possible, allowed)
  if (!Number.isFinite(possible) || rank >= sharing) return Infinity
  const evenMs = Math.min(alive, sharing) / perSecond * MS_PER_SECOND
  return Math.max(evenMs, TURN_WINDOW_MS / Math.floor(allowed / sharing))
}
