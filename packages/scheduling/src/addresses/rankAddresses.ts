import { rankByRendezvous, type Snapshot } from '@fescuespoke/common'
import { type Address } from '@fescuespoke/schema'

/** Instance as reported by the membership. */
export interface RankedMember {
  readonly instance: string
  readonly url: string
  readonly availabilityZone: string
  readonly region: string
  readonly state: 'alive' | 'suspect' | 'dead' | 'leaving'
}

/** Options of an address ranking. */
export interface RankAddressesOptions {
  readonly service: string
  readonly workspace: string
  readonly members: readonly RankedMember[]
  readonly snapshot: Snapshot
  /** Availability zone of the instance that answers. Callers request addresses from a nearby instance. */
  readonly availabilityZone?: string
  readonly region?: string
  /** Number of positions by which the first instances are rotated for a workspace that is spread over several, so that its callers start at different ones. Any integer. */
  readonly rotationOffset?: number
  /** Maximum number of addresses in the answer. */
  readonly maxAddresses?: number
}

const DEFAULT_MAX_ADDRESSES = 3

/**
 * Returns the addresses of the instances that a caller of one service and workspace should use, best first.
 * @param options - Options of the ranking.
 */
export function rankAddresses (options: RankAddressesOptions): Address[] {
  const usableMembers = filterNearestMembers(options, filterUsableMembers(options.members))
  const byName = new Map(usableMembers.map(member => [member.instance, member]))
  const names = rankByRendezvous(`${options.service}\u0000${options.workspace}`, [...byName.keys()])
  const ranked = names.map(name => byName.get(name) as RankedMember)
  const rotatedMembers = rotateSpread(ranked, computeSpread(options, ranked.length), options.rotationOffset ?? 0)
  const sortedByDistance = rotatedMembers.sort((a, b) => computeDistance(options, a) - computeDistance(options, b))
  return sortedByDistance.slice(0, options.maxAddresses ?? DEFAULT_MAX_ADDRESSES).map(createAddress)
}

/** Returns the members of the same availability zone if they suffice for the answer, otherwise those of the same region if they suffice, otherwise all. */
function filterNearestMembers (options: RankAddressesOptions, members: readonly RankedMember[]): readonly RankedMember[] {
  const maxAddresses = options.maxAddresses ?? DEFAULT_MAX_ADDRESSES
  const groups = [0, 1].map(distance => members.filter(member => computeDistance(options, member) <= distance))
  return groups.find(group => group.length >= maxAddresses) ?? members
}

function filterUsableMembers (members: readonly RankedMember[]): RankedMember[] {
  const alive = members.filter(member => member.state === 'alive')
  if (alive.length > 0) return alive
  return members.filter(member => member.state === 'suspect')
}

function computeSpread (options: RankAddressesOptions, memberCount: number): number {
  const weights = [...options.snapshot.workspaces.values()].map(workspace => workspace.weight)
  const total = weights.reduce((sum, weight) => sum + weight, 0)
  const weight = options.snapshot.workspaces.get(options.workspace)?.weight ?? 1
  const share = total > 0 ? weight / total : 0
  return Math.max(1, Math.min(memberCount, Math.ceil(share * memberCount)))
}

function rotateSpread (ranked: readonly RankedMember[], spread: number, offset: number): RankedMember[] {
  const first = ranked.slice(0, spread)
  const start = spread > 0 ? offset % spread : 0
  return [...first.slice(start), ...first.slice(0, start), ...ranked.slice(spread)]
}

function computeDistance (options: RankAddressesOptions, member: RankedMember): number {
  if (options.region !== undefined && member.region !== options.region) return 2
  if (options.availabilityZone !== undefined && member.availabilityZone !== options.availabilityZone) return 1
  return 0
}

function createAddress (member: RankedMember): Address {
  return { instance: member.instance, url: member.url, availabilityZone: member.availabilityZone }
}
