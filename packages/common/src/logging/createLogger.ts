import { pino, type Logger } from 'pino'
import { StandardOutput } from './StandardOutput.js'
import { LogWriter } from './LogWriter.js'

export type { Logger } from 'pino'

/** Options of a logger. */
export interface LoggerOptions {
  /** Name of the instance. */
  readonly instance: string
  /** Lowest level that is logged; by default `info`. */
  readonly level?: 'debug' | 'info' | 'warn' | 'error' | 'silent'
  /** Called for each line that was dropped because the reader of the output was too far behind, or had closed it. */
  readonly onDrop?: () => void
}

/**
 * Creates a logger that writes JSON lines to standard output, and never waits for its reader.
 * @param options - Options of the logger.
 */
export function createLogger ({ instance, level = 'info', onDrop }: LoggerOptions): Logger {
  const settings = { level, base: { instance } }
  if (level === 'silent') return pino(settings)
  return pino(settings, LogWriter.create({ output: StandardOutput.open(), onDrop }))
}
