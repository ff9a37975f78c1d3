import { type MetricSeriesReading } from '@fescuespoke/schema'
import { build, type Histogram } from 'hdr-histogram-js'
import { type Clock } from '../clock/Clock.js'

/** Values of one metric under one set of labels. */
export interface MetricSeries {
  /** Gets the present values. */
  getReading(): MetricSeriesReading
}

/** A number that only grows. */
export class CounterSeries implements MetricSeries {
  private total = 0

  /** @internal */
  constructor (private readonly labels: Readonly<Record<string, string>>) {}

  /**
   * Adds to the counter.
   * @param amount - What is added; negative amounts are dropped.
   */
  add (amount = 1): void {
    if (amount > 0) this.total += amount
  }

  /** Gets the present value. */
  getReading (): MetricSeriesReading {
    return { labels: this.labels, value: this.total }
  }
}

/** A value that rises and falls. */
export class GaugeSeries implements MetricSeries {
  private present = 0

  /** @internal */
  constructor (private readonly labels: Readonly<Record<string, string>>) {}

  /**
   * Sets the value.
   * @param value - The present value.
   */
  set (value: number): void {
    this.present = value
  }

  /** Gets the present value. */
  getReading (): MetricSeriesReading {
    return { labels: this.labels, value: this.present }
  }
}

/** Time after which a window of a histogram is replaced, in milliseconds. */
export const HISTOGRAM_WINDOW_MS = 60_000

/** Highest duration that a histogram tells from longer ones, in milliseconds. */
export const HIGHEST_HISTOGRAM_MS = 3_600_000

/** Digits of a duration that a histogram keeps: two digits are an error of at most one per cent. */
const SIGNIFICANT_DIGITS = 2

/** Bits of a counter in a histogram, enough for a window of four thousand million values. */
const COUNTER_BITS = 32

/** A distribution of durations in whole milliseconds: quantiles of the last one to two windows, count and sum since the start. */
export class HistogramSeries implements MetricSeries {
  private current = createHistogram()
  private previous = createHistogram()
  private windowEndMs: number
  private count = 0
  private sum = 0

  /** @internal */
  constructor (private readonly labels: Readonly<Record<string, string>>, private readonly clock: Clock) {
    this.windowEndMs = clock.nowMs() + HISTOGRAM_WINDOW_MS
  }

  /**
   * Records a duration.
   * @param durationMs - Duration in milliseconds, rounded to whole ones; negative and unreal ones are dropped.
   */
  record (durationMs: number): void {
    if (!(durationMs >= 0)) return
    this.replaceWindow()
    this.count++
    this.sum += durationMs
    this.current.recordValue(Math.min(HIGHEST_HISTOGRAM_MS, Math.round(durationMs)))
  }

  /** Gets the present values. */
  getReading (): MetricSeriesReading {
    this.replaceWindow()
    const merged = createHistogram()
    merged.add(this.previous)
    merged.add(this.current)
    const getQuantile = (percent: number): number => Math.min(merged.maxValue, merged.getValueAtPercentile(percent))
    return {
      labels: this.labels,
      count: this.count,
      sum: Math.round(this.sum),
      recent: {
        count: merged.totalCount,
        p50: getQuantile(50),
        p95: getQuantile(95),
        p99: getQuantile(99),
        p999: getQuantile(99.9),
        max: merged.maxValue
      }
    }
  }

  /** Gets the memory held by the buckets, in bytes. */
  getFootprintBytes (): number {
    return this.current.estimatedFootprintInBytes + this.previous.estimatedFootprintInBytes
  }

  private replaceWindow (): void {
    const overdueMs = this.clock.nowMs() - this.windowEndMs
    if (overdueMs < 0) return
    const oldest = this.previous
    this.previous = this.current
    this.current = oldest
    this.current.reset()
    if (overdueMs >= HISTOGRAM_WINDOW_MS) this.previous.reset()
    this.windowEndMs += HISTOGRAM_WINDOW_MS * (1 + Math.floor(overdueMs / HISTOGRAM_WINDOW_MS))
  }
}

function createHistogram (): Histogram {
  return build({
    bitBucketSize: COUNTER_BITS,
    autoResize: false,
    lowestDiscernibleValue: 1,
    highestTrackableValue: HIGHEST_HISTOGRAM_MS,
    numberOfSignificantValueDigits: SIGNIFICANT_DIGITS
  })
}
