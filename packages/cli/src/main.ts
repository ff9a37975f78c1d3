#!/usr/bin/env node
import { SystemClock } from '@fescuespoke/common'
import { Agent } from 'undici'
import { EXIT_STATUSES } from './ExitStatus.js'
import { runCli } from './runCli.js'

const interruptController = new AbortController()
process.once('SIGINT', () => interruptController.abort())

// A closed pipe is not an error: readers such as `head` may exit before all output is written.
process.stdout.on('error', () => process.exit(EXIT_STATUSES.ok))

const dispatcher = new Agent()
const status = await runCli(process.argv.slice(2), {
  print: line => { process.stdout.write(`${line}\n`) },
  printError: line => { process.stderr.write(`${line}\n`) },
  clock: SystemClock.create(),
  dispatcher,
  signal: interruptController.signal
})
await dispatcher.destroy()
process.exitCode = EXIT_STATUSES[status]
