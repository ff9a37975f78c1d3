import { type MetricReading, type MetricSeriesReading, type MetricsReading } from '@fescuespoke/schema'
import { type Metric } from 'prom-client'

interface Sample {
  readonly metricName: string
  readonly labels: Readonly<Record<string, string | number>>
  readonly value: number
}

type SampleFactory = (name: string, series: MetricSeriesReading) => Sample[]

/** Histograms are exposed as summaries, because the instance computes their quantiles. */
const EXPOSED_TYPES: Record<MetricReading['kind'], string> = { counter: 'counter', gauge: 'gauge', histogram: 'summary' }

const SAMPLE_FACTORIES: Record<MetricReading['kind'], SampleFactory> = {
  counter: createValueSamples,
  gauge: createValueSamples,
  histogram: createSummarySamples
}

/**
 * Formats metrics in the Prometheus text exposition format, version 0.0.4. The library is loaded with the first call, since loading
 * it delays a start.
 * @param reading - The metrics.
 */
export async function formatExposition (reading: MetricsReading): Promise<string> {
  const { Registry } = await import('prom-client')
  const registry = new Registry()
  for (const metric of reading.metrics) registry.registerMetric(convertMetric(metric))
  return await registry.metrics()
}

function convertMetric ({ exposedName: name, help, kind, series }: MetricReading): Metric {
  const values = series.flatMap(seriesReading => SAMPLE_FACTORIES[kind](name, seriesReading))
  const exposedMetric = { name, help, type: EXPOSED_TYPES[kind], aggregator: 'sum', values }
  return { ...exposedMetric, get: async () => exposedMetric } as unknown as Metric
}

function createValueSamples (metricName: string, { labels, value = 0 }: MetricSeriesReading): Sample[] {
  return [{ metricName, labels, value }]
}

function createSummarySamples (name: string, { labels, count = 0, sum = 0, recent }: MetricSeriesReading): Sample[] {
  const quantiles: Array<[string, number]> = recent === undefined
    ? []
    : [['0.5', recent.p50], ['0.95', recent.p95], ['0.99', recent.p99], ['0.999', recent.p999], ['1', recent.max]]
  return [
    ...quantiles.map(([quantile, value]) => ({ metricName: name, labels: { ...labels, quantile }, value })),
    { metricName: `${name}_sum`, labels, value: sum },
    { metricName: `${name}_count`, labels, value: count }
  ]
}
