import { type InstanceStatus, type MemberStatus } from '@fescuespoke/schema'
import { Result } from 'true-myth'
import { type OperatorClient, type OperatorError } from './OperatorClient.js'

/** One instance of the fleet with its status, or the error that prevented fetching it. */
export interface FleetMember {
  readonly instance: string
  readonly availabilityZone: string
  /** Membership state reported by a queried instance, or `asked` for an instance given on the command line. */
  readonly state: MemberStatus['state'] | 'asked'
  readonly operatorUrl?: string
  readonly status?: InstanceStatus
  readonly error?: string
}

/** The queried instances and all members that they list. */
export interface FleetStatus {
  readonly members: readonly FleetMember[]
}

/** Options of a query of the fleet. */
export interface FleetOptions {
  /** Base URLs of the operator interfaces of the instances that are queried for the members. */
  readonly urls: readonly string[]
  readonly createClient: (url: string) => OperatorClient
}

/** Response of an instance that was queried for the members. */
interface InstanceResponse {
  readonly url: string
  readonly status: InstanceStatus
}

/** Failed query of an instance for the members. */
interface InstanceFailure {
  readonly url: string
  readonly error: OperatorError
}

interface InstanceQueryResults {
  readonly responses: readonly InstanceResponse[]
  readonly failures: readonly InstanceFailure[]
}

/** A member that a queried instance lists. */
interface DiscoveredMember {
  readonly member: MemberStatus
  readonly operatorUrl: string | undefined
}

/**
 * Fetches the status of every instance: first of the given instances, then concurrently of all members that they list.
 * @param options - Options that select the instances to query first.
 */
export async function fetchFleetStatus (options: FleetOptions): Promise<Result<FleetStatus, OperatorError>> {
  const queryResults = await queryInstances(options)
  if (queryResults.isErr) return queryResults.cast()
  const { responses, failures } = queryResults.value
  const otherMembers = listOtherMembers(responses)
  const members = await Promise.all(otherMembers.map(async otherMember => await fetchFleetMember(otherMember, options)))
  const unmatchedFailures = failures.filter(({ url }) => !members.some(member => member.operatorUrl === url))
  const allMembers = [...responses.map(convertResponse), ...members, ...unmatchedFailures.map(convertFailure)]
  return Result.ok({ members: allMembers.sort(compareMembers) })
}

/**
 * Finds the base URL of the operator interface of one instance of the fleet.
 * @param options - Options that select the instances to query first.
 * @param instance - Name of the instance.
 */
export async function findMemberUrl (options: FleetOptions, instance: string): Promise<Result<string, OperatorError>> {
  const queryResults = await queryInstances(options)
  if (queryResults.isErr) return queryResults.cast()
  const { responses } = queryResults.value
  const response = responses.find(({ status }) => status.instance === instance)
  const url = response?.url ?? listOtherMembers(responses).find(({ member }) => member.instance === instance)?.operatorUrl
  if (url !== undefined) return Result.ok(url)
  return Result.err({ kind: 'notFound', detail: `the fleet lists no address for instance ${JSON.stringify(instance)}` })
}

async function queryInstances ({ urls, createClient }: FleetOptions): Promise<Result<InstanceQueryResults, OperatorError>> {
  const results = await Promise.all(urls.map(async url => ({ url, status: await createClient(url).fetchStatus() })))
  const responses = results.flatMap(({ url, status }) => status.isOk ? [{ url, status: status.value }] : [])
  const failures = results.flatMap(({ url, status }) => status.isErr ? [{ url, error: status.error }] : [])
  const firstError = failures[0]?.error
  return responses.length === 0 && firstError !== undefined ? Result.err(firstError) : Result.ok({ responses, failures })
}

/** Lists the members that are not among the responses, without duplicates. */
function listOtherMembers (responses: readonly InstanceResponse[]): DiscoveredMember[] {
  const respondedInstances = new Set(responses.map(({ status }) => status.instance))
  const otherMembers = new Map<string, DiscoveredMember>()
  for (const { url, status } of responses) {
    for (const member of status.members) {
      if (!respondedInstances.has(member.instance) && !otherMembers.has(member.instance)) {
        otherMembers.set(member.instance, { member, operatorUrl: findOperatorUrl(member, url) })
      }
    }
  }
  return [...otherMembers.values()]
}

/** Returns the operator URL that the member reports, or else its host with the port of the queried instance. Returns `undefined` if the member has no valid URL. */
function findOperatorUrl (member: MemberStatus, queriedUrl: string): string | undefined {
  if (member.operatorUrl !== undefined) return member.operatorUrl
  if (member.url === undefined || !URL.canParse(member.url)) return undefined
  const url = new URL(queriedUrl)
  url.hostname = new URL(member.url).hostname
  return url.origin
}

async function fetchFleetMember ({ member, operatorUrl }: DiscoveredMember, { createClient }: FleetOptions): Promise<FleetMember> {
  const { instance, availabilityZone, state } = member
  if (operatorUrl === undefined) return { instance, availabilityZone, state, error: 'its address is unknown' }
  const result = await createClient(operatorUrl).fetchStatus()
  const memberFields = { instance, availabilityZone, state, operatorUrl }
  if (result.isErr) return { ...memberFields, error: formatError(result.error) }
  const respondingInstance = result.value.instance
  if (respondingInstance !== instance) return { ...memberFields, error: `instance ${respondingInstance} responds at its address` }
  return { ...memberFields, status: result.value }
}

function convertResponse ({ url, status }: InstanceResponse): FleetMember {
  const { instance, members } = status
  const availabilityZone = status.availabilityZone ?? members.find(member => member.instance === instance)?.availabilityZone ?? ''
  return { instance, availabilityZone, state: 'asked', operatorUrl: url, status }
}

function convertFailure ({ url, error }: InstanceFailure): FleetMember {
  return { instance: '', availabilityZone: '', state: 'asked', operatorUrl: url, error: `${url}: ${formatError(error)}` }
}

function formatError ({ kind, detail }: OperatorError): string {
  return `${kind}: ${detail}`
}

function compareMembers (a: FleetMember, b: FleetMember): number {
  return a.instance < b.instance ? -1 : 1
}
