import { type QueueOrder } from '../queue/FairQueue.js'

/** Strategy that picks one of the targets that admit a request. */
export type PickStrategy = 'random' | 'leastInFlight' | 'powerOfTwo' | 'projected'

/** How the capacity of a target is allocated to instances: a fixed number of requests, credits from a coordinator, equal static shares, or the target's state reports alone. */
export type CapacityAllocation = 'fixed' | 'credits' | 'staticShares' | 'reports'

/** How memory use is projected: from the survival function of the output length, or by the current use only. */
export type MemoryProjection = 'survival' | 'current'

/** When a queued request is refused: as soon as it cannot succeed, or at its deadline. */
export type RefusalTiming = 'early' | 'deadline'

/** Scheduling policy. */
export interface Policy {
  readonly pickStrategy: PickStrategy
  readonly capacityAllocation: CapacityAllocation
  readonly projection: MemoryProjection
  readonly queueOrder: QueueOrder
  readonly refusalTiming: RefusalTiming
  /** Whether targets that have cached the prompt prefix are preferred. */
  readonly usesAffinity: boolean
  /** Whether callers receive ranked addresses. Otherwise they use any instance. */
  readonly ranksAddresses: boolean
  /** Whether targets that are slow but do not fail are excluded. */
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

/** Policies by name: the default policy, the baseline policies, and variants of the default policy with one feature disabled or replaced. */
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
 * Returns the policy with a name, or the default policy if the name is unknown or absent.
 * @param name - Name of the policy.
 */
export function getPolicy (name: string | undefined): Policy {
  return POLICIES[name ?? 'default'] ?? DEFAULT_POLICY
}
