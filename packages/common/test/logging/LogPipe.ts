import { execFileSync } from 'node:child_process'
import { closeSync, constants, mkdtempSync, openSync, readSync, rmSync, writeSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'

/** Size of the reads, which is that of a pipe, and of the writes that fill it. */
const READ_BYTES = 64 * 1024
const FILL_BYTES = 4096

/** A pipe for the log of a process, both ends of which are open here. */
export class LogPipe {
  /** Creates a pipe. */
  static create (): LogPipe {
    const folder = mkdtempSync(join(tmpdir(), 'pipe-'))
    execFileSync('mkfifo', [join(folder, 'pipe')])
    return new LogPipe(folder)
  }

  /** Descriptor to which the process writes. */
  readonly writer: number
  private reader: number | undefined

  private constructor (private readonly folder: string) {
    this.reader = openSync(join(folder, 'pipe'), constants.O_RDONLY | constants.O_NONBLOCK)
    this.writer = openSync(join(folder, 'pipe'), constants.O_WRONLY)
  }

  /** Fills the pipe, so that it takes nothing more until it is read. */
  fill (): void {
    const descriptor = openSync(join(this.folder, 'pipe'), constants.O_WRONLY | constants.O_NONBLOCK)
    const line = Buffer.from(`${'{}'.padEnd(FILL_BYTES - 1)}\n`)
    try {
      while (true) writeSync(descriptor, line)
    } catch (error) {
      if ((error as NodeJS.ErrnoException).code !== 'EAGAIN') throw error
    } finally {
      closeSync(descriptor)
    }
  }

  /**
   * Reads what the pipe holds.
   * @param maxBytes - Maximum number of bytes.
   */
  read (maxBytes = READ_BYTES): string {
    if (this.reader === undefined) return ''
    const buffer = Buffer.alloc(maxBytes)
    try {
      return buffer.toString('utf8', 0, readSync(this.reader, buffer))
    } catch (error) {
      if ((error as NodeJS.ErrnoException).code === 'EAGAIN') return ''
      throw error
    }
  }

  /** Closes the end that is read. */
  closeReader (): void {
    if (this.reader !== undefined) closeSync(this.reader)
    this.reader = undefined
  }

  /** Closes and removes the pipe. */
  close (): void {
    this.closeReader()
    closeSync(this.writer)
    rmSync(this.folder, { recursive: true, force: true })
  }
}
