import { type RelayTarget } from '../model/RelayTarget.js'

/** Instances that exchange their loads, and the index of their group in its availability zone. */
export interface InstanceGroup {
  /** Sorted names of its instances, including this one. */
  readonly instances: readonly string[]
  /** Index of the group, from 0. */
  readonly index: number
  /** Number of groups in the zone. */
  readonly count: number
}

/** An instance and its availability zone. */
export interface ZonedInstance {
  readonly instance: string
  readonly availabilityZone: string
}

/** Maximum number of instances in a group; a fleet up to this size forms a single group. */
export const MAX_GROUP_SIZE = 12

/**
 * Divides the instances of an availability zone into groups of bounded size. Each group prefers its own subset of engines, so that
 * the messages per instance do not grow with the fleet and all loads within a group are known. Instances need not agree about the
 * groups.
 * @param thisInstance - This instance.
 * @param alive - Instances that are considered alive, with or without this one.
 */
export function computeGroup (thisInstance: ZonedInstance, alive: readonly ZonedInstance[]): InstanceGroup {
  const all = new Map([...alive, thisInstance].map(member => [member.instance, member]))
  const sortNames = (members: readonly ZonedInstance[]): string[] => members.map(({ instance }) => instance).sort()
  if (all.size <= MAX_GROUP_SIZE) return { instances: sortNames([...all.values()]), index: 0, count: 1 }
  const zone = sortNames([...all.values()].filter(({ availabilityZone }) => availabilityZone === thisInstance.availabilityZone))
  const count = Math.ceil(zone.length / MAX_GROUP_SIZE)
  const index = zone.indexOf(thisInstance.instance) % count
  return { instances: zone.filter((_, position) => position % count === index), index, count }
}

/**
 * Picks the targets that a group prefers: all targets when there is a single group, otherwise an equal share of those in its zone.
 * @param group - The group.
 * @param availabilityZone - Availability zone of the group.
 * @param targets - The targets of a service.
 */
export function pickGroupTargets ({ index, count }: InstanceGroup, availabilityZone: string, targets: readonly RelayTarget[]): ReadonlySet<string> {
  if (count === 1) return new Set(targets.map(({ name }) => name))
  const localNames = targets.filter(target => target.availabilityZone === availabilityZone).map(({ name }) => name).sort()
  return new Set(localNames.filter((_, position) => position % count === index))
}
