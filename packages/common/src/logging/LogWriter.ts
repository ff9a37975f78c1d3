import { symbols } from 'pino'
import { type LogOutput } from './StandardOutput.js'
import { shortenLine } from './shortenLine.js'

/** Options of a log writer. */
export interface LogWriterOptions {
  readonly output: LogOutput
  /** Called for each line that was dropped, because the buffer was full or the output failed. */
  readonly onDrop?: () => void
}

/** Lines that wait for the reader: first those from `warn` on, then the others. */
type LineQueue = 'urgent' | 'ordinary'

/** Maximum size of the lines that wait for the reader. */
const MAX_BUFFERED_BYTES = 1024 * 1024

/** Maximum size of a line. A pipe takes so many bytes as a whole or not at all, so that no line is cut or mixed with those of others. */
export const MAX_LINE_BYTES = 4096

/** Number of the lowest level of urgent lines. */
const WARN_LEVEL = 40

/** Interval at which lines are written to a reader that is behind, in milliseconds. */
const RETRY_INTERVAL_MS = 20

/** Maximum time for which the exit waits for a reader that is behind, and interval of the attempts, in milliseconds. */
const EXIT_FLUSH_MS = 50
const EXIT_RETRY_INTERVAL_MS = 2

/** Writes log lines without waiting for their reader; a destination of pino. */
export class LogWriter {
  /**
   * Creates a writer that writes its last lines when the process exits.
   * @param options - Options of the writer.
   */
  static create (options: LogWriterOptions): LogWriter {
    const writer = new LogWriter(options)
    process.once('exit', () => writer.finish())
    return writer
  }

  /** Asks pino for the level of each line. */
  readonly [symbols.needsMetadataGsym] = true
  /** Number of the level of the line that is written next; set by pino. */
  lastLevel = 0
  private readonly queues: Record<LineQueue, Buffer[]> = { urgent: [], ordinary: [] }
  /** Rest of a line that the output took in part, which goes before all others. */
  private rest: Buffer = Buffer.alloc(0)
  private bufferedBytes = 0
  private retryTimer: NodeJS.Timeout | undefined

  /** @internal */
  private constructor (private readonly options: LogWriterOptions) {}

  /**
   * Writes a line, or keeps it until the reader takes it.
   * @param line - The line.
   */
  write (line: string): void {
    const bytes = Buffer.from(shortenLine(line, MAX_LINE_BYTES))
    const queue = this.lastLevel >= WARN_LEVEL ? 'urgent' : 'ordinary'
    if (!this.makeRoom(queue, bytes.length)) return this.options.onDrop?.()
    this.queues[queue].push(bytes)
    this.bufferedBytes += bytes.length
    if (this.retryTimer === undefined) this.flush()
  }

  /** Writes the lines that are kept, as far as the reader takes them in a short time; blocks for that time. */
  finish (): void {
    clearTimeout(this.retryTimer)
    this.retryTimer = undefined
    const cell = new Int32Array(new SharedArrayBuffer(Int32Array.BYTES_PER_ELEMENT))
    const endAtMs = performance.now() + EXIT_FLUSH_MS
    while (!this.writeLines() && performance.now() < endAtMs) Atomics.wait(cell, 0, 0, EXIT_RETRY_INTERVAL_MS)
  }

  private flush (): void {
    this.retryTimer = undefined
    if (!this.writeLines()) this.retryTimer = setTimeout(() => this.flush(), RETRY_INTERVAL_MS).unref()
  }

  /** Drops lines until one more fits: none for an ordinary line; for an urgent one the newest ordinary lines, then the oldest urgent ones. */
  private makeRoom (queue: LineQueue, byteCount: number): boolean {
    const { urgent, ordinary } = this.queues
    while (this.bufferedBytes + byteCount > MAX_BUFFERED_BYTES) {
      const dropped = queue === 'urgent' ? ordinary.pop() ?? urgent.shift() : undefined
      if (dropped === undefined) return false
      this.bufferedBytes -= dropped.length
      this.options.onDrop?.()
    }
    return true
  }

  /** Writes lines until the output is full; returns whether none is left. */
  private writeLines (): boolean {
    if (!this.writeRest()) return false
    for (const queue of [this.queues.urgent, this.queues.ordinary]) {
      while (queue.length > 0) if (!this.writeFirst(queue)) return false
    }
    return true
  }

  /** Writes the first line of a queue; returns whether the output may take another one. A line is dropped if the output fails. */
  private writeFirst (queue: Buffer[]): boolean {
    const line = queue[0]!
    const result = this.options.output.write(line)
    if (result === 'full') return false
    queue.shift()
    this.bufferedBytes -= line.length
    if (result === 'failed') this.options.onDrop?.()
    else this.rest = line.subarray(result)
    return this.writeRest()
  }

  private writeRest (): boolean {
    while (this.rest.length > 0) {
      const result = this.options.output.write(this.rest)
      if (result === 'full') return false
      if (result === 'failed') this.options.onDrop?.()
      this.rest = result === 'failed' ? Buffer.alloc(0) : this.rest.subarray(result)
    }
    return true
  }
}
