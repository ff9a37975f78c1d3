import { pino, type Logger } from 'pino'

export type { Logger } from 'pino'

/** Options of a logger. */
export interface LoggerOptions {
  /** Name of the instance. */
  readonly instance: string
  /** Lowest level that is logged; by default `info`. */
  readonly level?: 'debug' | 'info' | 'warn' | 'error' | 'silent'
  /** Whether lines are written asynchronously, so that a slow reader of the output never blocks the process. */
  readonly isAsync?: boolean
  /** Called with each line that was dropped because the buffer was full; only for asynchronous writing. */
  readonly onDrop?: (line: string) => void
}

/** Size of the buffer for asynchronous writing. Lines that do not fit are dropped. */
const MAX_BUFFERED_BYTES = 1024 * 1024

/**
 * Creates a logger that writes JSON lines to standard output.
 * @param options - Options of the logger.
 */
export function createLogger (options: LoggerOptions): Logger {
  const settings = { level: options.level ?? 'info', base: { instance: options.instance } }
  if (options.isAsync !== true) return pino(settings)
  const destination = pino.destination({ dest: 1, sync: false, maxLength: MAX_BUFFERED_BYTES })
  if (options.onDrop !== undefined) destination.on('drop', options.onDrop)
  return pino(settings, destination)
}
