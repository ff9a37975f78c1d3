import { type InstanceStatus } from '@fescuespoke/schema'
import { type CliContext } from '../CliContext.js'
import { type ExitStatus } from '../ExitStatus.js'
import { type FleetMember, type FleetView, readFleet } from '../operator/FleetView.js'
import { formatAge } from '../output/formatAge.js'
import { type Column, formatTable } from '../output/formatTable.js'
import { checkConnection, type Connection, type ConnectionArgs, printFailure } from './connection.js'

/** What was given on the command line. */
export interface StatusArgs extends ConnectionArgs {
  readonly json?: boolean
}

type Target = InstanceStatus['targets'][number]
type Member = InstanceStatus['members'][number]
type Refused = InstanceStatus['refused'][number]

const TARGET_COLUMNS: ReadonlyArray<Column<Target>> = [
  { heading: 'target', getCell: ({ target }) => target },
  { heading: 'state', getCell: ({ state }) => state },
  { heading: 'running', getCell: ({ running }) => running },
  { heading: 'queued', getCell: ({ queued }) => queued },
  { heading: 'projected tokens', getCell: ({ projectedTokens }) => projectedTokens },
  { heading: 'capacity tokens', getCell: ({ capacityTokens }) => capacityTokens },
  { heading: 'evidence', getCell: ({ evidenceAgeMs }) => formatAge(evidenceAgeMs) },
  { heading: 'coordinator', getCell: ({ coordinator }) => coordinator }
]

const MEMBER_COLUMNS: ReadonlyArray<Column<Member>> = [
  { heading: 'member', getCell: ({ instance }) => instance },
  { heading: 'state', getCell: ({ state }) => state },
  { heading: 'availability zone', getCell: ({ availabilityZone }) => availabilityZone },
  { heading: 'url', getCell: ({ url }) => url }
]

const REFUSED_COLUMNS: ReadonlyArray<Column<Refused>> = [
  { heading: 'refused record', getCell: ({ record }) => record },
  { heading: 'key', getCell: ({ key }) => key },
  { heading: 'revision', getCell: ({ revision }) => revision },
  { heading: 'kept revision', getCell: ({ keptRevision }) => keptRevision },
  { heading: 'why', getCell: ({ problems }) => problems.join('; ') }
]

const FLEET_COLUMNS: ReadonlyArray<Column<FleetMember>> = [
  { heading: 'instance', getCell: ({ instance }) => instance },
  { heading: 'availability zone', getCell: ({ availabilityZone }) => availabilityZone },
  { heading: 'seen as', getCell: ({ state }) => state },
  { heading: 'phase', getCell: ({ status }) => status?.phase ?? 'no answer' },
  { heading: 'revision', getCell: ({ status }) => status?.revision },
  { heading: 'list', getCell: ({ status }) => status?.listVersion },
  { heading: 'records', getCell: ({ status }) => status === undefined ? undefined : formatAge(status.configurationAgeMs) },
  { heading: 'requests', getCell: ({ status }) => status?.requests },
  { heading: 'queued', getCell: ({ status }) => status?.queued },
  { heading: 'targets', getCell: ({ status }) => status === undefined ? undefined : describeTargets(status) },
  { heading: 'refused', getCell: ({ status }) => status?.refused.length },
  { heading: 'error', getCell: ({ error }) => error }
]

/**
 * Shows the status of one instance, or of the fleet.
 * @param context - What commands work with.
 * @param args - What was given.
 */
export async function showStatus (context: CliContext, args: StatusArgs): Promise<ExitStatus> {
  const connection = checkConnection(context, args)
  const show = args.fleet === undefined ? showInstance : showFleet
  return await show(context, connection, args.json === true)
}

async function showInstance (context: CliContext, { urls: [url], createClient }: Connection, json: boolean): Promise<ExitStatus> {
  const read = await createClient(url).fetchStatus()
  if (read.isErr) return printFailure(context, url, read.error)
  const status = read.value
  if (json) context.print(JSON.stringify(status, null, 2))
  else printInstance(context, status)
  return hasProblems(status) ? 'problems' : 'ok'
}

function printInstance ({ print }: CliContext, status: InstanceStatus): void {
  print(`instance ${status.instance}, incarnation ${status.incarnation}: ${status.phase}`)
  print(`records: revision ${status.revision}, confirmed ${describeAge(status.configurationAgeMs)}`)
  print(`instance list: version ${status.listVersion}, confirmed ${describeAge(status.listAgeMs)}`)
  print(`requests: ${status.requests} in progress, ${status.queued} queued`)
  printSection(print, TARGET_COLUMNS, status.targets)
  printSection(print, MEMBER_COLUMNS, status.members)
  printSection(print, REFUSED_COLUMNS, status.refused)
}

function printSection<Row> (print: CliContext['print'], columns: ReadonlyArray<Column<Row>>, rows: readonly Row[]): void {
  if (rows.length === 0) return
  print('')
  print(formatTable(columns, rows))
}

async function showFleet (context: CliContext, connection: Connection, json: boolean): Promise<ExitStatus> {
  const read = await readFleet(connection)
  if (read.isErr) return printFailure(context, connection.urls[0], read.error)
  const fleet = read.value
  if (json) context.print(JSON.stringify(fleet, null, 2))
  else printFleet(context, fleet)
  return hasFleetProblems(fleet) ? 'problems' : 'ok'
}

function printFleet ({ print }: CliContext, { members }: FleetView): void {
  print(formatTable(FLEET_COLUMNS, members))
  const revisions = listRevisions(members)
  if (revisions.length > 1) {
    print('')
    print(`revisions differ: ${revisions.join(', ')}`)
  }
  printSection(print, REFUSED_COLUMNS, listRefused(members))
}

function listRefused (members: readonly FleetMember[]): Refused[] {
  const refused = members.flatMap(({ status }) => status?.refused ?? [])
  const distinct = new Map(refused.map(record => [`${record.key} ${record.record} ${record.revision}`, record]))
  return [...distinct.values()]
}

function listRevisions (members: readonly FleetMember[]): number[] {
  const revisions = members.flatMap(({ status }) => status === undefined ? [] : [status.revision])
  return [...new Set(revisions)].sort((a, b) => a - b)
}

function hasProblems ({ phase, refused }: InstanceStatus): boolean {
  return phase !== 'ready' || refused.length > 0
}

function hasFleetProblems ({ members }: FleetView): boolean {
  return listRevisions(members).length > 1 || members.some(({ status }) => status === undefined || hasProblems(status))
}

function describeTargets ({ targets }: InstanceStatus): string {
  const active = targets.filter(({ state }) => state === 'active').length
  return `${active} of ${targets.length} active`
}

function describeAge (ageMs: number): string {
  return ageMs < 0 ? 'never' : `${formatAge(ageMs)} ago`
}
