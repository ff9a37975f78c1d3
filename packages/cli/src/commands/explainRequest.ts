import { type Explanation } from '@fescuespoke/schema'
import { Result } from 'true-myth'
import { type CliContext } from '../CliContext.js'
import { type ExitStatus } from '../ExitStatus.js'
import { findMemberUrl } from '../operator/FleetView.js'
import { type OperatorError } from '../operator/OperatorClient.js'
import { type Column, formatTable, formatText } from '../output/formatTable.js'
import { checkConnection, type ConnectionArgs, printFailure } from './connection.js'

/** What was given on the command line. */
export interface ExplainArgs extends ConnectionArgs {
  /** Id of the request, as in its `accepted` event. */
  readonly request: string
  readonly json?: boolean
}

/** Separates the name of the owner from the rest of a request id. */
const ID_SEPARATOR = '~'

const STEP_COLUMNS: ReadonlyArray<Column<Explanation['steps'][number]>> = [
  { heading: 'after ms', getCell: ({ atMs }) => atMs },
  { heading: 'step', getCell: ({ step }) => step },
  { heading: 'detail', getCell: ({ detail }) => detail }
]

/**
 * Explains why a request went where it went. With the fleet named, the owner is found by the request id.
 * @param context - What commands work with.
 * @param args - What was given.
 */
export async function explainRequest (context: CliContext, args: ExplainArgs): Promise<ExitStatus> {
  const connection = checkConnection(context, args)
  const [url] = connection.urls
  const [instance = ''] = args.request.split(ID_SEPARATOR)
  const owner = args.fleet === undefined ? Result.ok<string, OperatorError>(url) : await findMemberUrl(connection, instance)
  if (owner.isErr) return printFailure(context, url, owner.error)
  const read = await connection.createClient(owner.value).fetchExplanation(args.request)
  if (read.isErr) return printFailure(context, owner.value, read.error)
  if (args.json === true) context.print(JSON.stringify(read.value, null, 2))
  else printExplanation(context, read.value)
  return 'ok'
}

function printExplanation ({ print }: CliContext, explanation: Explanation): void {
  const { request, service, workspace, revision, outcome, reason, steps } = explanation
  print(formatText(`request ${request}: service ${service}, workspace ${workspace}, revision ${revision}`))
  print(outcome === undefined ? 'in progress' : formatText(`outcome ${outcome}, reason ${reason ?? '-'}`))
  print('')
  print(formatTable(STEP_COLUMNS, steps))
}
