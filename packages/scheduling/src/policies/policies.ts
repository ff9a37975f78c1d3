import { type QueueOrder } from '../queue/FairQueue.js'

/** How a target is chosen among those that admit a request. */
export type Choice = 'random' | 'leastInFlight' | 'powerOfTwo' | 'projected'

/** How a target's capacity is divided: a fixed number of requests, credits of a coordinator, equal static shares, or by reports alone. */
export type Division = 'fixed' | 'credits' | 'staticShares' | 'reports'

/** How memory is projected: over the survival of each output, or not at all. */
export type Projection = 'survival' | 'current'

/** When a waiting request is refused: as soon as it cannot succeed, or at its deadline. */
export type Refusal = 'early' | 'deadline'

/** What a policy is made of. */
export interface Policy {
  readonly choice: Choice
  readonly division: Division
  readonly projection: Projection
  readonly order: QueueOrder
  readonly refusal: Refusal
  /** Whether requests prefer targets that hold their prompt prefix. */
  readonly usesAffinity: boolean
  /** Whether callers are told ranked addresses; otherwise they pick any instance. */
  readonly ranksAddresses: boolean
  /** Whether targets that are slow without failing are excluded. */
  readonly excludesSlow: boolean
}

const BASELINE: Policy = {
  choice: 'random',
  division: 'fixed',
  projection: 'current',
  order: 'arrival',
  refusal: 'deadline',
  usesAffinity: false,
  ranksAddresses: false,
  excludesSlow: false
}

const DEFAULT: Policy = {
  choice: 'projected',
  division: 'credits',
  projection: 'survival',
  order: 'fair',
  refusal: 'early',
  usesAffinity: true,
  ranksAddresses: true,
  excludesSlow: true
}

/** Policies by name: the product's own, the baselines, and the product's own with one part switched off or replaced. */
export const POLICIES: Readonly<Record<string, Policy>> = {
  default: DEFAULT,
  random: BASELINE,
  leastInFlight: { ...BASELINE, choice: 'leastInFlight' },
  powerOfTwo: { ...BASELINE, choice: 'powerOfTwo' },
  'default-noAddressRanking': { ...DEFAULT, ranksAddresses: false },
  'default-noCoordinator': { ...DEFAULT, division: 'staticShares' },
  'default-noProjection': { ...DEFAULT, projection: 'current' },
  'default-noAffinity': { ...DEFAULT, usesAffinity: false },
  'default-noFairness': { ...DEFAULT, order: 'arrival' },
  'default-noEarlyRefusal': { ...DEFAULT, refusal: 'deadline' },
  'default-noExclusion': { ...DEFAULT, excludesSlow: false },
  'default-reports': { ...DEFAULT, division: 'reports' }
}

/**
 * Gets a policy by its name; an unknown name gives the default.
 * @param name - Name of the policy.
 */
export function getPolicy (name: string | undefined): Policy {
  return POLICIES[name ?? 'default'] ?? DEFAULT
}
