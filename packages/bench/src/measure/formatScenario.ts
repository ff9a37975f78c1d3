import { type MeasuredRow } from './AnswerStatistics.js'
import { type MeasuredScenario } from './measureScenario.js'

interface Column {
  readonly title: string
  readonly read: (row: MeasuredRow) => string
}

const COLUMNS: readonly Column[] = [
  { title: 'policy', read: row => row.policy },
  { title: 'stall ms total/p50/p99', read: row => `${row.stallMsTotal}/${row.stallMsP50}/${row.stallMsP99}` },
  { title: 'preempt/1000 (high)', read: row => `${row.preemptionsPerThousand} (${row.highPriorityPreemptions})` },
  { title: 'interval ms p50/p95/p99/p99.9', read: row => `${row.tokenIntervalMsP50}/${row.tokenIntervalMsP95}/${row.tokenIntervalMsP99}/${row.tokenIntervalMsP999}` },
  { title: 'first token ms p50/p95/p99', read: row => `${row.firstTokenMsP50}/${row.firstTokenMsP95}/${row.firstTokenMsP99}` },
  { title: 'high first p99', read: row => `${row.highFirstTokenMsP99}` },
  { title: 'goodput (a s)', read: row => `${row.goodput} (${row.goodputPerSecond})` },
  { title: 'notRun', read: row => `${row.notRun}` },
  { title: 'broken', read: row => `${row.broken}` },
  { title: 'worst ws (steady)', read: row => `${row.worstWorkspaceGoodput} (${row.worstSteadyWorkspaceGoodput})` },
  { title: 'credits/s', read: row => `${row.creditRequestsPerSecond}` }
]

/**
 * Formats the rows of a scenario as a table.
 * @param measured - The rows.
 */
export function formatScenario (measured: MeasuredScenario): string {
  const table = [COLUMNS.map(({ title }) => title), ...measured.rows.map(row => COLUMNS.map(({ read }) => read(row)))]
  const widths = COLUMNS.map((_, index) => Math.max(...table.map(cells => cells[index]?.length ?? 0)))
  const lines = table.map(cells => cells.map((cell, index) => cell.padEnd(widths[index] ?? 0)).join('  ').trimEnd())
  return [`${measured.scenario}, seed ${measured.seed}, ${measured.rows[0]?.offered ?? 0} requests`, ...lines, ''].join('\n')
}
