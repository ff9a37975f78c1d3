import { isFingerprint } from './computeFingerprint.js'
import { type EngineCrash } from './EngineCrash.js'

/** Whether requests with certain parts may go on, or are refused. */
export type SuspicionLevel = 'suspected' | 'blamed'

/** Parts of prompts that may crash engines, and what speaks for it. */
export interface PartSuspicion {
  /** Ids of the parts, sorted; it holds for requests that have all of them. */
  readonly parts: readonly string[]
  readonly level: SuspicionLevel
  /** Number of crashes that the parts explain; engines that crash at the same moment count once. */
  readonly crashes: number
  /** Number of different requests with the parts that were at these engines. */
  readonly requests: number
  /** Number of crashes that came long after the crash before, as those of a further try do. */
  readonly lateCrashes: number
  /** Clock reading of the last crash. */
  readonly lastAtMs: number
  /** Whether one of the parts has proved sound, before these crashes. */
  readonly wasSound: boolean
}

/**
 * Engines that crash within this time of one another may have a common cause, and count as one crash; in milliseconds. It is longer
 * for parts that have proved sound before.
 */
const SAME_MOMENT_MS = 100
const SAME_MOMENT_OF_SOUND_MS = 300

/** Time after the crash before from which a crash counts as late, in milliseconds. */
const LATE_CRASH_MS = 8000

/** Minimum number of crashes, and of different requests, for which parts are suspected or blamed. */
const MIN_SUSPECTED_CRASHES = 2
const MIN_BLAMED_CRASHES = 3
const MIN_BLAMED_REQUESTS = 2

/** Minimum number of crashes for which parts are blamed that have proved sound before, or that are not the only explanation. */
const MIN_DOUBTFUL_CRASHES = 5

/** Maximum number of explanations of the same crashes, and of sets of crashes that are explained; those of most crashes come first. */
const MAX_EXPLANATIONS = 8
const MAX_EXPLAINED_SETS = 32

/** A crash, with those suspects that may have caused it and those of their parts that are considered. */
type ConsideredCrash = Pick<EngineCrash, 'atMs' | 'suspects'>

/** A part that is implicated in several crashes. */
interface ImplicatedPart {
  readonly part: string
  readonly crashes: ConsideredCrash[]
  /** Ids of the requests with the part, by index of the crash at which they were, and all of them. */
  readonly requestsAt: string[][]
  readonly requests: Set<string>
}

/** Crashes that have parts in common, and the sets of parts that explain all of them. */
interface Explanation {
  readonly crashes: readonly ConsideredCrash[]
  /** Number of moments at which they happened. */
  readonly moments: number
  readonly alternatives: ReadonlyArray<readonly string[]>
}

/** How parts are treated that never proved sound, or that did before the crashes. */
interface Policy {
  readonly sameMomentMs: number
  readonly minBlamedCrashes: number
  readonly wasSound: boolean
}

const UNPROVEN: Policy = { sameMomentMs: SAME_MOMENT_MS, minBlamedCrashes: MIN_BLAMED_CRASHES, wasSound: false }
const SOUND_BEFORE: Policy = { sameMomentMs: SAME_MOMENT_OF_SOUND_MS, minBlamedCrashes: MIN_DOUBTFUL_CRASHES, wasSound: true }

/**
 * Finds the parts that crash engines. The part that is implicated in most crashes explains these, so that they no longer count
 * against the other parts of the same requests, nor against those of other requests at the same engines. A part is cleared of all
 * crashes before a run with it that proved sound. Parts of prompts that never proved sound are considered first, and before them those
 * that are blamed already, so that new crashes of other parts do not change what is known. Fingerprints explain what is left.
 * @param crashes - Known crashes.
 * @param getSoundAtMs - Returns the clock reading up to which a part is cleared; undefined when it never proved sound.
 * @param blamed - Parts that are blamed already.
 */
export function findPartSuspicions (crashes: readonly EngineCrash[], getSoundAtMs: (part: string) => number | undefined, blamed: ReadonlyArray<readonly string[]> = []): PartSuspicion[] {
  const sorted = [...crashes].sort((a, b) => a.atMs - b.atMs)
  const isUnproven = (part: string): boolean => getSoundAtMs(part) === undefined
  const byPart = findExplained(sorted, part => !isFingerprint(part) && isUnproven(part), blamed)
  const byRequest = findExplained(byPart.others, part => isFingerprint(part) && isUnproven(part), blamed)
  const others = byRequest.others.map(crash => considerParts(crash, part => (getSoundAtMs(part) ?? Infinity) < crash.atMs))
  const soundBefore = explainCrashes(others, SOUND_BEFORE, []).flatMap(explanation => createSuspicions(explanation, SOUND_BEFORE)).filter(isBlamed)
  return [...byPart.suspicions, ...byRequest.suspicions, ...soundBefore]
}

