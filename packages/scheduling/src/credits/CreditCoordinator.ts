import { type Clock, sumValues } from '@fescuespoke/common'
import { type CreditAnswer, type CreditRequest } from '@fescuespoke/schema'
import { addProfile, computePeak, createEmptyProfile, HORIZON_STEPS, type MemoryProfile } from '../admission/MemoryProfile.js'
import { type TargetCapacity } from '../targets/TargetCapacities.js'

/** Options of a credit coordinator. */
export interface CreditCoordinatorOptions {
  readonly clock: Clock
  /** Returns the capacity of a target. */
  readonly getCapacity: (target: string) => TargetCapacity
}

/** Load of one instance at a target, with the additional capacity that it requested and was granted. */
interface Holder {
  profile: MemoryProfile
  heldTokens: number
  heldSequences: number
  requestedTokens: number
  requestedSequences: number
  /** Capacity granted beyond what was held. */
  grantedTokens: number
  grantedSequences: number
  grantedUntilMs: number
  lastRequestAtMs: number
}

/** Validity period of a credit. */
export const CREDIT_VALIDITY_MS = 1500

/** Time without a request after which the generations of a holder are no longer counted. */
const HOLDER_TIMEOUT_MS = 10_000

/** Safety margin of the projected memory, in standard deviations. */
export const MEMORY_MARGIN_DEVIATIONS = 2

/** Fraction of a target's capacity that is reserved for requests of high priority. */
export const HIGH_PRIORITY_RESERVE_FRACTION = 0.05

/** Fraction of its held capacity that a holder above its fair share has to return with each renewal while others request more. */
const RECLAIM_FRACTION = 0.1

/** Weight of the latest report in the moving average of shared memory, and maximum fraction of the held memory that may count as shared. */
const SHARED_TOKENS_EWMA_WEIGHT = 0.05
const MAX_SHARED_FRACTION = 0.3

/** Divisor of the spare capacity that is granted to one holder beyond what it requested. */
const SPARE_CAPACITY_DIVISOR = 2

interface CapacityAmount {
  readonly tokens: number
  readonly sequences: number
}

/** Allocates the capacity of the targets that this instance coordinates to the instances that request credits. */
export class CreditCoordinator {
  /**
   * Creates a coordinator without holders.
   * @param options - Options.
   */
  static create (options: CreditCoordinatorOptions): CreditCoordinator {
    return new CreditCoordinator(options)
  }

  private readonly holdersByTarget = new Map<string, Map<string, Holder>>()
  private readonly sharedTokensByTarget = new Map<string, number>()

  /** @internal */
  private constructor (private readonly options: CreditCoordinatorOptions) {}

  /**
   * Answers a request for credit at a target.
   * @param requester - Name of the requesting instance.
   * @param request - The request.
   */
  answerRequest (requester: string, request: CreditRequest): CreditAnswer {
    const holders = this.getHolders(request.target)
    this.pruneHolders(holders)
    const holder = this.createHolder(request)
    holders.set(requester, holder)
    const capacity = this.options.getCapacity(request.target)
    const total = sumProfiles(holders)
    const sharedTokens = this.updateSharedTokens(request.target, total.mean[0] as number, capacity.usedTokens)
    const available = this.computeAvailableCapacity(requester, holders, capacity, computePeak(total, MEMORY_MARGIN_DEVIATIONS) - sharedTokens)
    const granted = computeGrant(holder, holders, available)
    holder.grantedTokens = Math.max(0, granted.tokens)
    holder.grantedSequences = Math.max(0, granted.sequences)
    holder.grantedUntilMs = this.options.clock.nowMs() + CREDIT_VALIDITY_MS
    return {
      type: 'creditAnswer',
      target: request.target,
      tokens: Math.floor(request.heldTokens + granted.tokens),
      sequences: Math.floor(request.heldSequences + granted.sequences),
      validForMs: CREDIT_VALIDITY_MS,
      totalTokens: Math.ceil(computePeak(total, 0)),
      totalSequences: countSequences(holders)
    }
  }

  private createHolder (request: CreditRequest): Holder {
    return {
      profile: createProfile(request),
      heldTokens: request.heldTokens,
      heldSequences: request.heldSequences,
      requestedTokens: request.wantTokens,
      requestedSequences: request.wantSequences,
      grantedTokens: 0,
      grantedSequences: 0,
      grantedUntilMs: 0,
      lastRequestAtMs: this.options.clock.nowMs()
    }
  }

