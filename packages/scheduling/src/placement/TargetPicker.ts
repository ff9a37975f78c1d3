import { computeServingModels, type ModelReference, type Random, type Target } from '@fescuespoke/common'
import { type PrefixViews } from '../affinity/PrefixViews.js'
import { type CreditLedger } from '../credits/CreditLedger.js'
import { type TargetHealth } from '../health/TargetHealth.js'
import { type Division, type Policy } from '../policies/policies.js'
import { type PlacementRequest } from '../Scheduler.js'
import { type TargetCapacities } from '../targets/TargetCapacities.js'
import { type TargetDirectory } from '../targets/TargetDirectory.js'
import { canAdmit } from './admission.js'
import { type Candidate, type PlacementNeed } from './Candidate.js'
import { computeScore, explainChoice, pickCandidate } from './choices.js'
import { type OwnLoad } from './OwnLoad.js'

/** Options of a picker. */
export interface TargetPickerOptions {
  readonly policy: Policy
  readonly random: Random
  readonly availabilityZone: string
  readonly directory: TargetDirectory
  readonly capacities: TargetCapacities
  readonly health: TargetHealth
  readonly prefixes: PrefixViews
  readonly ledger: CreditLedger
  readonly getOwnLoad: (target: string) => OwnLoad
  readonly countInstances: () => number
  /** Lists the targets of a request's service that this instance considers. */
  readonly listConsidered: (request: PlacementRequest) => readonly Target[]
  readonly fixedSequences: number | undefined
  readonly nowMs: () => number
}

/** A target that admits a request. */
export interface PickedTarget {
  readonly candidate: Candidate
  readonly detail: string
}

/** Age at which what the coordinator told of a target no longer counts. */
const MAX_TOTALS_AGE_MS = 3000

/** Picks the target of a request. */
export class TargetPicker {
  /**
   * Creates a picker.
   * @param options - Options.
   */
  static create (options: TargetPickerOptions): TargetPicker {
    return new TargetPicker(options)
  }

  /** @internal */
  private constructor (private readonly options: TargetPickerOptions) {}

  /**
   * Lists the targets that a request could ever use, whether they have room or not.
   * @param request - The request.
   */
  listUsable (request: PlacementRequest): Target[] {
    const { directory } = this.options
    const serving = this.computeServing(request)
    return this.options.listConsidered(request).filter(({ name }) =>
      !request.failedTargets.includes(name) && !directory.isLeaving(name) && (serving === undefined || serving.has(name)))
  }

  /**
   * Gets the model that a target runs for a request; nothing for calls.
   * @param request - The request.
   * @param target - Name of the target.
   */
  getServingModel (request: PlacementRequest, target: string): ModelReference | undefined {
    return this.computeServing(request)?.get(target)
  }

  /**
   * Picks a target that admits a request now, if there is one.
   * @param request - The request.
   * @param need - What it needs.
   */
  pickTarget (request: PlacementRequest, need: PlacementNeed): PickedTarget | undefined {
    const candidates = this.listCandidates(request, need)
    const context = { ledger: this.options.ledger, instances: this.options.countInstances(), fixedSequences: this.options.fixedSequences }
    const division = this.getDivision(request)
    const admitting = candidates.filter(candidate => canAdmit(candidate, need, division, context))
    const { choice } = this.options.policy
    const candidate = pickCandidate(choice, admitting, this.options.random)
    return candidate && { candidate, detail: explainChoice(choice, candidate, admitting.length, candidates.length) }
  }

  /**
   * Ranks the targets that have no room for a request by how well they would suit it.
   * @param request - The request.
   * @param need - What it needs.
   */
  rankCandidates (request: PlacementRequest, need: PlacementNeed): Candidate[] {
    const candidates = this.listCandidates(request, need).filter(candidate => candidate.own.count() < candidate.allowance)
    const scored = candidates.map(candidate => ({ candidate, score: computeScore(candidate) }))
    return scored.sort((a, b) => a.score - b.score).map(({ candidate }) => candidate)
  }

  /**
   * Gets how the capacity of a request's targets is divided.
   * @param request - The request.
   */
  getDivision (request: PlacementRequest): Division {
    const { division } = this.options.policy
    return request.service.kind === 'call' && division !== 'fixed' ? 'staticShares' : division
  }

  private computeServing ({ runs, service }: PlacementRequest): ReadonlyMap<string, ModelReference> | undefined {
    if (runs === undefined) return undefined
    return computeServingModels(runs, service.copies, this.options.directory.getHeldModels(service.targets))
  }

  private listCandidates (request: PlacementRequest, need: PlacementNeed): Candidate[] {
    return this.listUsable(request).map(target => this.createCandidate(target, request, need))
  }

  private createCandidate (target: Target, request: PlacementRequest, need: PlacementNeed): Candidate {
    const { capacities, ledger, prefixes, policy, health } = this.options
    const own = this.options.getOwnLoad(target.name)
    const capacity = capacities.getCapacity(target.name)
    const totals = ledger.getTotals(target.name)
    const isKnown = totals !== undefined && this.options.nowMs() - totals.atMs < MAX_TOTALS_AGE_MS
    const ownTokens = own.computePeakTokens()
    return {
      target,
      capacity,
      own,
      needTokens: request.service.kind === 'call' ? 0 : own.estimateNeed(need.shape),
      totalTokens: isKnown ? totals.tokens + ownTokens : Math.max(capacity.usedTokens, ownTokens),
      totalSequences: isKnown ? totals.sequences + own.count() : Math.max(capacity.reportedSequences, own.count()),
      hasPrefix: policy.usesAffinity && request.prefix !== undefined && prefixes.hasPrefix(target.name, request.prefix),
      isSameZone: target.availabilityZone === this.options.availabilityZone,
      allowance: health.getAllowance(target.name)
    }
  }
}
