import { renderUsage, runCommand } from 'citty'
import { type CliContext } from './CliContext.js'
import { UsageError } from './commands/connectionOptions.js'
import { createCommand } from './createCommand.js'
import { type ExitStatus } from './ExitStatus.js'

/** Options that print the help text. */
const HELP_OPTIONS: ReadonlySet<string> = new Set(['--help', '-h'])

/** Value of `name` on errors thrown by the command line parser. */
const PARSER_ERROR_NAME = 'CLIError'

/**
 * Runs the command line.
 * @param rawArgs - Command line arguments without the program name.
 * @param context - Dependencies of the commands.
 */
export async function runCli (rawArgs: readonly string[], context: CliContext): Promise<ExitStatus> {
  let status: ExitStatus = 'ok'
  const command = createCommand(context, newStatus => { status = newStatus })
  const isHelpRequested = rawArgs.length === 0 || rawArgs.some(arg => HELP_OPTIONS.has(arg))
  if (isHelpRequested) {
    context.print(await formatHelp(command, rawArgs))
    return rawArgs.length === 0 ? 'usageError' : 'ok'
  }
  try {
    await runCommand(command, { rawArgs: [...rawArgs] })
    return status
  } catch (error) {
    if (!isUsageError(error)) throw error
    context.printError(error.message)
    context.printError('fescuespoke --help lists commands and options')
    return 'usageError'
  }
}

async function formatHelp (command: ReturnType<typeof createCommand>, rawArgs: readonly string[]): Promise<string> {
  const subCommands = command.subCommands as Record<string, ReturnType<typeof createCommand>>
  const subCommand = subCommands[rawArgs[0] ?? '']
  const usage = subCommand === undefined ? await renderUsage(command) : await renderUsage(subCommand, command)
  return usage.split('\n').map(line => line.trimEnd()).join('\n')
}

function isUsageError (error: unknown): error is Error {
  return error instanceof UsageError || (error instanceof Error && error.name === PARSER_ERROR_NAME)
}
