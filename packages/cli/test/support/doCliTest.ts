import { type Clock, SystemClock } from '@fescuespoke/common'
import { Agent } from 'undici'
import { EXIT_STATUSES, runCli } from '../../src/index.js'
import { FakeOperatorServer } from './FakeOperatorServer.js'

export interface CliTestContext {
  readonly fakes: readonly FakeOperatorServer[]
  /** Interrupts a command that follows changes. */
  readonly interrupt: () => void
}

export interface CliTestOptions {
  readonly fakeCount?: number
  readonly clock?: Clock
  readonly prepare?: (testContext: CliTestContext) => void | Promise<void>
  /** Command line arguments, in which `$0` and `$1` are replaced by the URLs of the fakes. */
  readonly args: readonly string[]
}

/** Runs the command line against fake operator servers. Returns the printed lines, with errors marked, and the exit status. */
export async function doCliTest (options: CliTestOptions): Promise<string> {
  const fakes = await Promise.all(Array.from({ length: options.fakeCount ?? 1 }, async () => await FakeOperatorServer.start()))
  const dispatcher = new Agent()
  const interruptController = new AbortController()
  const lines: string[] = []
  const replaceUrls = (line: string): string => fakes.reduce((text, { url }, index) =>
    text.replaceAll(url, `$${index}`).replaceAll(url.slice('http://'.length), `$${index}`), line)
  try {
    await options.prepare?.({ fakes, interrupt: () => interruptController.abort() })
    const status = await runCli(options.args.map(arg => arg.replace(/\$(\d)/g, (_, index) => fakes[Number(index)]?.url ?? '')), {
      print: line => { lines.push(line) },
      printError: line => { lines.push(`error: ${line}`) },
      clock: options.clock ?? SystemClock.create(),
      dispatcher,
      signal: interruptController.signal
    })
    return [...lines.map(replaceUrls), `exit ${EXIT_STATUSES[status]}`].join('\n')
  } finally {
    await dispatcher.destroy()
    await Promise.all(fakes.map(async fake => await fake.stop()))
  }
}
