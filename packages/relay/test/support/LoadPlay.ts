import { type Random, SeededRandom, VirtualClock } from '@fescuespoke/common'
import { type AdmissionSubject } from '../../src/admission/AdmissionSubject.js'
import { type ServiceProfile } from '../../src/model/RelayConfiguration.js'
import { estimateCost, estimateTokens } from '../../src/placement/estimateTokens.js'
import { createTarget, createTestDependencies, type TestDependencies } from './createTestDependencies.js'

/** A kind of callers, with the figures of deployment A. */
export interface CallerKind {
  readonly name: 'long' | 'short'
  readonly priority: number
  /** Time within which the first event is in time, and time for which the caller waits, in milliseconds. */
  readonly objectiveMs: number
  readonly limitMs: number
  readonly promptTokens: number
  readonly outputTokens: number
  /** Time for which a request runs at an engine, in milliseconds. */
  readonly runMs: number
  readonly perSecond: number
}

/** What became of one caller. */
export interface CallerOutcome {
  readonly kind: CallerKind['name']
  readonly workspace: string
  readonly promptTokens: number
  readonly arrivedAtMs: number
  /** Times from the call to each refusal, in milliseconds. */
  readonly refusedAfterMs: readonly number[]
  /** Clock readings at which the caller asked again. */
  readonly returnedAtMs: readonly number[]
  /** Time to the first event, in milliseconds; absent for a caller that was not served. */
  readonly firstEventMs?: number
  readonly result: 'inTime' | 'late' | 'refused'
}

/** What is played: the load as factors of the usual rates, and what happens besides. */
export interface LoadPlayOptions {
  readonly seed: number
  readonly durationMs: number
  /** Returns the factor on the usual rate of a kind at a time. */
  readonly getFactor?: (kind: CallerKind['name'], atMs: number) => number
  /** Picks the workspace of a caller; by default one of 24 at random. */
  readonly pickWorkspace?: (random: Random) => string
  /** Picks the prompt of a caller, in tokens; by default that of its kind. */
  readonly pickPrompt?: (kind: CallerKind, random: Random) => number
  readonly onStart?: (dependencies: TestDependencies) => void
  readonly isLoadPartial?: boolean
}

/** Rates of one zone of deployment A of four. */
export const LONG: CallerKind = { name: 'long', priority: 2, objectiveMs: 4006, limitMs: 39_054, promptTokens: 3079, outputTokens: 748, runMs: 8000, perSecond: 4.35 }
export const SHORT: CallerKind = { name: 'short', priority: 0, objectiveMs: 1504, limitMs: 6016, promptTokens: 2550, outputTokens: 8, runMs: 300, perSecond: 4.9 }

const ENGINE_COUNT = 8
const SERVICE: ServiceProfile = { name: 'engines', engine: { slots: 24, memoryTokens: 26_798, linkMbps: 1000, tokenBytes: 1000, tokensPerEvent: 4, canMove: true } }
const PROMPT_TOKENS_PER_MS = 14
const WORKSPACE_COUNT = 24

/** Retry times of refusals whose time is not known, in milliseconds; see `refuseRequest`. */
const UNKNOWN_RETRY_MS = [500, 2500] as const

/** Plays callers of the engines of one zone at one instance, and returns what became of each. */
export async function playLoad (options: LoadPlayOptions): Promise<CallerOutcome[]> {
  const clock = VirtualClock.create()
  const dependencies = createTestDependencies({ clock, seed: options.seed, instanceCount: 1, isLoadPartial: () => options.isLoadPartial ?? true })
  for (let index = 0; index < ENGINE_COUNT; index++) dependencies.table.updateTarget(createTarget(`e${index}`, { service: SERVICE.name }))
  options.onStart?.(dependencies)
  const random = SeededRandom.create(options.seed)
  const running: Array<Promise<CallerOutcome>> = []
  for (const kind of [LONG, SHORT]) {
    for (let atMs = 0; atMs < options.durationMs;) {
      atMs += -Math.log(1 - random.nextFloat()) * 1000 / (kind.perSecond * (options.getFactor?.(kind.name, atMs) ?? 1))
      running.push(playCaller(dependencies, options, kind, atMs, random))
    }
  }
  await clock.advance(options.durationMs + 60_000)
  return await Promise.all(running)
}

async function playCaller (dependencies: TestDependencies, options: LoadPlayOptions, kind: CallerKind, arrivedAtMs: number, random: Random): Promise<CallerOutcome> {
  const { clock } = dependencies
  const workspace = options.pickWorkspace?.(random) ?? `w${Math.floor(random.nextFloat() * WORKSPACE_COUNT)}`
  const promptTokens = Math.round(options.pickPrompt?.(kind, random) ?? kind.promptTokens * (0.8 + 0.4 * random.nextFloat()))
  const outcome = { kind: kind.name, workspace, promptTokens, arrivedAtMs, refusedAfterMs: [] as number[], returnedAtMs: [] as number[] }
  await clock.sleep(arrivedAtMs)
  for (;;) {
    const askedAtMs = clock.nowMs()
    const remainingMs = arrivedAtMs + kind.limitMs - askedAtMs
    const subject = createSubject(kind, workspace, promptTokens, askedAtMs)
    const maxWaitMs = Math.min(kind.objectiveMs / 2, remainingMs / 4)
    const reservation = await dependencies.admissionQueue.waitForTarget({ ...subject, requirements: { ...subject.requirements, excludedTargets: new Set() }, waitStartedAtMs: askedAtMs, maxWaitMs })
    if (reservation !== undefined) {
      clock.startTimer(kind.runMs, () => reservation.release())
      const firstEventMs = clock.nowMs() + promptTokens / PROMPT_TOKENS_PER_MS - arrivedAtMs
      return { ...outcome, firstEventMs, result: firstEventMs <= kind.objectiveMs ? 'inTime' : 'late' }
    }
    outcome.refusedAfterMs.push(clock.nowMs() - askedAtMs)
    const leftMs = arrivedAtMs + kind.limitMs - clock.nowMs()
    const retryAfterMs = dependencies.admissionQueue.scheduleReturn(subject, leftMs)?.retryAfterMs ?? pickUnknownRetryMs(random, leftMs)
    if (retryAfterMs >= leftMs) return { ...outcome, result: 'refused' }
    await clock.sleep(retryAfterMs)
    outcome.returnedAtMs.push(clock.nowMs())
  }
}

function createSubject (kind: CallerKind, workspace: string, promptTokens: number, arrivedAtMs: number): AdmissionSubject {
  const size = { promptTokens, maxOutputTokens: kind.outputTokens, expectedOutputTokens: kind.outputTokens }
  return { requirements: { service: SERVICE, tokens: estimateTokens(size, 0) }, priority: kind.priority, workspace, cost: estimateCost(size), arrivedAtMs, signal: new AbortController().signal }
}

function pickUnknownRetryMs (random: Random, leftMs: number): number {
  const [shortestMs, longestMs] = UNKNOWN_RETRY_MS
  const retryAfterMs = Math.min(shortestMs + random.nextFloat() * (longestMs - shortestMs), leftMs / 3)
  return retryAfterMs < MIN_RETURN_MS ? Infinity : retryAfterMs
}

/** Time below which a caller does not ask again, in milliseconds. */
const MIN_RETURN_MS = 50
