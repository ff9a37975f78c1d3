import { type Clock } from '@fescuespoke/common'
import { type GenerationSize } from '../requests/RelayRequest.js'
import { RecentMaximum } from './RecentMaximum.js'
import { RecentQuantile } from './RecentQuantile.js'

/** A generation that has ended. */
export interface EndedGeneration {
  /** Sizes that the caller stated. */
  readonly size: GenerationSize | undefined
  /** Number of tokens after its first event. */
  readonly tokens: number
  /** Time from the arrival of the request to the first event, in milliseconds. */
  readonly firstEventMs: number
  /** Time from the first event to the last one, in milliseconds. */
  readonly durationMs: number
}

/** Period of the longest recent times, in milliseconds. */
const PERIOD_MS = 60_000

/** Number of tokens from which on a generation tells the time per token; in shorter ones single pauses decide. */
const MIN_PACE_TOKENS = 20

/** Factor on the longest recent times for what a later answer takes at most. */
const LONGEST_MARGIN = 1.5

/** Ratio of output to the caller's estimate, and to the stated maximum, that is likely not exceeded while little is known. */
const DEFAULT_ESTIMATE_RATIO = 4
const DEFAULT_MAXIMUM_RATIO = 1

interface ServiceTimes {
  readonly longestCallMs: RecentMaximum
  readonly likelyCallMs: RecentQuantile
  readonly longestFirstEventMs: RecentMaximum
  readonly longestTokenMs: RecentMaximum
  /** From the arrival of the request to the last event. */
  readonly likelyGenerationMs: RecentQuantile
  /** Output relative to the caller's estimate, and to the stated maximum. */
  readonly estimateRatios: RecentQuantile
  readonly maximumRatios: RecentQuantile
}

/** Records how long the answers of each service take, to tell what ends within a given time. */
export class AnswerDurations {
  /**
   * Creates durations without records.
   * @param clock - Clock of the instance.
   */
  static create (clock: Clock): AnswerDurations {
    return new AnswerDurations(clock)
  }

  private readonly timesByService = new Map<string, ServiceTimes>()

  /** @internal */
  private constructor (private readonly clock: Clock) {}

  /**
   * Records a call that was answered.
   * @param service - Name of the service.
   * @param durationMs - Time from its arrival to the end of its answer, in milliseconds.
   */
  recordCall (service: string, durationMs: number): void {
    const { longestCallMs, likelyCallMs } = this.getTimes(service)
    longestCallMs.record(durationMs)
    likelyCallMs.record(durationMs)
  }

  /**
   * Records a generation that ended.
   * @param service - Name of the service.
   * @param generation - The generation.
   */
  recordGeneration (service: string, { size, tokens, firstEventMs, durationMs }: EndedGeneration): void {
    const times = this.getTimes(service)
    times.longestFirstEventMs.record(firstEventMs)
    if (tokens >= MIN_PACE_TOKENS) times.longestTokenMs.record(durationMs / tokens)
    times.likelyGenerationMs.record(firstEventMs + durationMs)
    if (size === undefined) return
    const { maxOutputTokens, expectedOutputTokens = 0 } = size
    if (maxOutputTokens > 0) times.maximumRatios.record(tokens / maxOutputTokens)
    if (expectedOutputTokens > 0) times.estimateRatios.record(tokens / expectedOutputTokens)
  }

  /**
   * Returns the time that a call takes at most, in milliseconds; undefined while none has been answered lately.
   * @param service - Name of the service.
   */
  findLongestCallMs (service: string): number | undefined {
    const longestMs = this.getTimes(service).longestCallMs.get()
    return longestMs === undefined ? undefined : longestMs * LONGEST_MARGIN
  }

  /**
   * Returns the time that a call likely does not exceed, in milliseconds; undefined while few have been answered.
   * @param service - Name of the service.
   */
  findLikelyCallMs (service: string): number | undefined {
    return this.getTimes(service).likelyCallMs.get()
  }

  /**
   * Returns the time that a generation of unknown size likely does not exceed, in milliseconds; undefined while few have ended.
   * @param service - Name of the service.
   */
  findLikelyGenerationMs (service: string): number | undefined {
    return this.getTimes(service).likelyGenerationMs.get()
  }

  /**
   * Returns the longest recent time from the arrival of a request to the first event, in milliseconds; undefined while no generation has ended lately.
   * @param service - Name of the service.
   */
  findLongestFirstEventMs (service: string): number | undefined {
    return this.getTimes(service).longestFirstEventMs.get()
  }

  /**
   * Returns the time that a generation with an output takes at most, in milliseconds; undefined while none has ended lately.
   * @param service - Name of the service.
   * @param outputTokens - Its output, in tokens.
   */
  findLongestGenerationMs (service: string, outputTokens: number): number | undefined {
    const firstEventMs = this.findLongestFirstEventMs(service)
    const tokenMs = this.getTimes(service).longestTokenMs.get()
    return firstEventMs === undefined || tokenMs === undefined ? undefined : (firstEventMs + outputTokens * tokenMs) * LONGEST_MARGIN
  }

  /**
   * Estimates the output that a generation likely does not exceed, in tokens.
   * @param service - Name of the service.
   * @param size - Sizes that the caller stated.
   */
  estimateLikelyOutput (service: string, { maxOutputTokens, expectedOutputTokens }: GenerationSize): number {
    const { estimateRatios, maximumRatios } = this.getTimes(service)
    const likelyOfEstimate = expectedOutputTokens === undefined ? Infinity : expectedOutputTokens * (estimateRatios.get() ?? DEFAULT_ESTIMATE_RATIO)
    return Math.min(maxOutputTokens, maxOutputTokens * (maximumRatios.get() ?? DEFAULT_MAXIMUM_RATIO), likelyOfEstimate)
  }

  private getTimes (service: string): ServiceTimes {
    const existing = this.timesByService.get(service)
    if (existing !== undefined) return existing
    const times: ServiceTimes = {
      longestCallMs: RecentMaximum.create(this.clock, PERIOD_MS),
      likelyCallMs: RecentQuantile.create(),
      longestFirstEventMs: RecentMaximum.create(this.clock, PERIOD_MS),
      longestTokenMs: RecentMaximum.create(this.clock, PERIOD_MS),
      likelyGenerationMs: RecentQuantile.create(),
      estimateRatios: RecentQuantile.create(),
      maximumRatios: RecentQuantile.create()
    }
    this.timesByService.set(service, times)
    return times
  }
}
