import { renderUsage, runCommand } from 'citty'
import { type CliContext } from './CliContext.js'
import { WrongUseError } from './commands/connection.js'
import { createCommand } from './createCommand.js'
import { type ExitStatus } from './ExitStatus.js'

/** Options that ask for help. */
const HELP_OPTIONS: ReadonlySet<string> = new Set(['--help', '-h'])

/** Name of the errors of the command line parser. */
const PARSER_ERROR_NAME = 'CLIError'

/**
 * Runs the command line.
 * @param rawArgs - Arguments after the name of the program.
 * @param context - What commands work with.
 */
export async function runCli (rawArgs: readonly string[], context: CliContext): Promise<ExitStatus> {
  let status: ExitStatus = 'ok'
  const command = createCommand(context, received => { status = received })
  const wantsHelp = rawArgs.length === 0 || rawArgs.some(arg => HELP_OPTIONS.has(arg))
  if (wantsHelp) {
    context.print(await formatHelp(command, rawArgs))
    return rawArgs.length === 0 ? 'wrongUse' : 'ok'
  }
  try {
    await runCommand(command, { rawArgs: [...rawArgs] })
    return status
  } catch (error) {
    if (!isWrongUse(error)) throw error
    context.printError(error.message)
    context.printError('fescuespoke --help lists commands and options')
    return 'wrongUse'
  }
}

async function formatHelp (command: ReturnType<typeof createCommand>, rawArgs: readonly string[]): Promise<string> {
  const subCommands = command.subCommands as Record<string, ReturnType<typeof createCommand>>
  const subCommand = subCommands[rawArgs[0] ?? '']
  const usage = subCommand === undefined ? await renderUsage(command) : await renderUsage(subCommand, command)
  return usage.split('\n').map(line => line.trimEnd()).join('\n')
}

function isWrongUse (error: unknown): error is Error {
  return error instanceof WrongUseError || (error instanceof Error && error.name === PARSER_ERROR_NAME)
}
