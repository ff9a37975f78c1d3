import { execFileSync, spawn } from 'node:child_process'
import { closeSync, mkdtempSync, openSync, readFileSync, rmSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { fileURLToPath } from 'node:url'
import { afterEach, beforeEach, describe, expect, it } from 'vitest'
import { LogPipe } from './LogPipe.js'

const PROGRAM = fileURLToPath(new URL('writeLines.mjs', import.meta.url))

/** Time after which a process that does not end is killed, in milliseconds. */
const KILL_AFTER_MS = 10_000

/** Number of lines that exceed the buffer of a pipe, and number of those that do not. */
const MANY_LINES = 4000
const FEW_LINES = 10

/** Size and interval of the reads of a slow reader, in milliseconds. */
const SLOW_READ_BYTES = 8192
const SLOW_INTERVAL_MS = 5

interface LogOptions {
  readonly output: number | 'pipe'
  readonly lineCount?: number
  readonly exit?: 'exit' | 'end'
}

let folder: string
beforeEach(() => { folder = mkdtempSync(join(tmpdir(), 'log-')) })
afterEach(() => { rmSync(folder, { recursive: true, force: true }) })

/** Runs a process that writes lines and exits, and returns how it ended, with what it wrote to the error output. */
async function writeLines ({ output, lineCount = MANY_LINES, exit = 'exit' }: LogOptions): Promise<string> {
  const child = spawn(process.execPath, [PROGRAM, `${lineCount}`, exit], { stdio: ['ignore', output, 'pipe'] })
  let errors = ''
  child.stderr!.on('data', (chunk: Buffer) => { errors += chunk.toString() })
  const killTimer = setTimeout(() => child.kill('SIGKILL'), KILL_AFTER_MS)
  const ended = await new Promise<string>(resolve => { child.once('exit', (status, signal) => resolve(`${status ?? signal}`)) })
  clearTimeout(killTimer)
  child.stdout?.destroy()
  return `${ended}, ${errors.trim()}`
}

/** Describes the lines that were read: how many there are, whether each is whole, and whether the last one is among them. */
function describeLines (text: string): string {
  const isWhole = text.endsWith('\n') && text.trimEnd().split('\n').every(isJson)
  return `${isWhole ? 'whole lines' : 'half a line'}, ${text.includes('"last line"') ? 'with' : 'without'} the last one`
}

function isJson (line: string): boolean {
  try {
    return typeof JSON.parse(line) === 'object'
  } catch {
    return false
  }
}

/** Guards against LOST: a process whose log was not read ran until SIGKILL, with its last lines unwritten. */
describe('a logger', () => {
  it('lets a process exit whose pipe nobody reads, with no line cut', async () => {
    const pipe = LogPipe.create()
    const ended = await writeLines({ output: pipe.writer })
    expect([ended, describeLines(pipe.read())]).toMatchInlineSnapshot(`
      [
        "0, all lines logged",
        "whole lines, without the last one",
      ]
    `)
    pipe.close()
  })

  it('lets a process end that does not call exit while nobody reads its pipe', async () => {
    const pipe = LogPipe.create()
    const ended = await writeLines({ output: pipe.writer, exit: 'end' })
    expect([ended, describeLines(pipe.read())]).toMatchInlineSnapshot(`
      [
        "0, all lines logged",
        "whole lines, without the last one",
      ]
    `)
    pipe.close()
  })

  it('lets a process exit whose pipe is read slowly, with the lines of failures before the others', async () => {
    const pipe = LogPipe.create()
    let text = ''
    const slowReader = setInterval(() => { text += pipe.read(SLOW_READ_BYTES) }, SLOW_INTERVAL_MS)
    const ended = await writeLines({ output: pipe.writer })
    clearInterval(slowReader)
    expect([ended, describeLines(text + pipe.read())]).toMatchInlineSnapshot(`
      [
        "0, all lines logged",
        "whole lines, with the last one",
      ]
    `)
    pipe.close()
  })

  it('writes the last lines of a process to a reader that reads', async () => {
    const pipe = LogPipe.create()
    const ended = await writeLines({ output: pipe.writer, lineCount: FEW_LINES })
    expect([ended, describeLines(pipe.read())]).toMatchInlineSnapshot(`
      [
        "0, all lines logged",
        "whole lines, with the last one",
      ]
    `)
    pipe.close()
  })

  it('lets a process exit whose reader has closed the pipe', async () => {
    const pipe = LogPipe.create()
    pipe.closeReader()
    expect(await writeLines({ output: pipe.writer })).toMatchInlineSnapshot('"0, all lines logged"')
    pipe.close()
  })

  it('lets a process exit whose socket nobody reads', async () => {
    expect(await writeLines({ output: 'pipe' })).toMatchInlineSnapshot('"0, all lines logged"')
  })

  it('writes all lines to a file', async () => {
    const path = join(folder, 'log')
    const file = openSync(path, 'w')
    const ended = await writeLines({ output: file })
    closeSync(file)
    const text = readFileSync(path, 'utf8')
    expect([ended, describeLines(text), text.split('\n').length]).toMatchInlineSnapshot(`
      [
        "0, all lines logged",
        "whole lines, with the last one",
        4002,
      ]
    `)
  })

  it('lets a process exit whose output is a full device', async () => {
    const device = openSync('/dev/full', 'w')
    expect(await writeLines({ output: device })).toMatchInlineSnapshot('"0, all lines logged"')
    closeSync(device)
  })

  it('lets a process exit whose output was closed before its start', () => {
    const output = execFileSync('sh', ['-c', 'exec "$0" "$1" 4000 exit 2>&1 >&-', process.execPath, PROGRAM], { encoding: 'utf8' })
    expect(output).toMatchInlineSnapshot(`
      "all lines logged
      "
    `)
  })
})
