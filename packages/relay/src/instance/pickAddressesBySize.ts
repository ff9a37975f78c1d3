import { rankByWeightedRendezvous, sumValues } from '@fescuespoke/common'

/** How large an instance is; a part that is not known is absent. */
export interface InstanceSize {
  /** Processor cores that it may use. */
  readonly cores?: number
  readonly linkMbps?: number
}

/** An instance that callers may use. */
export interface AddressedInstance extends InstanceSize {
  readonly instance: string
  readonly url: string
}

/** Maximum number of addresses in one answer to a caller. */
export const MAX_ADDRESSES = 64

/** Minimum number of addresses, so that a caller whose instances end has others, and minimum share of the instances that are named, which bounds the load of each if all callers have the same address. */
const MIN_ADDRESSES = 8
const MIN_NAMED_SHARE = 0.5

/**
 * Picks the addresses for a caller. Larger instances are named to more callers, in proportion to their size, and earlier. A caller
 * address gets the same instances each time, apart from those that come and go. Where all sizes are equal or unknown, all instances are
 * named in their order.
 * @param instances - Instances that the caller may use, in a fixed order.
 * @param callerAddress - Address of the caller.
 */
export function pickAddressesBySize (instances: readonly AddressedInstance[], callerAddress: string): string[] {
  const weights = computeWeights(instances)
  const candidates = instances.map(({ instance, url }, index) => ({ name: instance, url, weight: weights[index]! }))
  if (weights.every(weight => weight === weights[0])) return listUrls(candidates, MAX_ADDRESSES)
  return listUrls(rankByWeightedRendezvous(callerAddress, candidates), computeCount(weights))
}

/** Computes weights by the cores; a link below the mean reduces them, since it limits what the cores can relay. An unknown part counts as the mean. */
function computeWeights (instances: readonly AddressedInstance[]): number[] {
  const cores = computeShares(instances.map(({ cores }) => cores))
  const links = computeShares(instances.map(({ linkMbps }) => linkMbps))
  return instances.map((_, index) => cores[index]! * Math.min(1, links[index]!))
}

/** Computes each size relative to the mean of those that are known. */
function computeShares (sizes: ReadonlyArray<number | undefined>): number[] {
  const known = sizes.filter(isSize)
  const mean = sumValues(known, size => size) / known.length
  return sizes.map(size => isSize(size) ? size / mean : 1)
}

function isSize (size: number | undefined): size is number {
  return size !== undefined && Number.isFinite(size) && size > 0
}

/** Computes how many instances are named: as many as the largest one fits into all of them, so that it is not named too rarely. */
function computeCount (weights: readonly number[]): number {
  const fitting = Math.floor(sumValues(weights, weight => weight) / Math.max(...weights))
  return Math.min(MAX_ADDRESSES, Math.max(MIN_ADDRESSES, Math.ceil(weights.length * MIN_NAMED_SHARE), fitting))
}

function listUrls (instances: ReadonlyArray<{ readonly url: string }>, count: number): string[] {
  return instances.slice(0, count).map(({ url }) => url)
}
