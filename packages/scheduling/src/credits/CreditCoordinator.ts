import { type Clock } from '@fescuespoke/common'
import { type CreditAnswer, type CreditRequest } from '@fescuespoke/schema'
import { addProfile, computePeak, createEmptyProfile, HORIZON_STEPS, type MemoryProfile } from '../admission/MemoryProfile.js'
import { type TargetCapacity } from '../targets/TargetCapacities.js'

/** Options of a coordinator. */
export interface CreditCoordinatorOptions {
  readonly clock: Clock
  /** Gets what a target can take. */
  readonly getCapacity: (target: string) => TargetCapacity
}

interface Holder {
  profile: MemoryProfile
  heldTokens: number
  heldSequences: number
  wantTokens: number
  wantSequences: number
  /** Room granted beyond what was held. */
  grantedTokens: number
  grantedSequences: number
  grantedUntilMs: number
  lastRequestAtMs: number
}

/** Life of a credit. */
export const CREDIT_VALIDITY_MS = 1500

/** Time after which a silent holder's generations are no longer counted. */
const HOLDER_TIMEOUT_MS = 10_000

/** Margin of the projected memory, in standard deviations. */
export const MEMORY_MARGIN_DEVIATIONS = 2

/** Share of a target kept free for requests of high priority. */
export const HIGH_PRIORITY_RESERVE_FRACTION = 0.05

/** Share of its holding that a holder above its fair share gives back with each renewal while others want more. */
const RECLAIM_FRACTION = 0.1

/** Weight of the latest report in the mean of shared memory, and largest part of the known memory that may be shared. */
const SHARED_TOKENS_EWMA_WEIGHT = 0.05
const MAX_SHARED_FRACTION = 0.3

/** Part of the free room that is lent to one holder beyond what it wants. */
const SPARE_CAPACITY_DIVISOR = 2

interface AvailableCapacity {
  readonly tokens: number
  readonly sequences: number
}

/** Divides the targets that this instance coordinates among the instances that ask. */
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
   * Answers a request for a share of a target.
   * @param requester - Name of the instance that asks.
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
      wantTokens: request.wantTokens,
      wantSequences: request.wantSequences,
      grantedTokens: 0,
      grantedSequences: 0,
      grantedUntilMs: 0,
      lastRequestAtMs: this.options.clock.nowMs()
    }
  }

  /** Computes what is left of a target beside all holdings and the credits lent to others. */
  private computeAvailableCapacity (requester: string, holders: ReadonlyMap<string, Holder>, capacity: TargetCapacity, peakTokens: number): AvailableCapacity {
    const nowMs = this.options.clock.nowMs()
    const otherGrants = [...holders].filter(([name, holder]) => name !== requester && holder.grantedUntilMs > nowMs).map(([, holder]) => holder)
    const otherGrantedTokens = computeSum(otherGrants, holder => holder.grantedTokens)
    const otherGrantedSequences = computeSum(otherGrants, holder => holder.grantedSequences)
    const usableFraction = 1 - HIGH_PRIORITY_RESERVE_FRACTION
    return {
      tokens: capacity.capacityTokens * usableFraction - peakTokens - otherGrantedTokens,
      sequences: capacity.maxSequences * usableFraction - countSequences(holders) - otherGrantedSequences
    }
  }

  /**
   * Observes by how much the reported memory stays below the sum of what the holders know, since prefixes are shared;
   * below zero when the target holds work that no holder knows of.
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
 * Grants what is wanted up to the asker's share of the room by want, in whole requests: a share that is too small for
 * one request would lie idle. Above its share of the whole the asker gives some back.
 */
function computeGrant (holder: Holder, holders: ReadonlyMap<string, Holder>, available: AvailableCapacity): AvailableCapacity {
  const allHolders = [...holders.values()]
  const averageRequest = { tokens: holder.wantTokens / Math.max(1, holder.wantSequences), sequences: 1 }
  const fitsOneRequest = available.tokens >= averageRequest.tokens && available.sequences >= averageRequest.sequences
  const computeAmount = (readAmount: (amounts: AvailableCapacity) => number, readHeld: (holder: Holder) => number, readWanted: (holder: Holder) => number): number => {
    const totalWanted = computeSum(allHolders, readWanted)
    if (!fitsOneRequest) return computeReclaim(readHeld(holder), computeSum(allHolders, readHeld) / allHolders.length, totalWanted - readWanted(holder), readAmount(available))
    const share = readWanted(holder) * Math.min(1, readAmount(available) / Math.max(1, totalWanted))
    const spare = Math.max(0, readAmount(available) - totalWanted) / (SPARE_CAPACITY_DIVISOR * allHolders.length)
    return Math.min(readAmount(available), Math.max(Math.min(readAmount(averageRequest), readWanted(holder)), share) + spare)
  }
  return {
    tokens: computeAmount(({ tokens }) => tokens, other => other.heldTokens, other => other.wantTokens),
    sequences: Math.ceil(computeAmount(({ sequences }) => Math.floor(sequences), other => other.heldSequences, other => other.wantSequences))
  }
}

/** Computes what a holder gives back, as a number below zero, when there is no room for one more request. */
function computeReclaim (held: number, meanHeld: number, wantedByOthers: number, available: number): number {
  const isAboveShare = held > meanHeld * (1 + RECLAIM_FRACTION)
  if (wantedByOthers > 0 && isAboveShare) return -held * RECLAIM_FRACTION
  return Math.max(Math.min(0, available), -held * RECLAIM_FRACTION)
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
  return computeSum([...holders.values()], holder => holder.heldSequences)
}

function computeSum<T> (items: readonly T[], read: (item: T) => number): number {
  return items.reduce((sum, item) => sum + read(item), 0)
}
