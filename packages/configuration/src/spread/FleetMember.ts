import { rankByRendezvous } from '@fescuespoke/common'

/** An instance that is thought alive. */
export interface FleetMember {
  readonly instance: string
  readonly availabilityZone: string
}

/** Number of instances in each availability zone that read the platform for the others. */
const WATCHERS_PER_ZONE = 2

/** Size of the fleet below which every instance reads the platform itself. */
const MIN_WATCHER_FLEET_SIZE = 8

/**
 * Picks the instances of an availability zone that read the platform for the others, by rendezvous hashing.
 * @param subject - What is read.
 * @param members - All instances thought alive.
 * @param availabilityZone - The zone.
 */
export function pickWatchers (subject: string, members: readonly FleetMember[], availabilityZone: string): string[] {
  if (members.length < MIN_WATCHER_FLEET_SIZE) return members.map(member => member.instance)
  const names = members.filter(member => member.availabilityZone === availabilityZone).map(member => member.instance)
  return rankByRendezvous(`${subject}/${availabilityZone}`, names).slice(0, WATCHERS_PER_ZONE)
}
