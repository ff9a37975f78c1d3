import { type InstanceStatus, type MemberStatus } from '@fescuespoke/schema'
import { Result } from 'true-myth'
import { type OperatorClient, type OperatorError } from './OperatorClient.js'

/** One instance of the fleet with its status, or why that is not known. */
export interface FleetMember {
  readonly instance: string
  readonly availabilityZone: string
  /** State in which the asked instance sees it. */
  readonly state: MemberStatus['state'] | 'asked'
  readonly operatorUrl?: string
  readonly status?: InstanceStatus
  readonly error?: string
}

/** All instances that the asked ones know. */
export interface FleetView {
  readonly members: readonly FleetMember[]
}

/** Options of reading a fleet. */
export interface FleetOptions {
  /** Base URLs of the operators' interfaces of the instances that are asked for the members. */
  readonly urls: readonly string[]
  readonly createClient: (url: string) => OperatorClient
}

/** An instance that was asked for the members and answered. */
interface AskedInstance {
  readonly url: string
  readonly status: InstanceStatus
}

/** An instance that was asked for the members and did not answer. */
interface SilentInstance {
  readonly url: string
  readonly error: OperatorError
}

interface AskedInstances {
  readonly answered: readonly AskedInstance[]
  readonly silent: readonly SilentInstance[]
}

/** A member as one of the asked instances sees it. */
interface SeenMember {
  readonly member: MemberStatus
  readonly operatorUrl: string | undefined
}

/**
 * Reads the status of every instance: of those named first, then of all their members at the same time.
 * @param options - Where to begin.
 */
export async function readFleet (options: FleetOptions): Promise<Result<FleetView, OperatorError>> {
  const asked = await requestInstances(options)
  if (asked.isErr) return asked.cast()
  const { answered, silent } = asked.value
  const others = listOthers(answered)
  const members = await Promise.all(others.map(async other => await readMember(other, options)))
  const silentUrls = silent.filter(({ url }) => !members.some(member => member.operatorUrl === url))
  const all = [...answered.map(convertAsked), ...members, ...silentUrls.map(convertSilent)]
  return Result.ok({ members: all.sort(compareMembers) })
}

/**
 * Finds the base URL of the operators' interface of one instance of the fleet.
 * @param options - Where to begin.
 * @param instance - Name of the instance.
 */
export async function findMemberUrl (options: FleetOptions, instance: string): Promise<Result<string, OperatorError>> {
  const asked = await requestInstances(options)
  if (asked.isErr) return asked.cast()
  const { answered } = asked.value
  const itself = answered.find(({ status }) => status.instance === instance)
  const url = itself?.url ?? listOthers(answered).find(({ member }) => member.instance === instance)?.operatorUrl
  if (url !== undefined) return Result.ok(url)
  return Result.err({ kind: 'notFound', detail: `the fleet has no address of instance ${JSON.stringify(instance)}` })
}

async function requestInstances ({ urls, createClient }: FleetOptions): Promise<Result<AskedInstances, OperatorError>> {
  const read = await Promise.all(urls.map(async url => ({ url, status: await createClient(url).fetchStatus() })))
  const answered = read.flatMap(({ url, status }) => status.isOk ? [{ url, status: status.value }] : [])
  const silent = read.flatMap(({ url, status }) => status.isErr ? [{ url, error: status.error }] : [])
  const firstError = silent[0]?.error
  return answered.length === 0 && firstError !== undefined ? Result.err(firstError) : Result.ok({ answered, silent })
}

/** Lists the members that have not answered yet, each once. */
function listOthers (answered: readonly AskedInstance[]): SeenMember[] {
  const known = new Set(answered.map(({ status }) => status.instance))
  const others = new Map<string, SeenMember>()
  for (const { url, status } of answered) {
    for (const member of status.members) {
      if (!known.has(member.instance) && !others.has(member.instance)) {
        others.set(member.instance, { member, operatorUrl: findOperatorUrl(member, url) })
      }
    }
  }
  return [...others.values()]
}

/** A member is found where it says, or on its host at the port of the asked instance. */
function findOperatorUrl (member: MemberStatus, askedUrl: string): string | undefined {
  if (member.operatorUrl !== undefined) return member.operatorUrl
  if (member.url === undefined || !URL.canParse(member.url)) return undefined
  const url = new URL(askedUrl)
  url.hostname = new URL(member.url).hostname
  return url.origin
}

async function readMember ({ member, operatorUrl }: SeenMember, { createClient }: FleetOptions): Promise<FleetMember> {
  const { instance, availabilityZone, state } = member
  if (operatorUrl === undefined) return { instance, availabilityZone, state, error: 'its address is not known' }
  const read = await createClient(operatorUrl).fetchStatus()
  const known = { instance, availabilityZone, state, operatorUrl }
  if (read.isErr) return { ...known, error: formatError(read.error) }
  const answered = read.value.instance
  if (answered !== instance) return { ...known, error: `${answered} answers at its address` }
  return { ...known, status: read.value }
}

function convertAsked ({ url, status }: AskedInstance): FleetMember {
  const { instance, members } = status
  const availabilityZone = status.availabilityZone ?? members.find(member => member.instance === instance)?.availabilityZone ?? ''
  return { instance, availabilityZone, state: 'asked', operatorUrl: url, status }
}

function convertSilent ({ url, error }: SilentInstance): FleetMember {
  return { instance: '', availabilityZone: '', state: 'asked', operatorUrl: url, error: `${url}: ${formatError(error)}` }
}

function formatError ({ kind, detail }: OperatorError): string {
  return `${kind}: ${detail}`
}

function compareMembers (a: FleetMember, b: FleetMember): number {
  return a.instance < b.instance ? -1 : 1
}
