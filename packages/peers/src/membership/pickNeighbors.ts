import murmurhash from 'murmurhash'

/** Number of other members up to which all of them are neighbors. */
export const MAX_FULLY_PROBED_MEMBERS = 16

/**
 * Picks the members that an instance probes, so that the number of its connections grows with the logarithm of the fleet. In a large
 * fleet, these are the members at distances of 1, 2, 4 and so on after the instance, in the order of their hashed names. Each member
 * is therefore probed by as many others, and gossip reaches all members in a logarithmic number of steps.
 * Source of the distances: I. Stoica et al., "Chord: a scalable peer-to-peer lookup service for internet applications", 2001.
 * @param instance - Name of the instance.
 * @param members - Names of the other members.
 * @internal
 */
export function pickNeighbors (instance: string, members: readonly string[]): readonly string[] {
  if (members.length <= MAX_FULLY_PROBED_MEMBERS) return members
  const origin = murmurhash.v3(instance)
  const ring = members.map(name => ({ name, distance: (murmurhash.v3(name) - origin) >>> 0 })).sort((a, b) => a.distance - b.distance || (a.name < b.name ? -1 : 1))
  const neighbors: string[] = []
  for (let distance = 1; distance <= ring.length; distance *= 2) neighbors.push(ring[distance - 1]!.name)
  return neighbors
}
