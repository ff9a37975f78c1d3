import { type ArgsDef, type CommandContext, type CommandDef, defineCommand, type ParsedArgs } from 'citty'
import { type CliContext } from './CliContext.js'
import { checkRecordFiles } from './commands/checkRecordFiles.js'
import { CONNECTION_ARGS, UsageError } from './commands/connectionOptions.js'
import { explainRequest } from './commands/explainRequest.js'
import { showAudit } from './commands/showAudit.js'
import { showMetrics } from './commands/showMetrics.js'
import { showStatus } from './commands/showStatus.js'
import { type ExitStatus } from './ExitStatus.js'

/** Sets the exit status of the command that ran. */
export type ExitStatusSetter = (status: ExitStatus) => void

const FLEET_ARG = {
  fleet: { type: 'string', description: 'Comma-separated base URLs of the operator interfaces of one or more instances; all members that they list are queried', valueHint: 'urls' }
} as const

/**
 * Creates the root command with all subcommands. All of them are read-only.
 * @param context - Dependencies of the commands.
 * @param setExitStatus - Called with the exit status when a subcommand has completed.
 */
export function createCommand (context: CliContext, setExitStatus: ExitStatusSetter): CommandDef {
  const createSubCommand = <const T extends ArgsDef>(
    name: string, description: string, args: T, run: (args: ParsedArgs<T>) => Promise<ExitStatus>
  ): CommandDef<T> => defineCommand({
      meta: { name, description },
      args,
      setup: commandContext => checkOptionNames(commandContext, args),
      run: async commandContext => setExitStatus(await run(commandContext.args))
    })
  return defineCommand({
    meta: { name: 'fescuespoke', description: 'Checks configuration records and shows the state of instances' },
    subCommands: {
      'check-records': createSubCommand(
        'check-records',
        'Checks record files before they are published',
        {
          paths: { type: 'positional', description: 'Files, or folders of .json files, that contain the complete set of records', required: false },
          json: CONNECTION_ARGS.json
        },
        async args => await checkRecordFiles(context, { paths: args._, json: args.json })
      ),
      status: createSubCommand('status', 'Shows the status of one instance or of the fleet', { ...FLEET_ARG, ...CONNECTION_ARGS }, async args => await showStatus(context, args)),
      audit: createSubCommand(
        'audit',
        'Shows the audit trail of one instance',
        {
          ...CONNECTION_ARGS,
          follow: { type: 'boolean', description: 'Print further changes as they occur' },
          after: { type: 'string', description: 'Sequence number after which changes are shown', default: '0', valueHint: 'number' }
        },
        async args => await showAudit(context, args)
      ),
      metrics: createSubCommand('metrics', 'Shows the metrics of one instance', CONNECTION_ARGS, async args => await showMetrics(context, args)),
      explain: createSubCommand(
        'explain',
        'Explains the routing of a request',
        { request: { type: 'positional', description: 'Id of the request, as in its accepted event', required: true }, ...FLEET_ARG, ...CONNECTION_ARGS },
        async args => await explainRequest(context, args)
      )
    }
  })
}

/** Rejects unknown options, because the parser accepts any option. */
function checkOptionNames<T extends ArgsDef> ({ args }: CommandContext<T>, definitions: T): void {
  const allowedNames = new Set(['_', ...Object.keys(definitions), ...Object.keys(definitions).map(convertToCamelCase)])
  const unknownNames = Object.keys(args).filter(name => !allowedNames.has(name))
  if (unknownNames.length > 0) throw new UsageError(`unknown option: ${unknownNames.map(name => `--${name}`).join(', ')}`)
}

function convertToCamelCase (name: string): string {
  return name.replace(/-(\w)/g, (_, letter: string) => letter.toUpperCase())
}
