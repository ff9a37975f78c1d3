import { type AuditEvent, type AuditPage } from '@fescuespoke/schema'
import { type CliContext } from '../CliContext.js'
import { type ExitStatus } from '../ExitStatus.js'
import { type OperatorClient } from '../operator/OperatorClient.js'
import { type Column, formatTable, formatText } from '../output/formatTable.js'
import { checkConnection, type ConnectionArgs, printFailure, WrongUseError } from './connection.js'

/** What was given on the command line. */
export interface AuditArgs extends ConnectionArgs {
  readonly after: string
  readonly follow?: boolean
  readonly json?: boolean
}

/** Interval in milliseconds at which a followed trail is asked for more. */
const FOLLOW_INTERVAL_MS = 1000

const EVENT_COLUMNS: ReadonlyArray<Column<AuditEvent>> = [
  { heading: 'number', getCell: ({ sequence }) => sequence },
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
 * @param context - What commands work with.
 * @param args - What was given.
 */
export async function showAudit (context: CliContext, args: AuditArgs): Promise<ExitStatus> {
  const { urls: [url], createClient } = checkConnection(context, args)
  const after = Number(args.after)
  if (!Number.isInteger(after) || after < 0) throw new WrongUseError(`--after: got ${args.after}, allowed is a whole number`)
  const client = createClient(url)
  const read = await client.fetchAudit(after)
  if (read.isErr) return printFailure(context, url, read.error)
  if (args.follow === true) return await followAudit(context, client, { url, after, page: read.value, json: args.json === true })
  if (args.json === true) context.print(JSON.stringify(read.value, null, 2))
  else printPage(context, read.value, after)
  return 'ok'
}

function printPage ({ print }: CliContext, page: AuditPage, after: number): void {
  if (hasLostEvents(page, after)) print(describeLostEvents(page, after))
  print(page.events.length === 0 ? 'no changes' : formatTable(EVENT_COLUMNS, page.events))
}

interface Following {
  readonly url: string
  readonly after: number
  readonly page: AuditPage
  readonly json: boolean
}

/** Prints events as they come, until the command is ended. A restarted instance begins a new trail. */
async function followAudit (context: CliContext, client: OperatorClient, following: Following): Promise<ExitStatus> {
  const { clock, signal, printError } = context
  const { url, json } = following
  let { after, page } = following
  let reachable = true
  while (!signal.aborted) {
    after = printNewEvents(context, page, after, json)
    await clock.sleep(FOLLOW_INTERVAL_MS, signal)
    if (signal.aborted) break
    const read = await client.fetchAudit(after)
    if (read.isErr && reachable) printError(`${url}: ${read.error.kind}: ${read.error.detail}; trying again`)
    reachable = read.isOk
    if (read.isErr) page = { ...page, events: [] }
    else if (read.value.incarnation === page.incarnation) page = read.value
    else [page, after] = await readNewTrail(context, client, read.value)
  }
  return 'ok'
}

async function readNewTrail ({ printError }: CliContext, client: OperatorClient, { instance, incarnation }: AuditPage): Promise<[AuditPage, number]> {
  printError(`${instance} has restarted as ${incarnation}`)
  const read = await client.fetchAudit(0)
  return [read.unwrapOr({ instance, incarnation, oldest: 1, events: [] }), 0]
}

function printNewEvents ({ print, printError }: CliContext, page: AuditPage, after: number, json: boolean): number {
  if (hasLostEvents(page, after)) printError(describeLostEvents(page, after))
  for (const event of page.events) print(json ? JSON.stringify(event) : formatEvent(event))
  return page.events.at(-1)?.sequence ?? after
}

function hasLostEvents ({ events, oldest }: AuditPage, after: number): boolean {
  return events.length > 0 && oldest > after + 1
}

function describeLostEvents ({ oldest }: AuditPage, after: number): string {
  return `changes ${after + 1} to ${oldest - 1} are no longer held`
}

function formatEvent (event: AuditEvent): string {
  const { sequence, time, kind, subject, revision, cause, before, after, fence, answer } = event
  const change = before === undefined && after === undefined ? [] : [`${before ?? '-'} -> ${after ?? '-'}`]
  const order = fence === undefined ? [] : [`fence ${fence}${answer === undefined ? '' : `, answer ${answer}`}`]
  return formatText([String(sequence), time, kind, subject, `revision ${revision}`, ...change, ...order, cause].join('  '))
}
