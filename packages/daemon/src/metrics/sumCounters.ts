import { type MetricsReading } from '@fescuespoke/schema'

/**
 * Sums each counter of a reading over its labels, for a log line.
 * @param reading - Reading of the metrics.
 * @returns The sums by counter name.
 */
export function sumCounters (reading: MetricsReading): Record<string, number> {
  const counters = reading.metrics.filter(({ kind }) => kind === 'counter')
  return Object.fromEntries(counters.map(({ name, series }) => [name, series.reduce((sum, { value }) => sum + (value ?? 0), 0)]))
}
