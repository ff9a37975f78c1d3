import { build, type Histogram } from 'hdr-histogram-js'
import { type Arrival } from './arrivals.js'

/**
 * Measurement of one policy in one run. Goodput is a fraction of the requests that ended, or whose deadline passed,
 * before the run ended.
 */
export interface PolicyMeasurement {
  readonly policy: string
  readonly offered: number
  readonly stallMsTotal: number
  readonly stallMsP50: number
  readonly stallMsP99: number
  readonly preemptionsPerThousand: number
  readonly highPriorityPreemptions: number
  readonly tokenIntervalMsP50: number
  readonly tokenIntervalMsP95: number
  readonly tokenIntervalMsP99: number
  readonly tokenIntervalMsP999: number
  readonly firstTokenMsP50: number
  readonly firstTokenMsP95: number
  readonly firstTokenMsP99: number
  /** 99th percentile of the time to the first token, or to the reply of a call, of high-priority requests. */
  readonly highFirstTokenMsP99: number
  readonly goodput: number
  readonly goodputPerSecond: number
  readonly notRun: number
  /** Number of answers that broke off or were not complete at their deadline. */
  readonly broken: number
  readonly worstWorkspaceGoodput: number
  /** Lowest goodput of a workspace, not counting the workspace with the burst. */
  readonly worstSteadyWorkspaceGoodput: number
  readonly creditRequestsPerSecond: number
  readonly bypasses: number
}

/** How a request ended: `late` is complete after its deadline. */
export type RequestOutcome = 'complete' | 'late' | 'notRun' | 'broken'

interface AnswerRecord {
  readonly arrival: Arrival
  lastTokenMs: number | undefined
  stallMs: number
  outcome: RequestOutcome | undefined
}

/** Options of the statistics. */
export interface AnswerStatisticsOptions {
  readonly policy: string
  /** Start of the measurement window; only requests that arrive in the window are counted. */
  readonly windowStartMs: number
  /** Length of the measurement window. */
  readonly windowMs: number
  /** Planned token interval; the part of a gap that exceeds twice this interval counts as a stall. */
  readonly tokenIntervalMs: number
  /** Index of the workspace with the burst; absent if there is none. */
  readonly burstWorkspaceIndex?: number
}

/** Number of token intervals without a token after which an answer counts as stalled. */
const STALL_INTERVALS = 2
const TENTHS_PER_MS = 10
const HISTOGRAM_MAX_TENTHS = 36_000_000
const MS_PER_SECOND = 1000

/** Collects statistics of the answers of one run. */
export class AnswerStatistics {
  /**
   * Creates empty statistics.
   * @param options - Options.
   */
  static create (options: AnswerStatisticsOptions): AnswerStatistics {
    return new AnswerStatistics(options)
  }

  private readonly answers = new Map<string, AnswerRecord>()
  private readonly tokenIntervals = createHistogram()
  private readonly firstTokens = createHistogram()
  private readonly highPriorityFirstTokens = createHistogram()
  private preemptionCount = 0
  private highPriorityPreemptionCount = 0

  /** @internal */
  private constructor (private readonly options: AnswerStatisticsOptions) {}

  /**
   * Records that a request was sent.
   * @param arrival - The request.
   */
  recordArrival (arrival: Arrival): void {
    const { windowStartMs, windowMs } = this.options
    if (arrival.atMs < windowStartMs || arrival.atMs >= windowStartMs + windowMs) return
    this.answers.set(arrival.id, { arrival, lastTokenMs: undefined, stallMs: 0, outcome: undefined })
  }

  /**
   * Records one token, or the reply of a call.
   * @param id - Id of the request.
   * @param nowMs - Time at which it was received.
   */
  recordToken (id: string, nowMs: number): void {
    const answer = this.answers.get(id)
    if (answer === undefined) return
    if (answer.lastTokenMs === undefined) this.recordFirstToken(answer, nowMs)
    else this.recordInterval(answer, nowMs - answer.lastTokenMs)
    answer.lastTokenMs = nowMs
  }

  /**
   * Records a preemption.
   * @param id - Id of the request.
   */
  recordPreemption (id: string): void {
    const answer = this.answers.get(id)
    if (answer === undefined) return
    this.preemptionCount++
    if (answer.arrival.service.priority === 'high') this.highPriorityPreemptionCount++
  }

  /**
   * Records how a request ended.
   * @param id - Id of the request.
   * @param outcome - The outcome.
   */
  recordEnd (id: string, outcome: RequestOutcome): void {
    const answer = this.answers.get(id)
    if (answer !== undefined) answer.outcome ??= outcome
  }

