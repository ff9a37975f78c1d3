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
import { computeScore, describePick, pickCandidate } from './pickCandidate.js'
import { type LocalLoad } from './LocalLoad.js'

/** Options of a picker. */
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
  /** Lists the targets of a request's service that this instance considers. */
  readonly listSubset: (request: PlacementRequest) => readonly Target[]
  readonly fixedSequences: number | undefined
  readonly nowMs: () => number
}

/** A target that admits a request. */
export interface PickedTarget {
  readonly candidate: Candidate
  readonly detail: string
}

/** Age at which what the coordinator told of a target no longer counts. */
const MAX_PEER_LOAD_AGE_MS = 3000

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
    const { stateCache } = this.options
    const servingModels = this.resolveServingModels(request)
    return this.options.listSubset(request).filter(({ name }) =>
      !request.failedTargets.includes(name) && !stateCache.isLeaving(name) && (servingModels === undefined || servingModels.has(name)))
  }

  /**
   * Gets the model that a target runs for a request; nothing for calls.
   * @param request - The request.
   * @param target - Name of the target.
   */
  getServingModel (request: PlacementRequest, target: string): ModelReference | undefined {
    return this.resolveServingModels(request)?.get(target)
  }

  /**
   * Picks a target that admits a request now, if there is one.
   * @param request - The request.
   * @param requirements - What it needs.
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
   * Ranks the targets that have no room for a request by how well they would suit it.
   * @param request - The request.
   * @param requirements - What it needs.
   */
  rankCandidates (request: PlacementRequest, requirements: PlacementRequirements): Candidate[] {
    const candidates = this.listCandidates(request, requirements).filter(candidate => candidate.localLoad.count() < candidate.concurrencyLimit)
    const scored = candidates.map(candidate => ({ candidate, score: computeScore(candidate) }))
    return scored.sort((a, b) => a.score - b.score).map(({ candidate }) => candidate)
  }

  /**
   * Gets how the capacity of a request's targets is divided.
   * @param request - The request.
   */
  getCapacityAllocation (request: PlacementRequest): CapacityAllocation {
    const { capacityAllocation: division } = this.options.policy
    return request.service.kind === 'call' && division !== 'fixed' ? 'staticShares' : division
  }

  private resolveServingModels ({ runs, service }: PlacementRequest): ReadonlyMap<string, ModelReference> | undefined {
    if (runs === undefined) return undefined
    return computeServingModels(runs, service.copies, this.options.stateCache.getHeldModels(service.targets))
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
