import { type RelayTarget } from '../model/RelayTarget.js'

/** Instances that tell one another of their work, and their place among the groups of their availability zone. */
export interface InstanceGroup {
  /** Names of its instances, the own one included, sorted. */
  readonly instances: readonly string[]
  /** Number of the group, from 0. */
  readonly index: number
  /** Number of groups of the zone. */
  readonly count: number
}

/** An instance and its availability zone. */
export interface ZonedInstance {
  readonly instance: string
  readonly availabilityZone: string
}

/** Most instances of one group; a smaller fleet is one group. */
export const MAX_GROUP_SIZE = 12

/**
 * Divides the instances of a zone into groups of bounded size, each of which prefers engines of its own: what an instance
 * tells and hears does not grow with the fleet, and within a group all is known. Nothing depends on all seeing the same.
 * @param own - The own instance.
 * @param alive - Instances thought to be alive, the own one included or not.
 */
export function computeGroup (own: ZonedInstance, alive: readonly ZonedInstance[]): InstanceGroup {
  const all = new Map([...alive, own].map(member => [member.instance, member]))
  const names = (members: readonly ZonedInstance[]): string[] => members.map(({ instance }) => instance).sort()
  if (all.size <= MAX_GROUP_SIZE) return { instances: names([...all.values()]), index: 0, count: 1 }
  const zone = names([...all.values()].filter(({ availabilityZone }) => availabilityZone === own.availabilityZone))
  const count = Math.ceil(zone.length / MAX_GROUP_SIZE)
  const index = zone.indexOf(own.instance) % count
  return { instances: zone.filter((_, position) => position % count === index), index, count }
}

/**
 * Picks the targets that a group prefers: all of them where there is one group, else an even part of those in its zone.
 * @param group - The group.
 * @param availabilityZone - Its zone.
 * @param targets - The targets of a service.
 */
export function pickGroupTargets ({ index, count }: InstanceGroup, availabilityZone: string, targets: readonly RelayTarget[]): ReadonlySet<string> {
  if (count === 1) return new Set(targets.map(({ name }) => name))
  const localNames = targets.filter(target => target.availabilityZone === availabilityZone).map(({ name }) => name).sort()
  return new Set(localNames.filter((_, position) => position % count === index))
}
