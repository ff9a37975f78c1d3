import { type PolicyMeasurement } from './AnswerStatistics.js'
import { type ScenarioMeasurement } from './measureScenario.js'

interface Column {
  readonly title: string
  readonly format: (row: PolicyMeasurement) => string
}

const COLUMNS: readonly Column[] = [
  { title: 'policy', format: row => row.policy },
  { title: 'stall ms total/p50/p99', format: row => `${row.stallMsTotal}/${row.stallMsP50}/${row.stallMsP99}` },
  { title: 'preempt/1000 (high)', format: row => `${row.preemptionsPerThousand} (${row.highPriorityPreemptions})` },
  { title: 'interval ms p50/p95/p99/p99.9', format: row => `${row.tokenIntervalMsP50}/${row.tokenIntervalMsP95}/${row.tokenIntervalMsP99}/${row.tokenIntervalMsP999}` },
  { title: 'first token ms p50/p95/p99', format: row => `${row.firstTokenMsP50}/${row.firstTokenMsP95}/${row.firstTokenMsP99}` },
  { title: 'high first p99', format: row => `${row.highFirstTokenMsP99}` },
  { title: 'goodput (a s)', format: row => `${row.goodput} (${row.goodputPerSecond})` },
  { title: 'notRun', format: row => `${row.notRun}` },
  { title: 'broken', format: row => `${row.broken}` },
  { title: 'worst ws (steady)', format: row => `${row.worstWorkspaceGoodput} (${row.worstSteadyWorkspaceGoodput})` },
  { title: 'credits/s', format: row => `${row.creditRequestsPerSecond}` }
]

/**
 * Formats the measurement of a scenario as a table with one row per policy.
 * @param measurement - The measurement.
 */
export function formatMeasurement (measurement: ScenarioMeasurement): string {
  const table = [COLUMNS.map(({ title }) => title), ...measurement.rows.map(row => COLUMNS.map(({ format }) => format(row)))]
  const widths = COLUMNS.map((_, index) => Math.max(...table.map(cells => cells[index]?.length ?? 0)))
  const lines = table.map(cells => cells.map((cell, index) => cell.padEnd(widths[index] ?? 0)).join('  ').trimEnd())
  return [`${measurement.scenario}, seed ${measurement.seed}, ${measurement.rows[0]?.offered ?? 0} requests`, ...lines, ''].join('\n')
}