  /**
   * Computes the measurement of the policy. Answers that are still in progress and whose deadline has not passed are
   * excluded from the goodput.
   * @param creditRequests - Credit requests to coordinators per second, and number of those without a reply in time.
   * @param endMs - Time at which the run ended.
   */
  computeMeasurement (creditRequests: { readonly perSecond: number, readonly bypasses: number }, endMs: number): PolicyMeasurement {
    const endedOrExpired = [...this.answers.values()].filter(answer => this.hasEndedOrExpired(answer, endMs))
    const started = [...this.answers.values()].filter(answer => answer.lastTokenMs !== undefined)
    for (const answer of started) this.addTrailingStall(answer, endMs)
    const stalls = createHistogram()
    for (const answer of started) stalls.recordValue(Math.round(answer.stallMs * TENTHS_PER_MS))
    const complete = endedOrExpired.filter(({ outcome }) => outcome === 'complete').length
    return {
      policy: this.options.policy,
      offered: this.answers.size,
      stallMsTotal: Math.round(started.reduce((sum, answer) => sum + answer.stallMs, 0)),
      stallMsP50: getPercentileMs(stalls, 50),
      stallMsP99: getPercentileMs(stalls, 99),
      preemptionsPerThousand: roundToDigits(this.preemptionCount * 1000 / Math.max(1, started.length), 1),
      highPriorityPreemptions: this.highPriorityPreemptionCount,
      tokenIntervalMsP50: getPercentileMs(this.tokenIntervals, 50),
      tokenIntervalMsP95: getPercentileMs(this.tokenIntervals, 95),
      tokenIntervalMsP99: getPercentileMs(this.tokenIntervals, 99),
      tokenIntervalMsP999: getPercentileMs(this.tokenIntervals, 99.9),
      firstTokenMsP50: getPercentileMs(this.firstTokens, 50),
      firstTokenMsP95: getPercentileMs(this.firstTokens, 95),
      firstTokenMsP99: getPercentileMs(this.firstTokens, 99),
      highFirstTokenMsP99: getPercentileMs(this.highPriorityFirstTokens, 99),
      goodput: roundToDigits(complete / Math.max(1, endedOrExpired.length), 4),
      goodputPerSecond: roundToDigits(complete * MS_PER_SECOND / this.options.windowMs, 2),
      notRun: endedOrExpired.filter(({ outcome }) => outcome === 'notRun').length,
      broken: endedOrExpired.filter(({ outcome }) => outcome === 'broken' || outcome === 'late' || outcome === undefined).length,
      worstWorkspaceGoodput: computeWorstWorkspaceGoodput(endedOrExpired),
      worstSteadyWorkspaceGoodput: computeWorstWorkspaceGoodput(endedOrExpired.filter(({ arrival }) => arrival.workspaceIndex !== this.options.burstWorkspaceIndex)),
      creditRequestsPerSecond: roundToDigits(creditRequests.perSecond, 1),
      bypasses: creditRequests.bypasses
    }
  }

  private hasEndedOrExpired (answer: AnswerRecord, endMs: number): boolean {
    return answer.outcome !== undefined || answer.arrival.atMs + answer.arrival.service.deadlineMs <= endMs
  }

  private addTrailingStall (answer: AnswerRecord, endMs: number): void {
    if (answer.outcome !== undefined || answer.lastTokenMs === undefined) return
    answer.stallMs += this.computeStallMs(endMs - answer.lastTokenMs)
  }

  private recordFirstToken (answer: AnswerRecord, nowMs: number): void {
    const tenths = Math.round((nowMs - answer.arrival.atMs) * TENTHS_PER_MS)
    this.firstTokens.recordValue(tenths)
    if (answer.arrival.service.priority === 'high') this.highPriorityFirstTokens.recordValue(tenths)
  }

  private recordInterval (answer: AnswerRecord, intervalMs: number): void {
    this.tokenIntervals.recordValue(Math.round(intervalMs * TENTHS_PER_MS))
    answer.stallMs += this.computeStallMs(intervalMs)
  }

  private computeStallMs (intervalMs: number): number {
    return Math.max(0, intervalMs - STALL_INTERVALS * this.options.tokenIntervalMs)
  }
}

function createHistogram (): Histogram {
  return build({ bitBucketSize: 32, autoResize: true, lowestDiscernibleValue: 1, highestTrackableValue: HISTOGRAM_MAX_TENTHS, numberOfSignificantValueDigits: 3 })
}

function getPercentileMs (histogram: Histogram, percentile: number): number {
  return roundToDigits(histogram.getValueAtPercentile(percentile) / TENTHS_PER_MS, 1)
}

function computeWorstWorkspaceGoodput (answers: readonly AnswerRecord[]): number {
  const offered = new Map<number, number>()
  const complete = new Map<number, number>()
  for (const { arrival, outcome } of answers) {
    offered.set(arrival.workspaceIndex, (offered.get(arrival.workspaceIndex) ?? 0) + 1)
    if (outcome === 'complete') complete.set(arrival.workspaceIndex, (complete.get(arrival.workspaceIndex) ?? 0) + 1)
  }
  const goodputs = [...offered].map(([workspace, count]) => (complete.get(workspace) ?? 0) / count)
  return roundToDigits(Math.min(1, ...goodputs), 4)
}

function roundToDigits (value: number, digits: number): number {
  return Math.round(value * 10 ** digits) / 10 ** digits
}
