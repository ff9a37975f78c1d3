import { type InstanceStatus, type MemberStatus } from '@fescuespoke/schema'
import { type Result } from 'true-myth'
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

/** All instances that the asked one knows. */
export interface FleetView {
  readonly members: readonly FleetMember[]
}

/** Options of reading a fleet. */
export interface FleetOptions {
  /** Base URL of the operators' interface of the instance that is asked for the members. */
  readonly url: string
  readonly createClient: (url: string) => OperatorClient
}

/**
 * Reads the status of every instance: of one first, then of its members at the same time.
 * @param options - Where to begin.
 */
export async function readFleet ({ url, createClient }: FleetOptions): Promise<Result<FleetView, OperatorError>> {
  const first = await createClient(url).fetchStatus()
  if (first.isErr) return first.cast()
  const status = first.value
  const others = status.members.filter(member => member.instance !== status.instance)
  const members = await Promise.all(others.map(async member => await readMember(member, url, createClient)))
  const asked: FleetMember = {
    instance: status.instance,
    availabilityZone: findOwnZone(status),
    state: 'asked',
    operatorUrl: url,
    status
  }
  return first.map(() => ({ members: [asked, ...members].sort(compareMembers) }))
}

/**
 * Finds the base URL of a member's operators' interface: the one it announces, or its host with the port of the asked one.
 * @param member - The member.
 * @param askedUrl - Base URL of the operators' interface of the asked instance.
 */
export function findOperatorUrl (member: MemberStatus, askedUrl: string): string | undefined {
  if (member.operatorUrl !== undefined) return member.operatorUrl
  if (member.url === undefined || !URL.canParse(member.url)) return undefined
  const url = new URL(askedUrl)
  url.hostname = new URL(member.url).hostname
  return url.origin
}

async function readMember (member: MemberStatus, askedUrl: string, createClient: FleetOptions['createClient']): Promise<FleetMember> {
  const { instance, availabilityZone, state } = member
  const operatorUrl = findOperatorUrl(member, askedUrl)
  if (operatorUrl === undefined) return { instance, availabilityZone, state, error: 'its address is not known' }
  const read = await createClient(operatorUrl).fetchStatus()
  const known = { instance, availabilityZone, state, operatorUrl }
  if (read.isErr) return { ...known, error: `${read.error.kind}: ${read.error.detail}` }
  const answered = read.value.instance
  if (answered !== instance) return { ...known, error: `${answered} answers at its address` }
  return { ...known, status: read.value }
}

function findOwnZone ({ instance, availabilityZone, members }: InstanceStatus): string {
  return availabilityZone ?? members.find(member => member.instance === instance)?.availabilityZone ?? ''
}

function compareMembers (a: FleetMember, b: FleetMember): number {
  return a.instance < b.instance ? -1 : 1
}
