import { type Clock, SystemClock } from '@fescuespoke/common'
import { Agent } from 'undici'
import { EXIT_STATUSES, runCli } from '../../src/index.js'
import { FakeOperator } from './FakeOperator.js'

export interface CliTest {
  readonly fakes: readonly FakeOperator[]
  /** Ends a command that follows changes. */
  readonly interrupt: () => void
}

export interface CliTestOptions {
  readonly fakes?: number
  readonly clock?: Clock
  readonly prepare?: (test: CliTest) => void | Promise<void>
  /** Gets the arguments; `$0` and `$1` stand for the URLs of the fakes. */
  readonly args: readonly string[]
}

/** Runs the command line against fakes and returns what it printed, errors marked, and its exit status. */
export async function doCliTest (options: CliTestOptions): Promise<string> {
  const fakes = await Promise.all(Array.from({ length: options.fakes ?? 1 }, async () => await FakeOperator.start()))
  const dispatcher = new Agent()
  const interruption = new AbortController()
  const lines: string[] = []
  const hideUrls = (line: string): string => fakes.reduce((text, { url }, index) =>
    text.replaceAll(url, `$${index}`).replaceAll(url.slice('http://'.length), `$${index}`), line)
  try {
    await options.prepare?.({ fakes, interrupt: () => interruption.abort() })
    const status = await runCli(options.args.map(arg => arg.replace(/\$(\d)/g, (_, index) => fakes[Number(index)]?.url ?? '')), {
      print: line => { lines.push(line) },
      printError: line => { lines.push(`error: ${line}`) },
      clock: options.clock ?? SystemClock.create(),
      dispatcher,
      signal: interruption.signal
    })
    return [...lines.map(hideUrls), `exit ${EXIT_STATUSES[status]}`].join('\n')
  } finally {
    await dispatcher.destroy()
    await Promise.all(fakes.map(async fake => await fake.stop()))
  }
}
