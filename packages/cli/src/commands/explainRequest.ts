import { type Explanation } from '@fescuespoke/schema'
import { Result } from 'true-myth'
import { type CliContext } from '../CliContext.js'
import { type ExitStatus } from '../ExitStatus.js'
import { findMemberUrl } from '../operator/FleetStatus.js'
import { type OperatorError } from '../operator/OperatorClient.js'
import { type Column, formatTable, sanitizeText } from '../output/formatTable.js'
import { parseConnectionArgs, type ConnectionArgs, printOperatorError } from './connectionOptions.js'

/** Arguments of the `explain` command. */
export interface ExplainArgs extends ConnectionArgs {
  /** Id of the request, as reported in its `accepted` event. */
  readonly request: string
  readonly json?: boolean
}

/** Separates the name of the owning instance from the rest of a request id. */
const REQUEST_ID_SEPARATOR = '~'

const STEP_COLUMNS: ReadonlyArray<Column<Explanation['steps'][number]>> = [
  { heading: 'after ms', getCell: ({ atMs }) => atMs },
  { heading: 'step', getCell: ({ step }) => step },
  { heading: 'detail', getCell: ({ detail }) => detail }
]

/**
 * Explains the routing of a request. With `--fleet`, the owning instance is derived from the request id.
 * @param context - Dependencies of the command.
 * @param args - Arguments of the command.
 */
export async function explainRequest (context: CliContext, args: ExplainArgs): Promise<ExitStatus> {
  const connectionOptions = parseConnectionArgs(context, args)
  const [url] = connectionOptions.urls
  const [ownerName = ''] = args.request.split(REQUEST_ID_SEPARATOR)
  const ownerUrl = args.fleet === undefined ? Result.ok<string, OperatorError>(url) : await findMemberUrl(connectionOptions, ownerName)
  if (ownerUrl.isErr) return printOperatorError(context, url, ownerUrl.error)
  const result = await connectionOptions.createClient(ownerUrl.value).fetchExplanation(args.request)
  if (result.isErr) return printOperatorError(context, ownerUrl.value, result.error)
  if (args.json === true) context.print(JSON.stringify(result.value, null, 2))
  else printExplanation(context, result.value)
  return 'ok'
}

function printExplanation ({ print }: CliContext, explanation: Explanation): void {
  const { request, service, workspace, revision, outcome, reason, steps } = explanation
  print(sanitizeText(`request ${request}: service ${service}, workspace ${workspace}, revision ${revision}`))
  print(outcome === undefined ? 'in progress' : sanitizeText(`outcome ${outcome}, reason ${reason ?? '-'}`))
  print('')
  print(formatTable(STEP_COLUMNS, steps))
}