/** Finds suspicions of some of the parts, none of which has proved sound, and the crashes that those who are blamed do not explain. */
function findExplained (crashes: readonly EngineCrash[], isConsidered: (part: string) => boolean, blamed: ReadonlyArray<readonly string[]>): { readonly suspicions: PartSuspicion[], readonly others: EngineCrash[] } {
  const considered = crashes.map(crash => considerParts(crash, isConsidered))
  const found = explainCrashes(considered, UNPROVEN, blamed).map(explanation => ({ explanation, suspicions: createSuspicions(explanation, UNPROVEN) }))
  const explained = new Set(found.filter(({ suspicions }) => suspicions.some(isBlamed)).flatMap(({ explanation }) => explanation.crashes))
  return { suspicions: found.flatMap(({ suspicions }) => suspicions), others: crashes.filter((_, index) => !explained.has(considered[index]!)) }
}

function isBlamed ({ level }: PartSuspicion): boolean {
  return level === 'blamed'
}

function considerParts ({ atMs, suspects }: EngineCrash, isConsidered: (part: string) => boolean): ConsideredCrash {
  const considered = suspects.map(suspect => ({ ...suspect, parts: suspect.parts.filter(isConsidered) })).filter(({ parts }) => parts.length > 0)
  return { atMs, suspects: considered }
}

/** Explains crashes by as few parts as possible, beginning with those that are blamed already and then with the part that is implicated in most of them. */
function explainCrashes (crashes: readonly ConsideredCrash[], policy: Policy, blamed: ReadonlyArray<readonly string[]>): Explanation[] {
  const explanations = keepExplanations(crashes, policy, blamed)
  const kept = new Set(explanations.flatMap(explanation => explanation.crashes))
  let open = crashes.filter(crash => !kept.has(crash))
  while (explanations.length < MAX_EXPLAINED_SETS) {
    const explanation = explainMostCrashes(open, policy)
    if (explanation === undefined) break
    explanations.push(explanation)
    const explained = new Set(explanation.crashes)
    open = open.filter(crash => !explained.has(crash))
  }
  return explanations
}

/** Keeps the explanations by parts that are blamed already, unless a part explains the same crashes and others. */
function keepExplanations (crashes: readonly ConsideredCrash[], { sameMomentMs, minBlamedCrashes }: Policy, blamed: ReadonlyArray<readonly string[]>): Explanation[] {
  const implicated = listImplicated(crashes)
  const kept = blamed.map(parts => {
    const explained = crashes.filter(crash => listRequests([crash], parts).size > 0)
    return { crashes: explained, moments: countMoments(explained, explained.map(crash => [...listRequests([crash], parts)]), sameMomentMs), alternatives: [parts] }
  })
  const isBetter = (others: readonly ConsideredCrash[], explained: readonly ConsideredCrash[]): boolean => others.length > explained.length && explained.every(crash => others.includes(crash))
  return kept.filter(({ crashes: explained, moments }) => moments >= minBlamedCrashes && !implicated.some(other => isBetter(other.crashes, explained)))
}

function explainMostCrashes (open: readonly ConsideredCrash[], { sameMomentMs }: Policy): Explanation | undefined {
  const implicated = listImplicated(open)
  const most = findMostImplicated(implicated, sameMomentMs)
  if (most === undefined) return undefined
  const { part: { crashes }, moments } = most
  const tied = implicated.filter(other => other.crashes.length === crashes.length && other.crashes.every((crash, index) => crash === crashes[index])).map(({ part }) => part)
  return { crashes, moments, alternatives: findAlternatives(crashes, tied.sort()) }
}

/** Finds the part that is implicated at most moments, and in most requests of these; undefined when there is none at several moments. */
function findMostImplicated (implicated: readonly ImplicatedPart[], sameMomentMs: number): { readonly part: ImplicatedPart, readonly moments: number } | undefined {
  let most: { readonly part: ImplicatedPart, readonly moments: number } | undefined
  for (const part of [...implicated].sort(compareImplicated)) {
    // There are at most as many moments as crashes.
    if (most !== undefined && part.crashes.length < most.moments) break
    const moments = countMoments(part.crashes, part.requestsAt, sameMomentMs)
    if (moments >= MIN_SUSPECTED_CRASHES && (most === undefined || moments > most.moments || (moments === most.moments && compareRequests(part, most.part) < 0))) most = { part, moments }
  }
  return most
}

