import { type CreditClient } from '../credits/CreditClient.js'
import { HIGH_PRIORITY_RESERVE_FRACTION } from '../credits/CreditCoordinator.js'
import { type CapacityAllocation } from '../policies/policies.js'
import { type Candidate, type PlacementRequirements } from './Candidate.js'

/** Data that admission uses in addition to the candidate. */
export interface AdmissionContext {
  readonly creditClient: CreditClient
  /** Number of instances that are alive. */
  readonly instanceCount: number
  /** Maximum number of concurrent requests at one target over all instances, for the fixed allocation. */
  readonly fixedSequences: number | undefined
}

/** Maximum number of prompt tokens of this instance in prefill at one target. */
const MAX_PREFILL_TOKENS = 1024

/** Maximum number of high-priority requests of one instance that may use the reserve of a target without credit. */
const MAX_RESERVE_SEQUENCES = 2

/** Fraction of its static share that an instance uses while the coordinator does not answer. */
const BYPASS_FRACTION = 0.8

/** Fraction of the memory that may be filled when admission relies on state reports alone. */
const REPORTED_MEMORY_FRACTION = 0.9

/**
 * Checks whether a target admits a request now.
 * @param candidate - The candidate target.
 * @param requirements - Requirements of the request.
 * @param capacityAllocation - How capacity is allocated to instances.
 * @param context - Further data for the check.
 */
export function canAdmit (candidate: Candidate, requirements: PlacementRequirements, capacityAllocation: CapacityAllocation, context: AdmissionContext): boolean {
  if (candidate.localLoad.count() >= candidate.concurrencyLimit) return false
  if (capacityAllocation === 'fixed') return canAdmitByFixedLimit(candidate, requirements, context)
  if (requirements.priority === 'high' && canUseReserve(candidate)) return true
  const prefillTokens = candidate.localLoad.getPrefillTokens()
  if (prefillTokens > 0 && prefillTokens + requirements.shape.promptTokens > MAX_PREFILL_TOKENS) return false
  return ADMISSION_CHECKS[capacityAllocation](candidate, requirements, context)
}

type AdmissionCheck = (candidate: Candidate, requirements: PlacementRequirements, context: AdmissionContext) => boolean

const ADMISSION_CHECKS: Record<CapacityAllocation, AdmissionCheck> = {
  fixed: canAdmitByFixedLimit,
  credits: canAdmitByCredit,
  staticShares: (candidate, requirements, context) => canAdmitByShare(candidate, 1 / Math.max(1, context.instanceCount)),
  reports: canAdmitByReport
}

function canAdmitByFixedLimit (candidate: Candidate, requirements: PlacementRequirements, context: AdmissionContext): boolean {
  const sequences = context.fixedSequences ?? candidate.capacity.maxSequences
  return candidate.localLoad.count() < Math.max(1, Math.ceil(sequences / Math.max(1, context.instanceCount)))
}

function canAdmitByCredit (candidate: Candidate, requirements: PlacementRequirements, context: AdmissionContext): boolean {
  const { name } = candidate.target
  const { localLoad, requiredTokens } = candidate
  const limit = context.creditClient.getLimit(name)
  const hasCredit = localLoad.count() + 1 <= limit.sequences && localLoad.computePeakTokens() + requiredTokens <= limit.tokens
  if (hasCredit || !context.creditClient.isBypassed(name)) return hasCredit
  return canAdmitByShare(candidate, BYPASS_FRACTION / Math.max(1, context.instanceCount)) && canAdmitByReport(candidate)
}

function canAdmitByShare (candidate: Candidate, share: number): boolean {
  const { localLoad, requiredTokens, capacity } = candidate
  if (localLoad.count() === 0) return true
  return localLoad.count() + 1 <= Math.ceil(capacity.maxSequences * share) && localLoad.computePeakTokens() + requiredTokens <= capacity.capacityTokens * share
}

function canAdmitByReport (candidate: Candidate): boolean {
  const { localLoad, requiredTokens, capacity } = candidate
  const tokens = Math.max(capacity.usedTokens, localLoad.computePeakTokens()) + requiredTokens
  const sequences = Math.max(capacity.reportedSequences, localLoad.count()) + 1
  return tokens <= capacity.capacityTokens * REPORTED_MEMORY_FRACTION && sequences <= capacity.maxSequences
}

/** Checks whether a request of high priority is small enough to use the capacity reserved for high priority. */
function canUseReserve (candidate: Candidate): boolean {
  const { capacity, requiredTokens, localLoad } = candidate
  return requiredTokens <= capacity.capacityTokens * HIGH_PRIORITY_RESERVE_FRACTION / 2 && localLoad.countHighPriority() < MAX_RESERVE_SEQUENCES
}
