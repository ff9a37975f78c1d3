import { computeServingModels, type ModelReference, type Random, type Target } from '@fescuespoke/common'
import { type PrefixCacheIndex } from '../affinity/PrefixCacheIndex.js'
import { type CreditClient } from '../credits/CreditClient.js'
import { type TargetHealth } from '../health/TargetHealth.js'
import { type CapacityAllocation, type Policy } from '../policies/policies.js'
import { type PlacementRequest } from '../Scheduler.js'
import { type TargetCapacities } from '../targets/TargetCapacities.js'
import { type TargetStateCache } from '../targets/TargetStateCache.js'
import { canAdmit } from './admission.js'
import { type Candidate, type PlacementRequirements } from './Candidate.js'
import { type LocalLoad } from './LocalLoad.js'
import { computeScore, describePick, pickCandidate } from './pickCandidate.js'

/** Options of a target picker. */
export interface TargetPickerOptions {
  readonly policy: Policy
  readonly random: Random
  readonly availabilityZone: string
  readonly stateCache: TargetStateCache
  readonly capacities: TargetCapacities
  readonly health: TargetHealth
  readonly prefixIndex: PrefixCacheIndex
  readonly creditClient: CreditClient
  readonly getLocalLoad: (target: string) => LocalLoad
  readonly countInstances: () => number
  /** Returns the targets of a request's service that this instance uses. */
  readonly listSubset: (request: PlacementRequest) => readonly Target[]
  readonly fixedSequences: number | undefined
  readonly nowMs: () => number
}

/** Target that was picked for a request. */
export interface PickedTarget {
  readonly candidate: Candidate
  readonly detail: string
}

/** Age from which the load of other instances, as reported by the coordinator, is ignored. */
const MAX_PEER_LOAD_AGE_MS = 3000

/** Picks targets for requests. */
export class TargetPicker {
  /**
   * Creates a target picker.
   * @param options - Options.
   */
  static create (options: TargetPickerOptions): TargetPicker {
    return new TargetPicker(options)
  }

  /** @internal */
  private constructor (private readonly options: TargetPickerOptions) {}

  /**
   * Returns the targets that can serve a request, whether or not they have capacity now.
   * @param request - The request.
   */
  listUsable (request: PlacementRequest): Target[] {
    const { stateCache } = this.options
    const servingModels = this.resolveServingModels(request)
    return this.options.listSubset(request).filter(({ name }) =>
      !request.failedTargets.includes(name) && !stateCache.isLeaving(name) && (servingModels === undefined || servingModels.has(name)))
  }

  /**
   * Returns the model that a target runs for a request; undefined for calls and for a target without a suitable model.
   * @param request - The request.
   * @param target - Name of the target.
   */
  getServingModel (request: PlacementRequest, target: string): ModelReference | undefined {
    return this.resolveServingModels(request)?.get(target)
  }

  /**
   * Picks a target that admits a request now; undefined if there is none.
   * @param request - The request.
   * @param requirements - Requirements of the request.
   */
  pickTarget (request: PlacementRequest, requirements: PlacementRequirements): PickedTarget | undefined {
    const candidates = this.listCandidates(request, requirements)
    const context = { creditClient: this.options.creditClient, instanceCount: this.options.countInstances(), fixedSequences: this.options.fixedSequences }
    const capacityAllocation = this.getCapacityAllocation(request)
    const admitting = candidates.filter(candidate => canAdmit(candidate, requirements, capacityAllocation, context))
    const { pickStrategy } = this.options.policy
    const candidate = pickCandidate(pickStrategy, admitting, this.options.random)
    return candidate && { candidate, detail: describePick(pickStrategy, candidate, admitting.length, candidates.length) }
  }

  /**
   * Returns the candidate targets of a request, ordered from the lowest to the highest score. Targets at their concurrency limit are left out.
   * @param request - The request.
   * @param requirements - Requirements of the request.
   */
  rankCandidates (request: PlacementRequest, requirements: PlacementRequirements): Candidate[] {
    const candidates = this.listCandidates(request, requirements).filter(candidate => candidate.localLoad.count() < candidate.concurrencyLimit)
    const scored = candidates.map(candidate => ({ candidate, score: computeScore(candidate) }))
    return scored.sort((a, b) => a.score - b.score).map(({ candidate }) => candidate)
  }

  /**
   * Returns how the capacity of the request's targets is allocated to instances.
   * @param request - The request.
   */
  getCapacityAllocation (request: PlacementRequest): CapacityAllocation {
    const { capacityAllocation } = this.options.policy
    return request.service.kind === 'call' && capacityAllocation !== 'fixed' ? 'staticShares' : capacityAllocation
  }

  private resolveServingModels ({ modelReference, service }: PlacementRequest): ReadonlyMap<string, ModelReference> | undefined {
    if (modelReference === undefined) return undefined
    return computeServingModels(modelReference, service.copies, this.options.stateCache.getReportedModels(service.targets))
  }

  private listCandidates (request: PlacementRequest, requirements: PlacementRequirements): Candidate[] {
    return this.listUsable(request).map(target => this.createCandidate(target, request, requirements))
  }

  private createCandidate (target: Target, request: PlacementRequest, requirements: PlacementRequirements): Candidate {
    const { capacities, creditClient, prefixIndex, policy, health } = this.options
    const localLoad = this.options.getLocalLoad(target.name)
    const capacity = capacities.getCapacity(target.name)
    const peerLoad = creditClient.getPeerLoad(target.name)
    const isPeerLoadFresh = peerLoad !== undefined && this.options.nowMs() - peerLoad.receivedAtMs < MAX_PEER_LOAD_AGE_MS
    const localTokens = localLoad.computePeakTokens()
    return {
      target,
      capacity,
      localLoad,
      requiredTokens: request.service.kind === 'call' ? 0 : localLoad.estimatePeakTokens(requirements.shape),
      totalTokens: isPeerLoadFresh ? peerLoad.tokens + localTokens : Math.max(capacity.usedTokens, localTokens),
      totalSequences: isPeerLoadFresh ? peerLoad.sequences + localLoad.count() : Math.max(capacity.reportedSequences, localLoad.count()),
      hasPrefix: policy.usesAffinity && request.prefix !== undefined && prefixIndex.hasPrefix(target.name, request.prefix),
      isSameZone: target.availabilityZone === this.options.availabilityZone,
      concurrencyLimit: health.getConcurrencyLimit(target.name)
    }
  }
}
