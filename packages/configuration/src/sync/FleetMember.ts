import { rankByRendezvous } from '@fescuespoke/common'

/** An instance that is considered alive. */
export interface FleetMember {
  readonly instance: string
  readonly availabilityZone: string
}

/** Number of watchers in each availability zone. Watchers read the platform on behalf of the other instances. */
const WATCHERS_PER_ZONE = 2

/** Number of instances below which every instance is a watcher. */
const MIN_WATCHER_FLEET_SIZE = 8

/**
 * Picks the watchers of an availability zone by rendezvous hashing. Watchers read the platform on behalf of the other
 * instances.
 * @param subject - Name of the data that is read; part of the hash input.
 * @param members - All instances that are considered alive.
 * @param availabilityZone - The zone.
 * @returns Names of the watchers; all instances in a small fleet.
 */
export function pickWatchers (subject: string, members: readonly FleetMember[], availabilityZone: string): string[] {
  if (members.length < MIN_WATCHER_FLEET_SIZE) return members.map(member => member.instance)
  const names = members.filter(member => member.availabilityZone === availabilityZone).map(member => member.instance)
  return rankByRendezvous(`${subject}/${availabilityZone}`, names).slice(0, WATCHERS_PER_ZONE)
}
