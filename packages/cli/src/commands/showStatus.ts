import { type InstanceStatus } from '@fescuespoke/schema'
import { type CliContext } from '../CliContext.js'
import { type ExitStatus } from '../ExitStatus.js'
import { type FleetMember, type FleetStatus, fetchFleetStatus } from '../operator/FleetStatus.js'
import { formatAge } from '../output/formatAge.js'
import { type Column, formatTable } from '../output/formatTable.js'
import { parseConnectionArgs, type ConnectionOptions, type ConnectionArgs, printOperatorError } from './connectionOptions.js'

/** Arguments of the `status` command. */
export interface StatusArgs extends ConnectionArgs {
  readonly json?: boolean
}

type TargetStatus = InstanceStatus['targets'][number]
type MemberStatus = InstanceStatus['members'][number]
type RefusedRecord = InstanceStatus['refused'][number]

const TARGET_COLUMNS: ReadonlyArray<Column<TargetStatus>> = [
  { heading: 'target', getCell: ({ target }) => target },
  { heading: 'state', getCell: ({ state }) => state },
  { heading: 'running', getCell: ({ running }) => running },
  { heading: 'queued', getCell: ({ queued }) => queued },
  { heading: 'projected tokens', getCell: ({ projectedTokens }) => projectedTokens },
  { heading: 'capacity tokens', getCell: ({ capacityTokens }) => capacityTokens },
  { heading: 'evidence age', getCell: ({ evidenceAgeMs }) => formatAge(evidenceAgeMs) },
  { heading: 'coordinator', getCell: ({ coordinator }) => coordinator }
]

const MEMBER_COLUMNS: ReadonlyArray<Column<MemberStatus>> = [
  { heading: 'member', getCell: ({ instance }) => instance },
  { heading: 'state', getCell: ({ state }) => state },
  { heading: 'availability zone', getCell: ({ availabilityZone }) => availabilityZone },
  { heading: 'url', getCell: ({ url }) => url }
]

const REFUSED_RECORD_COLUMNS: ReadonlyArray<Column<RefusedRecord>> = [
  { heading: 'refused record', getCell: ({ record }) => record },
  { heading: 'key', getCell: ({ key }) => key },
  { heading: 'revision', getCell: ({ revision }) => revision },
  { heading: 'kept revision', getCell: ({ keptRevision }) => keptRevision },
  { heading: 'problems', getCell: ({ problems }) => problems.join('; ') }
]

const FLEET_COLUMNS: ReadonlyArray<Column<FleetMember>> = [
  { heading: 'instance', getCell: ({ instance }) => instance },
  { heading: 'availability zone', getCell: ({ availabilityZone }) => availabilityZone },
  { heading: 'state', getCell: ({ state }) => state },
  { heading: 'phase', getCell: ({ status }) => status?.phase ?? 'no response' },
  { heading: 'revision', getCell: ({ status }) => status?.revision },
  { heading: 'list version', getCell: ({ status }) => status?.listVersion },
  { heading: 'configuration age', getCell: ({ status }) => status === undefined ? undefined : formatAge(status.configurationAgeMs) },
  { heading: 'requests', getCell: ({ status }) => status?.requests },
  { heading: 'queued', getCell: ({ status }) => status?.queued },
  { heading: 'targets', getCell: ({ status }) => status === undefined ? undefined : describeTargets(status) },
  { heading: 'refused', getCell: ({ status }) => status?.refused.length },
  { heading: 'error', getCell: ({ error }) => error }
]

/**
 * Shows the status of one instance or of the whole fleet.
 * @param context - Dependencies of the command.
 * @param args - Arguments of the command.
 */
export async function showStatus (context: CliContext, args: StatusArgs): Promise<ExitStatus> {
  const connectionOptions = parseConnectionArgs(context, args)
  const show = args.fleet === undefined ? showInstance : showFleet
  return await show(context, connectionOptions, args.json === true)
}

async function showInstance (context: CliContext, { urls: [url], createClient }: ConnectionOptions, json: boolean): Promise<ExitStatus> {
  const result = await createClient(url).fetchStatus()
  if (result.isErr) return printOperatorError(context, url, result.error)
  const status = result.value
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
  printSection(print, REFUSED_RECORD_COLUMNS, status.refused)
}

function printSection<Row> (print: CliContext['print'], columns: ReadonlyArray<Column<Row>>, rows: readonly Row[]): void {
  if (rows.length === 0) return
  print('')
  print(formatTable(columns, rows))
}

async function showFleet (context: CliContext, connectionOptions: ConnectionOptions, json: boolean): Promise<ExitStatus> {
  const result = await fetchFleetStatus(connectionOptions)
  if (result.isErr) return printOperatorError(context, connectionOptions.urls[0], result.error)
  const fleetStatus = result.value
  if (json) context.print(JSON.stringify(fleetStatus, null, 2))
  else printFleet(context, fleetStatus)
  return hasFleetProblems(fleetStatus) ? 'problems' : 'ok'
}

function printFleet ({ print }: CliContext, { members }: FleetStatus): void {
  print(formatTable(FLEET_COLUMNS, members))
  const revisions = listRevisions(members)
  if (revisions.length > 1) {
    print('')
    print(`revisions differ: ${revisions.join(', ')}`)
  }
  printSection(print, REFUSED_RECORD_COLUMNS, listRefusedRecords(members))
}

function listRefusedRecords (members: readonly FleetMember[]): RefusedRecord[] {
  const refusedRecords = members.flatMap(({ status }) => status?.refused ?? [])
  const distinctRecords = new Map(refusedRecords.map(record => [`${record.key} ${record.record} ${record.revision}`, record]))
  return [...distinctRecords.values()]
}

function listRevisions (members: readonly FleetMember[]): number[] {
  const revisions = members.flatMap(({ status }) => status === undefined ? [] : [status.revision])
  return [...new Set(revisions)].sort((a, b) => a - b)
}

function hasProblems ({ phase, refused }: InstanceStatus): boolean {
  return phase !== 'ready' || refused.length > 0
}

function hasFleetProblems ({ members }: FleetStatus): boolean {
  return listRevisions(members).length > 1 || members.some(({ status }) => status === undefined || hasProblems(status))
}

function describeTargets ({ targets }: InstanceStatus): string {
  const activeCount = targets.filter(({ state }) => state === 'active').length
  return `${activeCount} of ${targets.length} active`
}

function describeAge (ageMs: number): string {
  return ageMs < 0 ? 'never' : `${formatAge(ageMs)} ago`
}
