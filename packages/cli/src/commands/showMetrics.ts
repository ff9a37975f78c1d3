import { type MetricReading, type MetricSeriesReading } from '@fescuespoke/schema'
import { type CliContext } from '../CliContext.js'
import { type ExitStatus } from '../ExitStatus.js'
import { type Column, formatTable } from '../output/formatTable.js'
import { parseConnectionArgs, type ConnectionArgs, printOperatorError } from './connectionOptions.js'

/** Arguments of the `metrics` command. */
export interface MetricsArgs extends ConnectionArgs {
  readonly json?: boolean
}

interface SeriesRow {
  readonly metric: MetricReading
  readonly series: MetricSeriesReading
}

const NAME_COLUMNS: ReadonlyArray<Column<SeriesRow>> = [
  { heading: 'metric', getCell: ({ metric }) => metric.name },
  { heading: 'labels', getCell: ({ series }) => Object.entries(series.labels).map(([name, value]) => `${name}=${value}`).join(' ') }
]

const VALUE_COLUMNS: ReadonlyArray<Column<SeriesRow>> = [
  ...NAME_COLUMNS,
  { heading: 'value', getCell: ({ series }) => formatNumber(series.value) }
]

const HISTOGRAM_COLUMNS: ReadonlyArray<Column<SeriesRow>> = [
  ...NAME_COLUMNS,
  { heading: 'values', getCell: ({ series }) => series.count },
  { heading: 'recent', getCell: ({ series }) => series.recent?.count },
  { heading: 'p50 ms', getCell: ({ series }) => series.recent?.p50 },
  { heading: 'p95 ms', getCell: ({ series }) => series.recent?.p95 },
  { heading: 'p99 ms', getCell: ({ series }) => series.recent?.p99 },
  { heading: 'p99.9 ms', getCell: ({ series }) => series.recent?.p999 },
  { heading: 'max ms', getCell: ({ series }) => series.recent?.max }
]

/**
 * Shows the metrics of one instance.
 * @param context - Dependencies of the command.
 * @param args - Arguments of the command.
 */
export async function showMetrics (context: CliContext, args: MetricsArgs): Promise<ExitStatus> {
  const { urls: [url], createClient } = parseConnectionArgs(context, args)
  const result = await createClient(url).fetchMetrics()
  if (result.isErr) return printOperatorError(context, url, result.error)
  if (args.json === true) context.print(JSON.stringify(result.value, null, 2))
  else printMetrics(context, result.value.metrics)
  return 'ok'
}

function printMetrics ({ print }: CliContext, metrics: readonly MetricReading[]): void {
  const rows = metrics.flatMap(metric => metric.series.map(series => ({ metric, series })))
  const histograms = rows.filter(({ metric }) => metric.kind === 'histogram')
  const values = rows.filter(({ metric }) => metric.kind !== 'histogram')
  if (histograms.length > 0) print(`${formatTable(HISTOGRAM_COLUMNS, histograms)}\n`)
  print(formatTable(VALUE_COLUMNS, values))
}

function formatNumber (value: number | undefined): number | undefined {
  return value === undefined ? undefined : Math.round(value * 100) / 100
}
