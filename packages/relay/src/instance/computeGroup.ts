import { sumValues } from '@fescuespoke/common'
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

/** A target in the share of a group. */
interface SharedTarget {
  readonly name: string
  readonly speed: number
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
 * Picks the targets that a group prefers: all targets when there is a single group, otherwise a share of those in its zone. Shares are
 * equal by the sum of speeds. Few targets change their group when a speed changes, since other groups may not know of it.
 * @param group - The group.
 * @param availabilityZone - Availability zone of the group.
 * @param targets - The targets of a service.
 * @param getSpeed - Returns the relative speed of a target; by default all are equal.
 */
export function pickGroupTargets ({ index, count }: InstanceGroup, availabilityZone: string, targets: readonly RelayTarget[], getSpeed: (target: RelayTarget) => number = () => 1): ReadonlySet<string> {
  if (count === 1) return new Set(targets.map(({ name }) => name))
  const local = targets.filter(target => target.availabilityZone === availabilityZone).sort((a, b) => a.name < b.name ? -1 : 1)
  const pickShare = (group: number): RelayTarget[] => local.filter((_, position) => position % count === group)
  if (local.every(target => getSpeed(target) === 1)) return new Set(pickShare(index).map(({ name }) => name))
  const shares = Array.from({ length: count }, (_, group) => pickShare(group).map(target => ({ name: target.name, speed: getSpeed(target) })))
  balanceShares(shares)
  return new Set(shares[index]!.map(({ name }) => name))
}

/** Moves single targets from the group with the most speed to the one with the least, as long as this brings them nearer to each other. */
function balanceShares (shares: SharedTarget[][]): void {
  for (let moves = shares.flat().length; moves > 0; moves--) {
    const sorted = [...shares].sort((a, b) => sumSpeeds(a) - sumSpeeds(b))
    const [least, most] = [sorted[0]!, sorted.at(-1)!]
    const moved = pickMoved(most, sumSpeeds(most) - sumSpeeds(least))
    if (moved === undefined) return
    most.splice(most.indexOf(moved), 1)
    least.push(moved)
  }
}

/** Picks the target whose move leaves the smallest difference; undefined when any move leaves a difference as large as before. */
function pickMoved (share: readonly SharedTarget[], difference: number): SharedTarget | undefined {
  const computeRest = ({ speed }: SharedTarget): number => Math.abs(difference - 2 * speed)
  const useful = share.filter(({ speed }) => speed < difference)
  return useful.reduce<SharedTarget | undefined>((best, target) => best === undefined || computeRest(target) < computeRest(best) ? target : best, undefined)
}

function sumSpeeds (share: readonly SharedTarget[]): number {
  return sumValues(share, ({ speed }) => speed)
}
