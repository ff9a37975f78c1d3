import { type MetricSeriesReading } from '@fescuespoke/schema'
import { build, type Histogram } from 'hdr-histogram-js'
import { type Clock } from '../clock/Clock.js'

/** Values of one metric under one set of labels. */
export interface MetricSeries {
  /** Returns the current values. */
  getReading(): MetricSeriesReading
}

/** A value that only increases. */
export class CounterSeries implements MetricSeries {
  private total = 0

  /** @internal */
  constructor (private readonly labels: Readonly<Record<string, string>>) {}

  /**
   * Increases the counter.
   * @param amount - Amount to add; negative amounts are ignored.
   */
  add (amount = 1): void {
    if (amount > 0) this.total += amount
  }

  /** Returns the current value. */
  getReading (): MetricSeriesReading {
    return { labels: this.labels, value: this.total }
  }
}

/** Reading of a gauge whose value is not finite, such as the age of a view that was never confirmed. */
const UNKNOWN_VALUE = -1

/** A value that can increase and decrease. */
export class GaugeSeries implements MetricSeries {
  private value = 0

  /** @internal */
  constructor (private readonly labels: Readonly<Record<string, string>>) {}

  /**
   * Sets the value.
   * @param value - The new value.
   */
  set (value: number): void {
    this.value = value
  }

  /** Returns the current value. */
  getReading (): MetricSeriesReading {
    return { labels: this.labels, value: Number.isFinite(this.value) ? this.value : UNKNOWN_VALUE }
  }
}

/** Length of a window of a histogram. */
export const HISTOGRAM_WINDOW_MS = 60_000

/** Minimum number of values in a window that counts as filling quickly. */
const FAST_WINDOW_MIN_VALUES = 256

/** Number of values recorded between two checks of a window that fills quickly. */
const VALUES_PER_WINDOW_CHECK = 32

/** Longest duration that a histogram can represent. Longer durations are recorded as this value. */
export const MAX_HISTOGRAM_MS = 3_600_000

/** Significant digits of a duration in a histogram. Two digits limit the error to one percent. */
const SIGNIFICANT_DIGITS = 2

/** Bits of each counter in a histogram, enough for four billion values in a window. */
const COUNTER_BITS = 32

/**
 * A distribution of durations in whole milliseconds. The quantiles cover the last one to two windows; the count and the
 * sum cover the time since the start.
 */
export class HistogramSeries implements MetricSeries {
  private current = createHistogram()
  private previous = createHistogram()
  private windowEndMs: number
  private valuesUntilCheck = 0
  private count = 0
  private sum = 0

  /** @internal */
  constructor (private readonly labels: Readonly<Record<string, string>>, private readonly clock: Clock) {
    this.windowEndMs = clock.nowMs() + HISTOGRAM_WINDOW_MS
  }

  /**
   * Records a duration.
   * @param durationMs - Duration in milliseconds. It is rounded to whole milliseconds; negative durations and NaN are ignored.
   */
  record (durationMs: number): void {
    if (!(durationMs >= 0)) return
    if (this.valuesUntilCheck-- <= 0) this.checkWindow()
    this.count++
    this.sum += durationMs
    this.current.recordValue(Math.min(MAX_HISTOGRAM_MS, Math.round(durationMs)))
  }

  /** Returns the current values. */
  getReading (): MetricSeriesReading {
    this.rotateWindow()
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

  /** Returns the estimated memory of the buckets in bytes. */
  getFootprintBytes (): number {
    return this.current.estimatedFootprintInBytes + this.previous.estimatedFootprintInBytes
  }

  /** Reading the clock costs more than recording a value, so a window that fills quickly is checked less often for its end. */
  private checkWindow (): void {
    this.rotateWindow()
    this.valuesUntilCheck = this.current.totalCount < FAST_WINDOW_MIN_VALUES ? 0 : VALUES_PER_WINDOW_CHECK
  }

  private rotateWindow (): void {
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
    highestTrackableValue: MAX_HISTOGRAM_MS,
    numberOfSignificantValueDigits: SIGNIFICANT_DIGITS
  })
}
