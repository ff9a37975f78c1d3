/** Place of an instance among those that share a limit. */
export interface FleetPlace {
  /** Number of instances; `Infinity` while it is not known. */
  readonly instances: number
  /** Rank of this instance among them, from 0. */
  readonly rank: number
}

/** Progress of the turns at a limited target. */
export interface TurnProgress {
  /** Number of the current turn, with the part of it that has passed. Turns follow one another at the rate of the limit. */
  readonly current: number
  /** Rate of the limit, in turns a second. */
  readonly perSecond: number
  /** Last turn that this instance has used; `-Infinity` when there is none. */
  readonly lastUsed: number
}

/** Use of a limited target by one instance. */
export interface TurnUse {
  /** Turn that a request uses which is sent now. */
  readonly turn: number
  /** Time until that turn begins, in milliseconds; 0 when the instance may send now. */
  readonly waitMs: number
}

const MS_PER_SECOND = 1000

/**
 * Time for which a turn stays valid, in seconds, and number of further turns for which it does. Valid turns that are not used yet
 * are the burst that a target may get beyond its limit.
 */
const VALID_S = 1
const VALID_TURNS = 3

/** Minimum distance of two used turns, in rounds of all instances; turns shift when the number of instances changes. */
const MIN_DISTANCE_ROUNDS = 0.5

/**
 * Finds the turn that an instance may use: each instance has one turn in each round, in the order of the ranks. In any time T, all
 * instances together use at most L T + L V + 1 turns, where L is the limit and V the time for which a turn stays valid.
 * @param progress - Progress of the turns.
 * @param place - Place of the instance.
 */
export function findTurnUse ({ current, perSecond, lastUsed }: TurnProgress, { instances, rank }: FleetPlace): TurnUse {
  if (!Number.isFinite(instances)) return { turn: lastUsed, waitMs: Infinity }
  const latest = rank + Math.floor((current - rank) / instances) * instances
  const firstUnused = lastUsed + MIN_DISTANCE_ROUNDS * instances
  const isValid = latest >= 0 && latest >= firstUnused && current - latest <= VALID_S * perSecond + VALID_TURNS
  if (isValid) return { turn: latest, waitMs: 0 }
  const skippedRounds = Math.max(1, Math.ceil((firstUnused - latest) / instances))
  const turn = latest + skippedRounds * instances
  return { turn, waitMs: (turn - current) / perSecond * MS_PER_SECOND }
}
