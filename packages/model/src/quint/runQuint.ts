import { execFile } from 'node:child_process'
import { mkdtemp, readdir, readFile, rm } from 'node:fs/promises'
import { createRequire } from 'node:module'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { fileURLToPath } from 'node:url'
import { promisify } from 'node:util'
import { parseItf } from './parseItf.js'

/** Options of {@link runQuint}. */
export interface QuintOptions {
  /** Name of the specification's file, without its extension. */
  readonly name: string
  readonly invariants: readonly string[]
  readonly seed: number
  readonly maxSamples: number
  readonly maxSteps: number
  /** Maximum number of traces to return. */
  readonly traceCount: number
}

/** Result of simulating a specification. */
export interface QuintRun {
  readonly passed: boolean
  /** Output of the simulator. */
  readonly output: string
  /** States of each returned trace. */
  readonly traces: ReadonlyArray<readonly unknown[]>
}

const SPECIFICATION_DIRECTORY = fileURLToPath(new URL('../../spec/', import.meta.url))

/**
 * Simulates random traces of a specification with the Quint simulator and checks its invariants.
 * @param options - The specification, its invariants and the limits of the simulation.
 */
export async function runQuint (options: QuintOptions): Promise<QuintRun> {
  const traceDirectory = await mkdtemp(join(tmpdir(), 'fescuespoke-model-'))
  try {
    const { passed, output } = await runSimulator(options, traceDirectory)
    const files = (await readdir(traceDirectory)).sort()
    const traces = await Promise.all(files.map(async file => parseItf(await readFile(join(traceDirectory, file), 'utf8'))))
    return { passed, output, traces }
  } finally {
    await rm(traceDirectory, { recursive: true })
  }
}

async function runSimulator (options: QuintOptions, traceDirectory: string): Promise<Pick<QuintRun, 'passed' | 'output'>> {
  const { name, invariants, seed, maxSamples, maxSteps, traceCount } = options
  const cliPath = createRequire(import.meta.url).resolve('@informalsystems/quint/dist/src/cli.js')
  const flagValues = { seed, 'max-samples': maxSamples, 'max-steps': maxSteps, 'n-traces': traceCount, 'out-itf': join(traceDirectory, '{seq}.json') }
  const flags = Object.entries(flagValues).map(([flag, value]) => `--${flag}=${value}`)
  const file = join(SPECIFICATION_DIRECTORY, `${name}.qnt`)
  const executeFile = promisify(execFile)
  try {
    const { stdout } = await executeFile(process.execPath, [cliPath, 'run', file, '--backend=typescript', '--verbosity=1', ...flags, '--invariants', ...invariants])
    return { passed: true, output: stdout }
  } catch (error) {
    const { stdout = '', stderr = '' } = error as { stdout?: string, stderr?: string }
    return { passed: false, output: `${stdout}${stderr}` }
  }
}
