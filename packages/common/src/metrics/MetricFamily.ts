import { type MetricReading } from '@fescuespoke/schema'
import { DEFAULT_MAX_SERIES, type MetricDefinition } from './metricDefinitions.js'
import { type MetricSeries } from './MetricSeries.js'

/** Value of a label once its metric has as many series as are allowed. */
export const OTHER_LABEL = 'other'

/** Options of a metric family. */
export interface MetricFamilyOptions<S extends MetricSeries> {
  readonly name: string
  readonly definition: MetricDefinition
  /** Makes the series for a set of labels. */
  readonly createSeries: (labels: Readonly<Record<string, string>>) => S
}

/** Holds the series of one metric, a bounded number of them. */
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
   * Gets the series for a set of labels, made when absent. Beyond the bound, open labels read `other`.
   * @param labels - Labels with their values.
   */
  getSeries (labels: Readonly<Record<string, string>>): S {
    const known = this.series.get(this.formatKey(labels))
    if (known !== undefined) return known
    const { definition, createSeries } = this.options
    const isFull = this.series.size >= (definition.maxSeries ?? DEFAULT_MAX_SERIES)
    const kept = isFull ? this.replaceOpenLabels(labels) : labels
    const key = this.formatKey(kept)
    const series = this.series.get(key) ?? createSeries({ ...kept })
    this.series.set(key, series)
    return series
  }

  /** Lists the series. */
  listSeries (): readonly S[] {
    return [...this.series.values()]
  }

  /** Gets the present values of all series. */
  getReading (): MetricReading {
    const { name, definition } = this.options
    const { kind, exposedName, help } = definition
    return { name, exposedName, kind, help, series: this.listSeries().map(series => series.getReading()) }
  }

  private replaceOpenLabels (labels: Readonly<Record<string, string>>): Readonly<Record<string, string>> {
    const replaced = (this.options.definition.openLabels ?? []).map(label => [label, OTHER_LABEL])
    return { ...labels, ...Object.fromEntries(replaced) }
  }

  /** Most metrics have one label, whose value is a key as it is. */
  private formatKey (labels: Readonly<Record<string, string>>): string {
    if (this.labelNames.length === 1) return labels[this.labelNames[0] as string] as string
    return this.labelNames.map(label => labels[label]).join('\u0000')
  }
}
