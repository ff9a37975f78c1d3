import { computeMedian } from './computeMedian.js'
import { type RunSample } from './TargetRuns.js'

/** What is expected of a target of ordinary speed. */
export interface SpeedReference {
  /** Expected time without other requests in progress, in milliseconds; undefined while too few targets are known. */
  readonly typicalMs?: number
  /** Relative growth of that time for each request in progress; undefined until it is known from the data. */
  readonly loadSlope?: number
  /** Additional mean gap that the prompts of each request in progress cause, in milliseconds. */
  readonly excessMsPerRequest: number
  /** Number of requests in progress in a typical run. */
  readonly running: number
}

/** Runs that are older than the latest one at the target by more than this do not count, since the target may have changed, in milliseconds. */
const SAME_TIME_MS = 10_000

/** Minimum number of targets with observed runs; the median of fewer follows a single one. */
const MIN_TARGETS = 3

/** Minimum difference of requests in progress between two runs from which the growth is computed, and minimum number of such pairs. */
const MIN_SPREAD = 3
const MIN_PAIRS = 8

/** Maximum number of the latest runs at a target whose pairs are compared, which bounds the time for one computation. */
const MAX_COMPARED_RUNS = 9

/** Upper bound of the relative growth for each request; beyond it, differences in load would explain any difference in speed. */
const MAX_LOAD_SLOPE = 0.1

/** Largest difference of requests in progress for which times are compared while the growth is not known. */
const COMPARABLE_RUNNING = 4

/**
 * Computes what is expected of a target of ordinary speed from the runs at all targets that are compared. Each target counts once,
 * whatever the number of its runs.
 * @param runsByTarget - Runs at each target.
 * @param previous - Earlier result, whose growth stays in force while the runs do not show it.
 */
export function computeReference (runsByTarget: ReadonlyArray<readonly RunSample[]>, previous?: SpeedReference): SpeedReference {
  const observed = runsByTarget.filter(runs => runs.length > 0)
  const loadSlope = computeLoadSlope(observed) ?? previous?.loadSlope
  const values = observed.map(runs => computeNormalizedMs(runs, loadSlope))
  const typicalMs = observed.length < MIN_TARGETS ? undefined : computeMedian(values)
  const excesses = typicalMs === undefined ? [] : observed.map((runs, index) => computeExcess(runs) * typicalMs / values[index]!)
  return { typicalMs, loadSlope, excessMsPerRequest: computeMedian(excesses) ?? 0, running: computeMedian(observed.map(computeRunning)) ?? 0 }
}

/**
 * Lists the runs at a target that tell its present speed.
 * @param runs - Runs at the target.
 */
export function selectLatestRuns (runs: readonly RunSample[]): RunSample[] {
  const latestMs = Math.max(...runs.map(({ observedAtMs }) => observedAtMs))
  return runs.filter(({ observedAtMs }) => latestMs - observedAtMs <= SAME_TIME_MS)
}

/**
 * Computes the speed of a target relative to the reference; undefined when its runs are not comparable.
 * @param runs - Runs at the target.
 * @param reference - What is expected of a target of ordinary speed.
 */
export function computeSpeedRatio (runs: readonly RunSample[], { typicalMs, loadSlope, running }: SpeedReference): number | undefined {
  if (runs.length === 0 || typicalMs === undefined) return undefined
  if (loadSlope === undefined && Math.abs(computeRunning(runs) - running) > COMPARABLE_RUNNING) return undefined
  return typicalMs / computeNormalizedMs(runs, loadSlope)
}

/**
 * Estimates the gap between two events at a target, prompts of other requests included, in milliseconds.
 * @param reference - What is expected of a target of ordinary speed.
 * @param running - Number of requests in progress.
 * @param speed - Relative speed of the target.
 */
export function estimateGapMs ({ typicalMs = 0, loadSlope = 0, excessMsPerRequest }: SpeedReference, running: number, speed: number): number {
  return (typicalMs * (1 + loadSlope * running) + excessMsPerRequest * running) / speed
}

/** Computes the time of the latest runs at a target without other requests in progress. */
function computeNormalizedMs (runs: readonly RunSample[], loadSlope: number | undefined): number {
  return computeMedian(selectLatestRuns(runs).map(run => normalizeMs(run, loadSlope)))!
}

/** Converts the time of a run to that without other requests in progress. */
function normalizeMs ({ typicalMs, running }: RunSample, loadSlope: number | undefined): number {
  return typicalMs / (1 + (loadSlope ?? 0) * running)
}

function computeRunning (runs: readonly RunSample[]): number {
  return computeMedian(selectLatestRuns(runs).map(({ running }) => running))!
}

function computeExcess (runs: readonly RunSample[]): number {
  return computeMedian(selectLatestRuns(runs).map(({ excessMs, running }) => Math.max(0, excessMs) / Math.max(1, running)))!
}

/** Computes the growth from pairs of runs at the same target, so that the speeds of targets do not matter; the median resists outliers. */
function computeLoadSlope (runsByTarget: ReadonlyArray<readonly RunSample[]>): number | undefined {
  const slopes = runsByTarget.map(runs => runs.slice(-MAX_COMPARED_RUNS)).flatMap(runs => runs.flatMap((a, index) => runs.slice(index + 1).flatMap(b => computePairSlope(a, b))))
  return slopes.length < MIN_PAIRS ? undefined : Math.min(MAX_LOAD_SLOPE, Math.max(0, computeMedian(slopes)!))
}

/** Returns the growth that two runs show, or nothing when their loads are too similar. */
function computePairSlope (a: RunSample, b: RunSample): number[] {
  if (Math.abs(a.running - b.running) < MIN_SPREAD) return []
  const [low, high] = a.running < b.running ? [a, b] : [b, a]
  const base = low.typicalMs * high.running - high.typicalMs * low.running
  return [base <= 0 ? MAX_LOAD_SLOPE : (high.typicalMs - low.typicalMs) / base]
}
