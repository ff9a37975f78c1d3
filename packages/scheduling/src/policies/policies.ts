import { type QueueOrder } from '../queue/FairQueue.js'

/** How a target is chosen among those that admit a request. */
export type PickStrategy = 'random' | 'leastInFlight' | 'powerOfTwo' | 'projected'

/** How a target's capacity is divided: a fixed number of requests, credits of a coordinator, equal static shares, or by reports alone. */
export type CapacityAllocation = 'fixed' | 'credits' | 'staticShares' | 'reports'

/** How memory is projected: over the survival of each output, or not at all. */
export type MemoryProjection = 'survival' | 'current'

/** When a waiting request is refused: as soon as it cannot succeed, or at its deadline. */
export type RefusalTiming = 'early' | 'deadline'

/** What a policy is made of. */
export interface Policy {
  readonly pickStrategy: PickStrategy
  readonly capacityAllocation: CapacityAllocation
  readonly projection: MemoryProjection
  readonly queueOrder: QueueOrder
  readonly refusalTiming: RefusalTiming
  /** Whether requests prefer targets that hold their prompt prefix. */
  readonly usesAffinity: boolean
  /** Whether callers are told ranked addresses; otherwise they pick any instance. */
  readonly ranksAddresses: boolean
  /** Whether targets that are slow without failing are excluded. */
  readonly excludesSlowTargets: boolean
}

const BASELINE_POLICY: Policy = {
  pickStrategy: 'random',
  capacityAllocation: 'fixed',
  projection: 'current',
  queueOrder: 'arrival',
  refusalTiming: 'deadline',
  usesAffinity: false,
  ranksAddresses: false,
  excludesSlowTargets: false
}

const DEFAULT_POLICY: Policy = {
  pickStrategy: 'projected',
  capacityAllocation: 'credits',
  projection: 'survival',
  queueOrder: 'fair',
  refusalTiming: 'early',
  usesAffinity: true,
  ranksAddresses: true,
  excludesSlowTargets: true
}

/** Policies by name: the product's own, the baselines, and the product's own with one part switched off or replaced. */
export const POLICIES: Readonly<Record<string, Policy>> = {
  default: DEFAULT_POLICY,
  random: BASELINE_POLICY,
  leastInFlight: { ...BASELINE_POLICY, pickStrategy: 'leastInFlight' },
  powerOfTwo: { ...BASELINE_POLICY, pickStrategy: 'powerOfTwo' },
  'default-noAddressRanking': { ...DEFAULT_POLICY, ranksAddresses: false },
  'default-noCoordinator': { ...DEFAULT_POLICY, capacityAllocation: 'staticShares' },
  'default-noProjection': { ...DEFAULT_POLICY, projection: 'current' },
  'default-noAffinity': { ...DEFAULT_POLICY, usesAffinity: false },
  'default-noFairness': { ...DEFAULT_POLICY, queueOrder: 'arrival' },
  'default-noEarlyRefusal': { ...DEFAULT_POLICY, refusalTiming: 'deadline' },
  'default-noExclusion': { ...DEFAULT_POLICY, excludesSlowTargets: false },
  'default-reports': { ...DEFAULT_POLICY, capacityAllocation: 'reports' }
}

/**
 * Gets a policy by its name; an unknown name gives the default.
 * @param name - Name of the policy.
 */
export function getPolicy (name: string | undefined): Policy {
  return POLICIES[name ?? 'default'] ?? DEFAULT_POLICY
}
