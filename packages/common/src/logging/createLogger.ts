import { pino, type Logger } from 'pino'

export type { Logger } from 'pino'

/** Options of a logger. */
export interface LoggerOptions {
  /** Name of the instance. */
  readonly instance: string
  /** Lowest level that is written. */
  readonly level?: 'debug' | 'info' | 'warn' | 'error' | 'silent'
}

/**
 * Creates a logger that writes lines of JSON to standard output.
 * @param options - Options of the logger.
 */
export function createLogger (options: LoggerOptions): Logger {
  return pino({ level: options.level ?? 'info', base: { instance: options.instance } })
}
