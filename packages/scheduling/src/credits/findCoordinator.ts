import { rankByRendezvous, type Target } from '@fescuespoke/common'

/** Instance that the membership reports as alive. */
export interface AliveInstance {
  readonly instance: string
  readonly availabilityZone: string
  readonly region: string
}

/**
 * Returns the coordinator of a target: the first by rendezvous hashing over the alive instances nearest to it; undefined if there are none.
 * @param target - The target.
 * @param instances - Instances that are alive.
 */
export function findCoordinator (target: Target, instances: readonly AliveInstance[]): string | undefined {
  const inSameZone = instances.filter(({ availabilityZone, region }) => availabilityZone === target.availabilityZone && region === target.region)
  const inSameRegion = instances.filter(({ region }) => region === target.region)
  const nearestInstances = [inSameZone, inSameRegion, instances].find(list => list.length > 0) ?? []
  return rankByRendezvous(target.name, nearestInstances.map(({ instance }) => instance))[0]
}
