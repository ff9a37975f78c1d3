import { type AuditEvent, type AuditPage } from '@fescuespoke/schema'
import { type CliContext } from '../CliContext.js'
import { type ExitStatus } from '../ExitStatus.js'
import { type OperatorClient } from '../operator/OperatorClient.js'
import { type Column, formatTable, sanitizeText } from '../output/formatTable.js'
import { parseConnectionArgs, type ConnectionArgs, printOperatorError, UsageError } from './connectionOptions.js'

/** Arguments of the `audit` command. */
export interface AuditArgs extends ConnectionArgs {
  readonly after: string
  readonly follow?: boolean
  readonly json?: boolean
}

/** Interval between polls for new events with `--follow`, in milliseconds. */
const FOLLOW_POLL_INTERVAL_MS = 1000

const EVENT_COLUMNS: ReadonlyArray<Column<AuditEvent>> = [
  { heading: 'sequence', getCell: ({ sequence }) => sequence },
  { heading: 'time', getCell: ({ time }) => time },
  { heading: 'change', getCell: ({ kind }) => kind },
  { heading: 'subject', getCell: ({ subject }) => subject },
  { heading: 'revision', getCell: ({ revision }) => revision },
  { heading: 'before', getCell: ({ before }) => before },
  { heading: 'after', getCell: ({ after }) => after },
  { heading: 'fence', getCell: ({ fence }) => fence },
  { heading: 'answer', getCell: ({ answer }) => answer },
  { heading: 'cause', getCell: ({ cause }) => cause }
]

/**
 * Shows the audit trail of one instance.
 * @param context - Dependencies of the command.
 * @param args - Arguments of the command.
 */
export async function showAudit (context: CliContext, args: AuditArgs): Promise<ExitStatus> {
  const { urls: [url], createClient } = parseConnectionArgs(context, args)
  const after = Number(args.after)
  if (!Number.isInteger(after) || after < 0) throw new UsageError(`--after: got ${args.after}, expected a non-negative integer`)
  const client = createClient(url)
  const result = await client.fetchAudit(after)
  if (result.isErr) return printOperatorError(context, url, result.error)
  if (args.follow === true) return await followAudit(context, client, { url, after, page: result.value, json: args.json === true })
  if (args.json === true) context.print(JSON.stringify(result.value, null, 2))
  else printPage(context, result.value, after)
  return 'ok'
}

function printPage ({ print }: CliContext, page: AuditPage, after: number): void {
  if (hasMissingEvents(page, after)) print(describeMissingEvents(page, after))
  print(page.events.length === 0 ? 'no changes' : formatTable(EVENT_COLUMNS, page.events))
}

interface FollowOptions {
  readonly url: string
  readonly after: number
  readonly page: AuditPage
  readonly json: boolean
}

/** Prints new events until the command is interrupted. When the instance has restarted, continues with the first event of its new trail. */
async function followAudit (context: CliContext, client: OperatorClient, options: FollowOptions): Promise<ExitStatus> {
  const { clock, signal, printError } = context
  const { url, json } = options
  let { after, page } = options
  let isReachable = true
  while (!signal.aborted) {
    after = printNewEvents(context, page, after, json)
    await clock.sleep(FOLLOW_POLL_INTERVAL_MS, signal)
    if (signal.aborted) break
    const result = await client.fetchAudit(after)
    if (result.isErr && isReachable) printError(`${url}: ${result.error.kind}: ${result.error.detail}; retrying`)
    isReachable = result.isOk
    if (result.isErr) page = { ...page, events: [] }
    else if (result.value.incarnation === page.incarnation) page = result.value
    else [page, after] = await fetchTrailAfterRestart(context, client, result.value)
  }
  return 'ok'
}

async function fetchTrailAfterRestart ({ printError }: CliContext, client: OperatorClient, { instance, incarnation }: AuditPage): Promise<[AuditPage, number]> {
  printError(`${instance} has restarted, new incarnation ${incarnation}`)
  const result = await client.fetchAudit(0)
  return [result.unwrapOr({ instance, incarnation, oldest: 1, events: [] }), 0]
}

function printNewEvents ({ print, printError }: CliContext, page: AuditPage, after: number, json: boolean): number {
  if (hasMissingEvents(page, after)) printError(describeMissingEvents(page, after))
  for (const event of page.events) print(json ? JSON.stringify(event) : formatEvent(event))
  return page.events.at(-1)?.sequence ?? after
}

function hasMissingEvents ({ events, oldest }: AuditPage, after: number): boolean {
  return events.length > 0 && oldest > after + 1
}

function describeMissingEvents ({ oldest }: AuditPage, after: number): string {
  return `changes ${after + 1} to ${oldest - 1} are no longer retained`
}

function formatEvent (event: AuditEvent): string {
  const { sequence, time, kind, subject, revision, cause, before, after, fence, answer } = event
  const valueChange = before === undefined && after === undefined ? [] : [`${before ?? '-'} -> ${after ?? '-'}`]
  const fenceDetails = fence === undefined ? [] : [`fence ${fence}${answer === undefined ? '' : `, answer ${answer}`}`]
  return sanitizeText([String(sequence), time, kind, subject, `revision ${revision}`, ...valueChange, ...fenceDetails, cause].join('  '))
}
