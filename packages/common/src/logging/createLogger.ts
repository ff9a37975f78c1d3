import { pino, type Logger } from 'pino'

export type { Logger } from 'pino'

/** Options of a logger. */
export interface LoggerOptions {
  /** Name of the instance. */
  readonly instance: string
  /** Lowest level that is written. */
  readonly level?: 'debug' | 'info' | 'warn' | 'error' | 'silent'
  /** Whether lines are written in the background, so that a reader that is slow never holds the process up. */
  readonly isBackground?: boolean
  /** Called with each line that was dropped because too much waits to be written. */
  readonly onDrop?: (line: string) => void
}

/** Bytes that may wait to be written in the background; lines beyond them are dropped. */
const MAX_WAITING_BYTES = 1024 * 1024

/**
 * Creates a logger that writes lines of JSON to standard output.
 * @param options - Options of the logger.
 */
export function createLogger (options: LoggerOptions): Logger {
  const settings = { level: options.level ?? 'info', base: { instance: options.instance } }
  if (options.isBackground !== true) return pino(settings)
  const destination = pino.destination({ dest: 1, sync: false, maxLength: MAX_WAITING_BYTES })
  if (options.onDrop !== undefined) destination.on('drop', options.onDrop)
  return pino(settings, destination)
}
