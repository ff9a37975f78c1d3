import { type TargetCrash } from './TargetCrash.js'

/** Requests with one fingerprint that crash target after target. */
export interface HarmfulRequest {
  readonly fingerprint: string
  /** Number of moments at which targets crashed under them. */
  readonly crashes: number
  /** Number of crashes that came long after the crash before, as those of a trial do. */
  readonly lateCrashes: number
  /** Clock time of the last crash, in milliseconds. */
  readonly lastAtMs: number
}

/**
 * Targets that crash within this time of one another may have a common cause, and count as one crash unless the run at the second one
 * began after the first crash; in milliseconds.
 */
const SAME_MOMENT_MS = 100

/** Time after the crash before from which a crash counts as late, in milliseconds. */
const LATE_CRASH_MS = 8000

/** Minimum number of crashes by which requests are found to be harmful. */
const MIN_CRASHES = 3

/** Minimum number of crashes where requests with other fingerprints were at exactly the same targets. */
const MIN_DOUBTFUL_CRASHES = 5

/** Crashes that one fingerprint explains. */
interface Explanation {
  readonly fingerprint: string
  readonly crashes: readonly TargetCrash[]
  readonly moments: number
}

/**
 * Finds the requests that crash target after target. The fingerprint that is implicated in most crashes explains them, and these do not
 * count against others that were at the same targets.
 * @param crashes - Crashes; suspects that have proved sound since are left out.
 */
export function findHarmfulRequests (crashes: readonly TargetCrash[]): HarmfulRequest[] {
  const found: HarmfulRequest[] = []
  let open = [...crashes].sort((a, b) => a.atMs - b.atMs)
  for (;;) {
    const explanations = listExplanations(open)
    const [most] = explanations
    if (most === undefined) return found
    const tied = explanations.filter(({ crashes: others }) => isSameList(others, most.crashes))
    if (most.moments >= (tied.length > 1 ? MIN_DOUBTFUL_CRASHES : MIN_CRASHES)) found.push(...tied.map(createHarmfulRequest))
    open = open.filter(crash => !most.crashes.includes(crash))
  }
}

/** Lists the fingerprints that may explain enough crashes, the one with most crashes first. */
function listExplanations (crashes: readonly TargetCrash[]): Explanation[] {
  const fingerprints = new Set(crashes.flatMap(({ suspects }) => suspects.map(suspect => suspect.fingerprint)))
  const explanations = [...fingerprints].map(fingerprint => createExplanation(fingerprint, crashes))
  return explanations
    .filter(({ moments }) => moments >= MIN_CRASHES)
    .sort((a, b) => b.moments - a.moments || b.crashes.length - a.crashes.length || (a.fingerprint < b.fingerprint ? -1 : 1))
}

function createExplanation (fingerprint: string, crashes: readonly TargetCrash[]): Explanation {
  const explained = crashes.filter(({ suspects }) => suspects.some(suspect => suspect.fingerprint === fingerprint))
  return { fingerprint, crashes: explained, moments: countMoments(explained, fingerprint) }
}

function countMoments (crashes: readonly TargetCrash[], fingerprint: string): number {
  let count = 0
  let countedAtMs = -Infinity
  for (const { atMs, suspects } of crashes) {
    const startedAtMs = atMs - suspects.find(suspect => suspect.fingerprint === fingerprint)!.runMs
    if (atMs - countedAtMs <= SAME_MOMENT_MS && startedAtMs <= countedAtMs) continue
    countedAtMs = atMs
    count++
  }
  return count
}

function isSameList (a: readonly TargetCrash[], b: readonly TargetCrash[]): boolean {
  return a.length === b.length && a.every((crash, index) => crash === b[index])
}

function createHarmfulRequest ({ fingerprint, crashes, moments }: Explanation): HarmfulRequest {
  const lateCrashes = crashes.filter(({ atMs }, index) => index > 0 && atMs - crashes[index - 1]!.atMs >= LATE_CRASH_MS).length
  return { fingerprint, crashes: moments, lateCrashes, lastAtMs: crashes.at(-1)!.atMs }
}
