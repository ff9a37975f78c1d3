import { type MetricsReading } from '@fescuespoke/schema'

/**
 * Lists the counters of a reading, each summed over its labels, as one object for a log line.
 * @param reading - Reading of the metrics.
 */
export function sumCounters (reading: MetricsReading): Record<string, number> {
  const counters = reading.metrics.filter(({ kind }) => kind === 'counter')
  return Object.fromEntries(counters.map(({ name, series }) => [name, series.reduce((sum, { value }) => sum + (value ?? 0), 0)]))
}
