import { execFile } from 'node:child_process'
import { mkdtemp, readdir, readFile, rm } from 'node:fs/promises'
import { createRequire } from 'node:module'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { fileURLToPath } from 'node:url'
import { promisify } from 'node:util'
import { parseItf } from './parseItf.js'

/** Options of running a specification. */
export interface QuintOptions {
  /** Name of the specification's file, without its ending. */
  readonly name: string
  readonly invariants: readonly string[]
  readonly seed: number
  readonly samples: number
  readonly steps: number
  /** Number of traces to return. */
  readonly traces: number
}

/** What a run of a specification gave. */
export interface QuintRun {
  readonly passed: boolean
  /** What the simulator printed. */
  readonly output: string
  /** States of each returned trace. */
  readonly traces: ReadonlyArray<readonly unknown[]>
}

const SPECIFICATIONS = fileURLToPath(new URL('../../spec/', import.meta.url))

/**
 * Runs random traces of a specification with the Quint simulator and checks its invariants.
 * @param options - What to run.
 */
export async function runQuint (options: QuintOptions): Promise<QuintRun> {
  const folder = await mkdtemp(join(tmpdir(), 'fescuespoke-model-'))
  try {
    const { passed, output } = await startSimulator(options, folder)
    const files = (await readdir(folder)).sort()
    const traces = await Promise.all(files.map(async file => parseItf(await readFile(join(folder, file), 'utf8'))))
    return { passed, output, traces }
  } finally {
    await rm(folder, { recursive: true })
  }
}

async function startSimulator (options: QuintOptions, folder: string): Promise<Pick<QuintRun, 'passed' | 'output'>> {
  const { name, invariants, seed, samples, steps, traces } = options
  const program = createRequire(import.meta.url).resolve('@informalsystems/quint/dist/src/cli.js')
  const settings = { seed, 'max-samples': samples, 'max-steps': steps, 'n-traces': traces, 'out-itf': join(folder, '{seq}.json') }
  const flags = Object.entries(settings).map(([flag, value]) => `--${flag}=${value}`)
  const file = join(SPECIFICATIONS, `${name}.qnt`)
  const run = promisify(execFile)
  try {
    const { stdout } = await run(process.execPath, [program, 'run', file, '--backend=typescript', '--verbosity=1', ...flags, '--invariants', ...invariants])
    return { passed: true, output: stdout }
  } catch (error) {
    const { stdout = '', stderr = '' } = error as { stdout?: string, stderr?: string }
    return { passed: false, output: `${stdout}${stderr}` }
  }
}
