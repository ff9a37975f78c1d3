import { computeWeightedMedian } from './computeMedian.js'

/** Speed of a target as observed by one instance. */
export interface SpeedObservation {
  /** Speed relative to the median of the compared targets. */
  readonly value: number
  /** Sum of the weights of the runs from which it was computed. */
  readonly runs: number
  /** Clock reading of the latest of these runs. */
  readonly observedAtMs: number
}

/** Speed of a target of which nothing else is known. */
export const ORDINARY_SPEED = 1

/** Range of speeds; values outside it are measurement errors. */
export const MIN_SPEED = 0.1
export const MAX_SPEED = 10

/** Factor beyond which a target counts as slower or faster than others, and the one within which it counts as ordinary again. */
const SPEED_FACTOR = 1.25
const RETURN_FACTOR = 1.15

/** Relative difference below which a judgement is kept, so that it does not follow noise. */
const KEPT_DIFFERENCE_FACTOR = 1.05

/** Minimum weight of runs for a judgement: that of eight undisturbed blocks of events. */
const MIN_RUNS = 2

/** Maximum number of runs that count for one instance, so that no instance decides alone while others observe the target. */
const MAX_COUNTED_RUNS = 9

/** Largest factor by which a judgement changes within a second. */
const MAX_CHANGE_PER_SECOND = 1.5

const MS_PER_SECOND = 1000

/** Observations that are older than the newest one by more than this do not count, since the target may have changed, in milliseconds. */
const SAME_TIME_MS = 5000

/** Ages between which an observed speed fades to the ordinary one, so that the target is tried again, in milliseconds. */
const FADE_START_MS = 15_000
export const FADE_END_MS = 45_000

/**
 * Merges what several instances observed; undefined when there are too few runs.
 * @param observations - Observations of this instance and of its peers.
 */
export function mergeObservations (observations: readonly SpeedObservation[]): SpeedObservation | undefined {
  const newestMs = Math.max(...observations.map(({ observedAtMs }) => observedAtMs))
  const recent = observations.filter(({ observedAtMs }) => newestMs - observedAtMs <= SAME_TIME_MS).map(({ value, runs }) => ({ value, weight: Math.min(MAX_COUNTED_RUNS, runs) }))
  const runs = recent.reduce((sum, { weight }) => sum + weight, 0)
  const value = runs < MIN_RUNS ? undefined : computeWeightedMedian(recent)
  return value === undefined ? undefined : { value, runs, observedAtMs: newestMs }
}

/**
 * Computes the next judgement of a target's speed.
 * @param current - Present judgement.
 * @param observed - Observed speed.
 * @param elapsedMs - Time since the last judgement, in milliseconds; `Infinity` for the first one, which may take any value.
 */
export function judgeSpeed (current: number, observed: number, elapsedMs: number): number {
  const next = isBeyond(observed, current === ORDINARY_SPEED ? SPEED_FACTOR : RETURN_FACTOR) ? clamp(observed, MIN_SPEED, MAX_SPEED) : ORDINARY_SPEED
  if (next !== ORDINARY_SPEED && !isBeyond(next / current, KEPT_DIFFERENCE_FACTOR)) return current
  const maxChange = MAX_CHANGE_PER_SECOND ** (elapsedMs / MS_PER_SECOND)
  return clamp(next, current / maxChange, current * maxChange)
}

/**
 * Computes the speed that is assumed for a judgement of some age.
 * @param speed - The judgement.
 * @param ageMs - Time since the target was last observed, in milliseconds.
 */
export function fadeSpeed (speed: number, ageMs: number): number {
  if (ageMs <= FADE_START_MS) return speed
  return ageMs >= FADE_END_MS ? ORDINARY_SPEED : speed ** ((FADE_END_MS - ageMs) / (FADE_END_MS - FADE_START_MS))
}

/**
 * Returns whether a speed differs from the ordinary one so much that peers should know.
 * @param value - Relative speed.
 */
export function isNotable (value: number): boolean {
  return isBeyond(value, SPEED_FACTOR)
}

function isBeyond (ratio: number, factor: number): boolean {
  return ratio > factor || ratio < 1 / factor
}

function clamp (value: number, min: number, max: number): number {
  return Math.min(max, Math.max(min, value))
}