  /** Returns the capacity of a target that remains after the load of all holders and the valid credits of other holders. */
  private computeAvailableCapacity (requester: string, holders: ReadonlyMap<string, Holder>, capacity: TargetCapacity, peakTokens: number): CapacityAmount {
    const nowMs = this.options.clock.nowMs()
    const otherGrants = [...holders].filter(([name, holder]) => name !== requester && holder.grantedUntilMs > nowMs).map(([, holder]) => holder)
    const otherGrantedTokens = sumValues(otherGrants, holder => holder.grantedTokens)
    const otherGrantedSequences = sumValues(otherGrants, holder => holder.grantedSequences)
    const usableFraction = 1 - HIGH_PRIORITY_RESERVE_FRACTION
    return {
      tokens: capacity.capacityTokens * usableFraction - peakTokens - otherGrantedTokens,
      sequences: capacity.maxSequences * usableFraction - countSequences(holders) - otherGrantedSequences
    }
  }

  /**
   * Updates the moving average of the memory held by all holders minus the memory that the target reports. It is positive if
   * requests share prefixes, and negative if the target runs requests that no holder has reported.
   */
  private updateSharedTokens (target: string, heldTokens: number, usedTokens: number): number {
    const previousTokens = this.sharedTokensByTarget.get(target) ?? 0
    const maxSharedTokens = heldTokens * MAX_SHARED_FRACTION
    const sharedTokens = Math.min(maxSharedTokens, previousTokens + SHARED_TOKENS_EWMA_WEIGHT * (heldTokens - usedTokens - previousTokens))
    this.sharedTokensByTarget.set(target, sharedTokens)
    return sharedTokens
  }

  private pruneHolders (holders: Map<string, Holder>): void {
    const nowMs = this.options.clock.nowMs()
    for (const [name, holder] of holders) {
      const timeoutMs = holder.heldSequences === 0 ? CREDIT_VALIDITY_MS : HOLDER_TIMEOUT_MS
      if (nowMs - holder.lastRequestAtMs > timeoutMs) holders.delete(name)
    }
  }

  private getHolders (target: string): Map<string, Holder> {
    const existing = this.holdersByTarget.get(target)
    if (existing !== undefined) return existing
    const holders = new Map<string, Holder>()
    this.holdersByTarget.set(target, holders)
    return holders
  }
}

/**
 * Grants what the holder requested, up to its share of the available capacity in proportion to the requested amounts. The
 * grant covers at least one whole request, because a smaller grant could not be used. If not even one request fits, the
 * holder may have to return capacity.
 */
function computeGrant (holder: Holder, holders: ReadonlyMap<string, Holder>, available: CapacityAmount): CapacityAmount {
  const allHolders = [...holders.values()]
  const averageRequest = { tokens: holder.requestedTokens / Math.max(1, holder.requestedSequences), sequences: 1 }
  const fitsOneRequest = available.tokens >= averageRequest.tokens && available.sequences >= averageRequest.sequences
  const computeAmount = (readAmount: (amounts: CapacityAmount) => number, readHeld: (holder: Holder) => number, readRequested: (holder: Holder) => number): number => {
    const totalRequested = sumValues(allHolders, readRequested)
    if (!fitsOneRequest) return computeReclaim(readHeld(holder), sumValues(allHolders, readHeld) / allHolders.length, totalRequested - readRequested(holder), readAmount(available))
    const share = readRequested(holder) * Math.min(1, readAmount(available) / Math.max(1, totalRequested))
    const spare = Math.max(0, readAmount(available) - totalRequested) / (SPARE_CAPACITY_DIVISOR * allHolders.length)
    return Math.min(readAmount(available), Math.max(Math.min(readAmount(averageRequest), readRequested(holder)), share) + spare)
  }
  return {
    tokens: computeAmount(({ tokens }) => tokens, other => other.heldTokens, other => other.requestedTokens),
    sequences: Math.ceil(computeAmount(({ sequences }) => Math.floor(sequences), other => other.heldSequences, other => other.requestedSequences))
  }
}

/** Returns the capacity that a holder has to return, as a negative number or 0, when there is no capacity for one more request. */
function computeReclaim (heldAmount: number, meanHeldAmount: number, requestedByOthers: number, available: number): number {
  const isAboveShare = heldAmount > meanHeldAmount * (1 + RECLAIM_FRACTION)
  if (requestedByOthers > 0 && isAboveShare) return -heldAmount * RECLAIM_FRACTION
  return Math.max(Math.min(0, available), -heldAmount * RECLAIM_FRACTION)
}

function createProfile (request: CreditRequest): MemoryProfile {
  const profile = createEmptyProfile()
  HORIZON_STEPS.forEach((_, index) => {
    profile.mean[index] = request.heldMean?.[index] ?? request.heldTokens
    profile.variance[index] = (request.heldDeviation?.[index] ?? 0) ** 2
  })
  return profile
}

function sumProfiles (holders: ReadonlyMap<string, Holder>): MemoryProfile {
  const total = createEmptyProfile()
  for (const holder of holders.values()) addProfile(total, holder.profile)
  return total
}

function countSequences (holders: ReadonlyMap<string, Holder>): number {
  return sumValues([...holders.values()], holder => holder.heldSequences)
}
