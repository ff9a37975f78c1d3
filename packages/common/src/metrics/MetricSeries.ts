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

/** Reading of a gauge whose value is not finite, such as the age of what has never been seen. */
const NOT_KNOWN = -1

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
    return { labels: this.labels, value: Number.isFinite(this.present) ? this.present : NOT_KNOWN }
  }
}

/** Time after which a window of a histogram is replaced, in milliseconds. */
export const HISTOGRAM_WINDOW_MS = 60_000

/** Values in a window from which on it counts as filling quickly. */
const BUSY_WINDOW_RECORDS = 256

/** Values recorded between two checks of a window that fills quickly. */
const RECORDS_PER_CHECK = 32

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
  private recordsUntilCheck = 0
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
    if (this.recordsUntilCheck-- <= 0) this.checkWindow()
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

  /** Reading the clock costs more than recording a value, so a window that fills quickly is checked less often. */
  private checkWindow (): void {
    this.replaceWindow()
    this.recordsUntilCheck = this.current.totalCount < BUSY_WINDOW_RECORDS ? 0 : RECORDS_PER_CHECK
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
