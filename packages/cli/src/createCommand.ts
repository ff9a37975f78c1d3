import { type ArgsDef, type CommandContext, type CommandDef, defineCommand, type ParsedArgs } from 'citty'
import { type CliContext } from './CliContext.js'
import { checkRecordFiles } from './commands/checkRecordFiles.js'
import { CONNECTION_ARGS, WrongUseError } from './commands/connection.js'
import { explainRequest } from './commands/explainRequest.js'
import { showAudit } from './commands/showAudit.js'
import { showMetrics } from './commands/showMetrics.js'
import { showStatus } from './commands/showStatus.js'
import { type ExitStatus } from './ExitStatus.js'

/** Receives the exit status of the command that ran. */
export type StatusReceiver = (status: ExitStatus) => void

const FLEET_ARG = {
  fleet: { type: 'string', description: 'Base URLs of the operator interfaces of some instances, with commas; all their members are asked', valueHint: 'urls' }
} as const

/**
 * Creates the command with all its subcommands. None of them changes anything.
 * @param context - What commands work with.
 * @param receiveStatus - Receives the exit status.
 */
export function createCommand (context: CliContext, receiveStatus: StatusReceiver): CommandDef {
  const createSubCommand = <const T extends ArgsDef>(
    name: string, description: string, args: T, run: (args: ParsedArgs<T>) => Promise<ExitStatus>
  ): CommandDef<T> => defineCommand({
      meta: { name, description },
      args,
      setup: given => checkOptionNames(given, args),
      run: async given => receiveStatus(await run(given.args))
    })
  return defineCommand({
    meta: { name: 'fescuespoke', description: 'Checks records and shows what instances report' },
    subCommands: {
      'check-records': createSubCommand(
        'check-records',
        'Checks record files before they are published',
        {
          paths: { type: 'positional', description: 'Files, or folders of .json files, that make up the whole state', required: false },
          json: CONNECTION_ARGS.json
        },
        async args => await checkRecordFiles(context, { paths: args._, json: args.json })
      ),
      status: createSubCommand('status', 'Shows the status of one instance or of the fleet', { ...FLEET_ARG, ...CONNECTION_ARGS }, async args => await showStatus(context, args)),
      audit: createSubCommand(
        'audit',
        'Shows the changes that one instance has seen',
        {
          ...CONNECTION_ARGS,
          follow: { type: 'boolean', description: 'Print further changes as they come' },
          after: { type: 'string', description: 'Number of the last change that is known already', default: '0', valueHint: 'number' }
        },
        async args => await showAudit(context, args)
      ),
      metrics: createSubCommand('metrics', 'Shows the metrics of one instance', CONNECTION_ARGS, async args => await showMetrics(context, args)),
      explain: createSubCommand(
        'explain',
        'Explains why a request went where it went',
        { request: { type: 'positional', description: 'Id of the request, as in its accepted event', required: true }, ...FLEET_ARG, ...CONNECTION_ARGS },
        async args => await explainRequest(context, args)
      )
    }
  })
}

/** The parser takes any option, so that misspelt ones have to be found here. */
function checkOptionNames<T extends ArgsDef> ({ args }: CommandContext<T>, allowed: T): void {
  const names = new Set(['_', ...Object.keys(allowed), ...Object.keys(allowed).map(convertToCamelCase)])
  const unknown = Object.keys(args).filter(name => !names.has(name))
  if (unknown.length > 0) throw new WrongUseError(`no such option: ${unknown.map(name => `--${name}`).join(', ')}`)
}

function convertToCamelCase (name: string): string {
  return name.replace(/-(\w)/g, (_, letter: string) => letter.toUpperCase())
}
