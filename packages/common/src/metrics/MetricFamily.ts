import { type MetricReading } from '@fescuespoke/schema'
import { DEFAULT_MAX_SERIES, type MetricDefinition } from './metricDefinitions.js'
import { type MetricSeries } from './MetricSeries.js'

/** Value of unbounded labels in series that are added once a metric has reached its maximum number of series. */
export const OTHER_LABEL_VALUE = 'other'

/** Options of a metric family. */
export interface MetricFamilyOptions<S extends MetricSeries> {
  readonly name: string
  readonly definition: MetricDefinition
  /** Creates the series for a set of labels. */
  readonly createSeries: (labels: Readonly<Record<string, string>>) => S
}

/** Keeps the series of one metric and limits their number. */
export class MetricFamily<S extends MetricSeries = MetricSeries> {
  /**
   * Creates a family without series.
   * @param options - Options of the family.
   */
  static create<S extends MetricSeries>(options: MetricFamilyOptions<S>): MetricFamily<S> {
    return new MetricFamily(options)
  }

  private readonly series = new Map<string, S>()
  private readonly labelNames: readonly string[]

  /** @internal */
  private constructor (private readonly options: MetricFamilyOptions<S>) {
    this.labelNames = options.definition.labels
  }

  /**
   * Returns the series for a set of labels and creates it if it is absent. Once the maximum number of series is reached,
   * new series get the value `other` for the unbounded labels.
   * @param labels - Values of the labels by name.
   */
  getSeries (labels: Readonly<Record<string, string>>): S {
    const existing = this.series.get(this.formatKey(labels))
    if (existing !== undefined) return existing
    const { definition, createSeries } = this.options
    const isAtLimit = this.series.size >= (definition.maxSeries ?? DEFAULT_MAX_SERIES)
    const boundedLabels = isAtLimit ? this.replaceUnboundedLabels(labels) : labels
    const key = this.formatKey(boundedLabels)
    const series = this.series.get(key) ?? createSeries({ ...boundedLabels })
    this.series.set(key, series)
    return series
  }

  /** Returns all series. */
  listSeries (): readonly S[] {
    return [...this.series.values()]
  }

  /** Returns the current values of all series. */
  getReading (): MetricReading {
    const { name, definition } = this.options
    const { kind, exposedName, help } = definition
    return { name, exposedName, kind, help, series: this.listSeries().map(series => series.getReading()) }
  }

  private replaceUnboundedLabels (labels: Readonly<Record<string, string>>): Readonly<Record<string, string>> {
    const replacements = (this.options.definition.unboundedLabels ?? []).map(label => [label, OTHER_LABEL_VALUE])
    return { ...labels, ...Object.fromEntries(replacements) }
  }

  /** The value of a single label, which most metrics have, is used as the key without formatting. */
  private formatKey (labels: Readonly<Record<string, string>>): string {
    if (this.labelNames.length === 1) return labels[this.labelNames[0] as string] as string
    return this.labelNames.map(label => labels[label]).join('\u0000')
  }
}
