import { type Clock } from '../clock/Clock.js'
import { type Logger } from '../logging/createLogger.js'
import { type MetricsRegistry } from '../metrics/index.js'
import { BufferBudget, type EndedBuffer } from './BufferBudget.js'

/** Options of a buffer budget that logs and counts what it ends. */
export interface LoggedBufferBudgetOptions {
  readonly clock: Clock
  readonly logger: Logger
  readonly metrics: MetricsRegistry
  /** Maximum number of bytes; by default a share of the memory of the machine. */
  readonly maxBytes?: number
}

/** Minimum time between two log lines, in milliseconds. */
const MIN_LINE_INTERVAL_MS = 1000

/**
 * Creates the buffer budget of a process, which counts what it ends and logs it, in one line for all that ended since the line before.
 * @param options - Options of the budget.
 */
export function createBufferBudget ({ clock, logger, metrics, maxBytes }: LoggedBufferBudgetOptions): BufferBudget {
  let lastLineAtMs = -Infinity
  let unloggedCount = 0
  const handleEnd = (ended: EndedBuffer): void => {
    metrics.getCounter('endedBuffers', { kind: ended.kind }).add()
    unloggedCount++
    if (clock.nowMs() - lastLineAtMs < MIN_LINE_INTERVAL_MS) return
    logger.warn({ ...ended, count: unloggedCount }, 'connection closed, too many bytes buffered')
    lastLineAtMs = clock.nowMs()
    unloggedCount = 0
  }
  return BufferBudget.create({ maxBytes, nowMs: () => clock.nowMs(), handleEnd })
}
