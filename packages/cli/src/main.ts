#!/usr/bin/env node
import { SystemClock } from '@fescuespoke/common'
import { Agent } from 'undici'
import { EXIT_STATUSES } from './ExitStatus.js'
import { runCli } from './runCli.js'

const interruption = new AbortController()
process.once('SIGINT', () => interruption.abort())

// A reader that stops early, such as head, is no error.
process.stdout.on('error', () => process.exit(EXIT_STATUSES.ok))

const dispatcher = new Agent()
const status = await runCli(process.argv.slice(2), {
  print: line => { process.stdout.write(`${line}\n`) },
  printError: line => { process.stderr.write(`${line}\n`) },
  clock: SystemClock.create(),
  dispatcher,
  signal: interruption.signal
})
await dispatcher.destroy()
process.exitCode = EXIT_STATUSES[status]