function compareImplicated (a: ImplicatedPart, b: ImplicatedPart): number {
  return b.crashes.length - a.crashes.length || compareRequests(a, b)
}

function compareRequests (a: ImplicatedPart, b: ImplicatedPart): number {
  return b.requests.size - a.requests.size || (a.part < b.part ? -1 : 1)
}

/** Lists the parts that are implicated in as many crashes as a suspicion needs. */
function listImplicated (crashes: readonly ConsideredCrash[]): ImplicatedPart[] {
  const index = new Map<string, ImplicatedPart>()
  for (const crash of crashes) {
    for (const { requestId, parts } of crash.suspects) {
      for (const part of parts) addImplicated(index, part, crash, requestId)
    }
  }
  return [...index.values()].filter(part => part.crashes.length >= MIN_SUSPECTED_CRASHES)
}

function addImplicated (index: Map<string, ImplicatedPart>, part: string, crash: ConsideredCrash, requestId: string): void {
  const known = index.get(part) ?? { part, crashes: [], requestsAt: [], requests: new Set() }
  if (known.crashes.at(-1) !== crash) {
    known.crashes.push(crash)
    known.requestsAt.push([])
  }
  known.requestsAt.at(-1)!.push(requestId)
  known.requests.add(requestId)
  index.set(part, known)
}

/** Counts the moments at which engines crashed under certain requests. A request that was at two engines was sent to the second one after the first had crashed. */
function countMoments (crashes: readonly ConsideredCrash[], requestsAt: ReadonlyArray<readonly string[]>, sameMomentMs: number): number {
  let count = 0
  let firstAtMs = -Infinity
  let requestsOfMoment: string[] = []
  for (const [index, { atMs }] of crashes.entries()) {
    const requests = requestsAt[index]!
    const isSameMoment = atMs - firstAtMs <= sameMomentMs && !requests.some(request => requestsOfMoment.includes(request))
    if (!isSameMoment) {
      firstAtMs = atMs
      requestsOfMoment = []
      count++
    }
    requestsOfMoment.push(...requests)
  }
  return count
}

/** Finds the largest sets of tied parts of which each crash has a request with all parts of the set. */
function findAlternatives (crashes: readonly ConsideredCrash[], tied: string[]): string[][] {
  let sets = [tied]
  for (const { suspects } of crashes) {
    sets = keepLargest(sets.flatMap(set => suspects.map(({ parts }) => set.filter(part => parts.includes(part)))))
  }
  return sets
}

function keepLargest (sets: readonly string[][]): string[][] {
  const distinct = [...new Map(sets.filter(set => set.length > 0).map(set => [set.join(), set])).values()].sort((a, b) => b.length - a.length)
  const isContained = (set: string[], index: number): boolean => distinct.slice(0, index).some(larger => set.every(part => larger.includes(part)))
  return distinct.filter((set, index) => !isContained(set, index)).slice(0, MAX_EXPLANATIONS)
}

function createSuspicions ({ crashes, moments, alternatives }: Explanation, { minBlamedCrashes, wasSound }: Policy): PartSuspicion[] {
  const lateCrashes = crashes.filter(({ atMs }, index) => index > 0 && atMs - crashes[index - 1]!.atMs >= LATE_CRASH_MS).length
  const minCrashes = alternatives.length > 1 ? MIN_DOUBTFUL_CRASHES : minBlamedCrashes
  return alternatives.map(parts => {
    const requests = listRequests(crashes, parts).size
    const level: SuspicionLevel = moments >= minCrashes && requests >= MIN_BLAMED_REQUESTS ? 'blamed' : 'suspected'
    return { parts, level, crashes: moments, requests, lateCrashes, lastAtMs: crashes.at(-1)!.atMs, wasSound }
  })
}

function listRequests (crashes: readonly ConsideredCrash[], wanted: readonly string[]): Set<string> {
  const matching = crashes.flatMap(({ suspects }) => suspects).filter(({ parts }) => wanted.every(part => parts.includes(part)))
  return new Set(matching.map(({ requestId }) => requestId))
}
