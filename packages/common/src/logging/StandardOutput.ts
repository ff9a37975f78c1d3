import { constants, fstatSync, openSync, writeSync } from 'node:fs'

/** What became of a write: the number of bytes written, none because the reader is behind, or an error. */
export type LogWriteResult = number | 'full' | 'failed'

/** Where log lines go. */
export interface LogOutput {
  /**
   * Writes as many bytes as are taken at once.
   * @param bytes - Bytes to write.
   */
  write (bytes: Uint8Array): LogWriteResult
}

const STANDARD_OUTPUT = 1

/** Path through which standard output can be opened again, with flags that hold for this process only. */
const STANDARD_OUTPUT_PATH = '/proc/self/fd/1'

/** Codes of errors after which a write may succeed later. */
const FULL_CODES: ReadonlySet<string | undefined> = new Set(['EAGAIN', 'EWOULDBLOCK', 'EBUSY'])

/** Standard output, to which this process writes without waiting for its reader. */
export class StandardOutput implements LogOutput {
  /** Opens standard output. */
  static open (): StandardOutput {
    return new StandardOutput(openWithoutBlocking())
  }

  /** @internal */
  private constructor (private readonly descriptor: number) {}

  /** @inheritdoc */
  write (bytes: Uint8Array): LogWriteResult {
    try {
      return writeSync(this.descriptor, bytes)
    } catch (error) {
      return FULL_CODES.has((error as NodeJS.ErrnoException).code) ? 'full' : 'failed'
    }
  }
}

/** Opens standard output so that writes do not block, and returns its descriptor. */
function openWithoutBlocking (): number {
  const stats = fstatSync(STANDARD_OUTPUT)
  // Writes to a file do not wait for a reader, and its position is shared with other processes.
  if (stats.isFile()) return STANDARD_OUTPUT
  try {
    return openSync(STANDARD_OUTPUT_PATH, constants.O_WRONLY | constants.O_NONBLOCK | constants.O_NOCTTY)
  } catch {
    // Sockets can't be opened again. The stream of Node.js sets them to not block.
    return (process.stdout as typeof process.stdout & { fd?: number }).fd ?? STANDARD_OUTPUT
  }
}
