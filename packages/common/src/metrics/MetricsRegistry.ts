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
  /** Clock that ends the windows of histograms; by default the monotonic clock of the process. */
  readonly clock?: Clock
  /** Reads processor time and memory usage; by default those of this process. */
  readonly readUsage?: () => ProcessUsage
}

/** Updates gauges immediately before the metrics are read. */
export type MetricsUpdater = () => void

/** Contains all metrics of one instance. Components keep references to the series that they update. */
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
    this.addUpdater(() => this.updateProcessGauges())
  }

  /**
   * Returns a counter and creates it if it is absent.
   * @param name - Name of the metric.
   * @param labels - Values of the labels by name.
   */
  getCounter<N extends MetricNameOf<'counter'>>(name: N, labels: MetricLabels<N>): CounterSeries {
    return this.families[name].getSeries(labels) as CounterSeries
  }

  /**
   * Returns a gauge and creates it if it is absent.
   * @param name - Name of the metric.
   * @param labels - Values of the labels by name.
   */
  getGauge<N extends MetricNameOf<'gauge'>>(name: N, labels: MetricLabels<N>): GaugeSeries {
    return this.families[name].getSeries(labels) as GaugeSeries
  }

  /**
   * Returns a histogram of durations and creates it if it is absent.
   * @param name - Name of the metric.
   * @param labels - Values of the labels by name.
   */
  getHistogram<N extends MetricNameOf<'histogram'>>(name: N, labels: MetricLabels<N>): HistogramSeries {
    return this.families[name].getSeries(labels) as HistogramSeries
  }

  /**
   * Adds a function that updates gauges immediately before each reading.
   * @param updater - Function that updates the gauges.
   */
  addUpdater (updater: MetricsUpdater): void {
    this.updaters.push(updater)
  }

  /** Returns the current values of all metrics that have series. */
  getReading (): MetricsReading {
    for (const update of this.updaters) update()
    const metrics = Object.values(this.families).map(family => family.getReading())
    return { instance: this.options.instance ?? '', metrics: metrics.filter(metric => metric.series.length > 0) }
  }

  /** Formats the current values in the Prometheus text exposition format. */
  async formatText (): Promise<string> {
    return await formatExposition(this.getReading())
  }

  private updateProcessGauges (): void {
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
