import { HIGH_PRIORITY_SHARE } from '../credits/CreditCoordinator.js'
import { type CreditLedger } from '../credits/CreditLedger.js'
import { type Division } from '../policies/policies.js'
import { type Candidate, type PlacementNeed } from './Candidate.js'

/** What admission asks beside the candidate. */
export interface AdmissionContext {
  readonly ledger: CreditLedger
  /** Number of instances thought to be alive. */
  readonly instances: number
  /** Requests of one target that a fixed division allows for all instances together. */
  readonly fixedSequences: number | undefined
}

/** Prompt tokens that this instance lets a target compute at once. */
const MAX_PREFILL_TOKENS = 1024

/** Requests of high priority that one instance may have at a target without credit. */
const MAX_OVERDRAFT_SEQUENCES = 2

/** Share of its static share that an instance uses while the coordinator is silent. */
const BYPASS_SHARE = 0.8

/** Share of the memory that is filled when only reports are known. */
const REPORTS_SHARE = 0.9

/**
 * Checks whether a target admits a request now.
 * @param candidate - The target.
 * @param need - The request.
 * @param division - How capacity is divided.
 * @param context - What else is asked.
 */
export function canAdmit (candidate: Candidate, need: PlacementNeed, division: Division, context: AdmissionContext): boolean {
  if (candidate.own.count() >= candidate.allowance) return false
  if (division === 'fixed') return canAdmitFixed(candidate, need, context)
  if (need.priority === 'high' && canOverdraw(candidate)) return true
  const prefillTokens = candidate.own.getPrefillTokens()
  if (prefillTokens > 0 && prefillTokens + need.shape.promptTokens > MAX_PREFILL_TOKENS) return false
  return ADMISSIONS[division](candidate, need, context)
}

type Admission = (candidate: Candidate, need: PlacementNeed, context: AdmissionContext) => boolean

const ADMISSIONS: Record<Division, Admission> = {
  fixed: canAdmitFixed,
  credits: canAdmitByCredit,
  staticShares: (candidate, need, context) => canAdmitByShare(candidate, 1 / Math.max(1, context.instances)),
  reports: canAdmitByReport
}

function canAdmitFixed (candidate: Candidate, need: PlacementNeed, context: AdmissionContext): boolean {
  const sequences = context.fixedSequences ?? candidate.capacity.maxSequences
  return candidate.own.count() < Math.max(1, Math.ceil(sequences / Math.max(1, context.instances)))
}

function canAdmitByCredit (candidate: Candidate, need: PlacementNeed, context: AdmissionContext): boolean {
  const { name } = candidate.target
  const { own, needTokens } = candidate
  const bound = context.ledger.getBound(name)
  const hasCredit = own.count() + 1 <= bound.sequences && own.computePeakTokens() + needTokens <= bound.tokens
  if (hasCredit || !context.ledger.isBypassed(name)) return hasCredit
  return canAdmitByShare(candidate, BYPASS_SHARE / Math.max(1, context.instances)) && canAdmitByReport(candidate)
}

function canAdmitByShare (candidate: Candidate, share: number): boolean {
  const { own, needTokens, capacity } = candidate
  if (own.count() === 0) return true
  return own.count() + 1 <= Math.ceil(capacity.maxSequences * share) && own.computePeakTokens() + needTokens <= capacity.capacityTokens * share
}

function canAdmitByReport (candidate: Candidate): boolean {
  const { own, needTokens, capacity } = candidate
  const tokens = Math.max(capacity.usedTokens, own.computePeakTokens()) + needTokens
  const sequences = Math.max(capacity.reportedSequences, own.count()) + 1
  return tokens <= capacity.capacityTokens * REPORTS_SHARE && sequences <= capacity.maxSequences
}

/** Lets short requests of high priority use the part of a target that is kept free for them. */
function canOverdraw (candidate: Candidate): boolean {
  const { capacity, needTokens, own } = candidate
  return needTokens <= capacity.capacityTokens * HIGH_PRIORITY_SHARE / 2 && own.countHigh() < MAX_OVERDRAFT_SEQUENCES
}
