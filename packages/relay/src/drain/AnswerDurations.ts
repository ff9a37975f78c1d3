import { type RouteKind } from '../model/RelayConfiguration.js'
import { type GenerationSize } from '../requests/RelayRequest.js'
import { RecentQuantile } from './RecentQuantile.js'

/** Kinds of requests that have a single answer. */
export type CallKind = Exclude<RouteKind, 'stream'>

/** A generation that has ended. */
export interface EndedGeneration {
  /** Sizes that the caller stated; undefined when it stated none, or when the generation is a part of the output. */
  readonly size: GenerationSize | undefined
  /** Number of tokens after its first event. */
  readonly tokens: number
  /** Time from when the request was sent to the first event, in milliseconds. */
  readonly firstEventMs: number
  /** Time from the first event to the last one, in milliseconds. */
  readonly durationMs: number
  /** Relative speed of its engine; 1 by default. */
  readonly speed?: number
}

/** A generation whose duration is asked for. */
export interface ExpectedGeneration {
  /** Its output, in tokens. */
  readonly outputTokens: number
  /** Share of the generations that do not take longer, from 0 to 1. */
  readonly share: number
  /** Relative speed of its engine. */
  readonly speed: number
  /** Time per token that its engine does not exceed, in milliseconds; by default, the one that a share of the generations does not exceed. */
  readonly tokenMs?: number
}

/** Number of tokens from which on a generation tells the time per token; in shorter ones single pauses decide. */
const MIN_PACE_TOKENS = 20

/** Factor on the highest of a few values, of which no quantile is known. */
const FEW_VALUES_MARGIN = 1.5

/** Share of the generations whose output does not exceed the likely one. */
const LIKELY_SHARE = 0.9

/** Ratio of output to the caller's estimate, and to the stated maximum, that is likely not exceeded while little is known. */
const DEFAULT_ESTIMATE_RATIO = 4
const DEFAULT_MAXIMUM_RATIO = 1

interface ServiceTimes {
  readonly callMs: Readonly<Record<CallKind, RecentQuantile>>
  /** Times to the first event, and times per token, at engines of ordinary speed. */
  readonly firstEventMs: RecentQuantile
  readonly tokenMs: RecentQuantile
  /** From the first event to the last one of short generations, which single pauses decide. */
  readonly pauseMs: RecentQuantile
  /** From when the request was sent to the last event. */
  readonly generationMs: RecentQuantile
  /** Output relative to the caller's estimate, and to the stated maximum. */
  readonly estimateRatios: RecentQuantile
  readonly maximumRatios: RecentQuantile
}

/** Records how long the answers of each service take, to tell what ends within a given time. */
export class AnswerDurations {
  /** Creates durations without records. */
  static create (): AnswerDurations {
    return new AnswerDurations()
  }

  private readonly timesByService = new Map<string, ServiceTimes>()

  /** @internal */
  private constructor () {}

  /**
   * Records a call that was answered, or whose time was over.
   * @param service - Name of the service.
   * @param kind - Kind of the call.
   * @param durationMs - Time from when it was first sent to the end of its answer, in milliseconds.
   */
  recordCall (service: string, kind: CallKind, durationMs: number): void {
    this.getTimes(service).callMs[kind].record(durationMs)
  }

  /**
   * Records a generation that ended.
   * @param service - Name of the service.
   * @param generation - The generation.
   */
  recordGeneration (service: string, { size, tokens, firstEventMs, durationMs, speed = 1 }: EndedGeneration): void {
    const times = this.getTimes(service)
    times.firstEventMs.record(firstEventMs * speed)
    if (tokens >= MIN_PACE_TOKENS) times.tokenMs.record(durationMs / tokens * speed)
    else times.pauseMs.record(durationMs)
    times.generationMs.record(firstEventMs + durationMs)
    if (size === undefined) return
    const { maxOutputTokens, expectedOutputTokens = 0 } = size
    if (maxOutputTokens > 0) times.maximumRatios.record(tokens / maxOutputTokens)
    if (expectedOutputTokens > 0) times.estimateRatios.record(tokens / expectedOutputTokens)
  }

