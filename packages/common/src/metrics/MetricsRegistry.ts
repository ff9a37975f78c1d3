import { type MetricsReading } from '@fescuespoke/schema'
import { type Clock } from '../clock/Clock.js'
import { SystemClock } from '../clock/SystemClock.js'
import { formatExposition } from './formatExposition.js'
import { METRIC_DEFINITIONS, type MetricKind, type MetricLabels, type MetricName, type MetricNameOf } from './metricDefinitions.js'
import { MetricFamily } from './MetricFamily.js'
import { CounterSeries, GaugeSeries, HistogramSeries, type MetricSeries } from './MetricSeries.js'
import { type ProcessUsage, readProcessUsage } from './readProcessUsage.js'

/** Options of a metrics registry. */
export interface MetricsRegistryOptions {
  /** Name of the instance. */
  readonly instance?: string
  /** Clock of the histograms' windows; by default the monotonic clock of the process. */
  readonly clock?: Clock
  /** Reads processor time and memory; by default those of this process. */
  readonly readUsage?: () => ProcessUsage
}

/** Sets gauges just before they are read. */
export type MetricsUpdater = () => void

/** Holds every metric of one instance. Components keep the series that they write to. */
export class MetricsRegistry {
  /**
   * Creates a registry.
   * @param options - Options of the registry.
   */
  static create (options: MetricsRegistryOptions = {}): MetricsRegistry {
    return new MetricsRegistry(options)
  }

  private readonly families: Readonly<Record<MetricName, MetricFamily>>
  private readonly updaters: MetricsUpdater[] = []

  /** @internal */
  private constructor (private readonly options: MetricsRegistryOptions) {
    const clock = options.clock ?? SystemClock.create()
    const names = Object.keys(METRIC_DEFINITIONS) as MetricName[]
    const families = names.map(name => [name, createFamily(name, clock)])
    this.families = Object.fromEntries(families)
    this.addUpdater(() => this.setProcessUsage())
  }

  /**
   * Gets a counter.
   * @param name - Name of the metric.
   * @param labels - Labels with their values.
   */
  getCounter<N extends MetricNameOf<'counter'>>(name: N, labels: MetricLabels<N>): CounterSeries {
    return this.families[name].getSeries(labels) as CounterSeries
  }

  /**
   * Gets a gauge.
   * @param name - Name of the metric.
   * @param labels - Labels with their values.
   */
  getGauge<N extends MetricNameOf<'gauge'>>(name: N, labels: MetricLabels<N>): GaugeSeries {
    return this.families[name].getSeries(labels) as GaugeSeries
  }

  /**
   * Gets a histogram of durations.
   * @param name - Name of the metric.
   * @param labels - Labels with their values.
   */
  getHistogram<N extends MetricNameOf<'histogram'>>(name: N, labels: MetricLabels<N>): HistogramSeries {
    return this.families[name].getSeries(labels) as HistogramSeries
  }

  /**
   * Adds what sets gauges just before each reading.
   * @param updater - Sets the gauges.
   */
  addUpdater (updater: MetricsUpdater): void {
    this.updaters.push(updater)
  }

  /** Gets the present values of all metrics. */
  getReading (): MetricsReading {
    for (const update of this.updaters) update()
    const metrics = Object.values(this.families).map(family => family.getReading())
    return { instance: this.options.instance ?? '', metrics: metrics.filter(metric => metric.series.length > 0) }
  }

  /** Formats the present values as text exposition. */
  async formatText (): Promise<string> {
    return await formatExposition(this.getReading())
  }

  private setProcessUsage (): void {
    const usage = (this.options.readUsage ?? readProcessUsage)()
    this.getGauge('processorTime', {}).set(usage.processorMs)
    this.getGauge('heapBytes', {}).set(usage.heapBytes)
    this.getGauge('residentBytes', {}).set(usage.residentBytes)
  }
}

type SeriesFactory = (labels: Readonly<Record<string, string>>, clock: Clock) => MetricSeries

const SERIES_FACTORIES: Record<MetricKind, SeriesFactory> = {
  counter: labels => new CounterSeries(labels),
  gauge: labels => new GaugeSeries(labels),
  histogram: (labels, clock) => new HistogramSeries(labels, clock)
}

function createFamily (name: MetricName, clock: Clock): MetricFamily {
  const definition = METRIC_DEFINITIONS[name]
  const createSeries = SERIES_FACTORIES[definition.kind]
  return MetricFamily.create({ name, definition, createSeries: labels => createSeries(labels, clock) })
}