  /**
   * Returns the time that a share of the calls does not exceed, in milliseconds; undefined while none has been answered.
   * @param service - Name of the service.
   * @param kind - Kind of the calls.
   * @param share - The share, from 0 to 1.
   */
  findCallMs (service: string, kind: CallKind, share: number): number | undefined {
    return findValue(this.getTimes(service).callMs[kind], share)
  }

  /**
   * Returns the time that a share of the generations does not exceed, whatever their size, in milliseconds; undefined while few have ended.
   * @param service - Name of the service.
   * @param share - The share, from 0 to 1.
   */
  findGenerationMs (service: string, share: number): number | undefined {
    return this.getTimes(service).generationMs.get(share)
  }

  /**
   * Returns the time to the first event that a share of the generations does not exceed, in milliseconds; undefined while none has ended.
   * @param service - Name of the service.
   * @param generation - The generation.
   */
  findFirstEventMs (service: string, { share, speed }: Pick<ExpectedGeneration, 'share' | 'speed'>): number | undefined {
    const firstEventMs = findValue(this.getTimes(service).firstEventMs, share)
    return firstEventMs === undefined ? undefined : firstEventMs / speed
  }

  /**
   * Returns the time that a generation takes if neither its time to the first event nor its time per token is longer than that of a share of
   * the others, in milliseconds; undefined while none has ended.
   * @param service - Name of the service.
   * @param generation - The generation.
   */
  findSizedGenerationMs (service: string, generation: ExpectedGeneration): number | undefined {
    const firstEventMs = this.findFirstEventMs(service, generation)
    const tokenMs = generation.tokenMs ?? this.findTokenMs(service, generation)
    return firstEventMs === undefined || tokenMs === undefined ? undefined : firstEventMs + generation.outputTokens * tokenMs
  }

  /**
   * Returns the time for which a share of the generations does not pause, in milliseconds; 0 while no short one has ended.
   * @param service - Name of the service.
   * @param share - The share, from 0 to 1.
   */
  findPauseMs (service: string, share: number): number {
    return findValue(this.getTimes(service).pauseMs, share) ?? 0
  }

  /**
   * Estimates the output that a generation likely does not exceed, in tokens.
   * @param service - Name of the service.
   * @param size - Sizes that the caller stated.
   */
  estimateLikelyOutput (service: string, { maxOutputTokens, expectedOutputTokens }: GenerationSize): number {
    const { estimateRatios, maximumRatios } = this.getTimes(service)
    const likelyOfEstimate = expectedOutputTokens === undefined ? Infinity : expectedOutputTokens * (estimateRatios.get(LIKELY_SHARE) ?? DEFAULT_ESTIMATE_RATIO)
    return Math.min(maxOutputTokens, maxOutputTokens * (maximumRatios.get(LIKELY_SHARE) ?? DEFAULT_MAXIMUM_RATIO), likelyOfEstimate)
  }

  private findTokenMs (service: string, { share, speed }: ExpectedGeneration): number | undefined {
    const tokenMs = findValue(this.getTimes(service).tokenMs, share)
    return tokenMs === undefined ? undefined : tokenMs / speed
  }

  private getTimes (service: string): ServiceTimes {
    const existing = this.timesByService.get(service)
    if (existing !== undefined) return existing
    const times: ServiceTimes = {
      callMs: { idempotent: RecentQuantile.create(), once: RecentQuantile.create() },
      firstEventMs: RecentQuantile.create(),
      tokenMs: RecentQuantile.create(),
      pauseMs: RecentQuantile.create(),
      generationMs: RecentQuantile.create(),
      estimateRatios: RecentQuantile.create(),
      maximumRatios: RecentQuantile.create()
    }
    this.timesByService.set(service, times)
    return times
  }
}

/** Returns the value that a share of the others does not exceed, and a higher one while there are few. */
function findValue (values: RecentQuantile, share: number): number | undefined {
  const maximum = values.getMaximum()
  return values.get(share) ?? (maximum === undefined ? undefined : maximum * FEW_VALUES_MARGIN)
}
