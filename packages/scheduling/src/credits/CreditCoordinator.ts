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
  seenMs: number
}

/** Life of a credit. */
export const CREDIT_MS = 1500

/** Time after which a silent holder's generations are no longer counted. */
const HOLDER_MS = 10_000

/** Margin of the projected memory, in standard deviations. */
export const MEMORY_DEVIATIONS = 2

/** Share of a target kept free for requests of high priority. */
export const HIGH_PRIORITY_SHARE = 0.05

/** Share of its holding that a holder above its fair share gives back with each renewal while others want more. */
const GIVE_BACK_SHARE = 0.1

/** Weight of the latest report in the mean of shared memory, and largest part of the known memory that may be shared. */
const SHARED_WEIGHT = 0.05
const MAX_SHARED_SHARE = 0.3

/** Part of the free room that is lent to one holder beyond what it wants. */
const SPARE_ROOM_DIVISOR = 2

interface Room {
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

  private readonly targets = new Map<string, Map<string, Holder>>()
  private readonly sharedTokens = new Map<string, number>()

  /** @internal */
  private constructor (private readonly options: CreditCoordinatorOptions) {}

  /**
   * Answers a request for a share of a target.
   * @param asker - Name of the instance that asks.
   * @param request - The request.
   */
  answerRequest (asker: string, request: CreditRequest): CreditAnswer {
    const holders = this.getHolders(request.target)
    this.pruneHolders(holders)
    const holder = this.createHolder(request)
    holders.set(asker, holder)
    const capacity = this.options.getCapacity(request.target)
    const total = computeTotal(holders)
    const sharedTokens = this.observeShared(request.target, total.mean[0] as number, capacity.usedTokens)
    const room = this.computeRoom(asker, holders, capacity, computePeak(total, MEMORY_DEVIATIONS) - sharedTokens)
    const granted = computeGrant(holder, holders, room)
    holder.grantedTokens = Math.max(0, granted.tokens)
    holder.grantedSequences = Math.max(0, granted.sequences)
    holder.grantedUntilMs = this.options.clock.nowMs() + CREDIT_MS
    return {
      type: 'creditAnswer',
      target: request.target,
      tokens: Math.floor(request.heldTokens + granted.tokens),
      sequences: Math.floor(request.heldSequences + granted.sequences),
      validForMs: CREDIT_MS,
      totalTokens: Math.ceil(computePeak(total, 0)),
      totalSequences: countSequences(holders)
    }
  }

  private createHolder (request: CreditRequest): Holder {
    return {
      profile: readProfile(request),
      heldTokens: request.heldTokens,
      heldSequences: request.heldSequences,
      wantTokens: request.wantTokens,
      wantSequences: request.wantSequences,
      grantedTokens: 0,
      grantedSequences: 0,
      grantedUntilMs: 0,
      seenMs: this.options.clock.nowMs()
    }
  }

  /** Computes what is left of a target beside all holdings and the credits lent to others. */
  private computeRoom (asker: string, holders: ReadonlyMap<string, Holder>, capacity: TargetCapacity, peakTokens: number): Room {
    const nowMs = this.options.clock.nowMs()
    const lent = [...holders].filter(([name, holder]) => name !== asker && holder.grantedUntilMs > nowMs).map(([, holder]) => holder)
    const lentTokens = computeSum(lent, holder => holder.grantedTokens)
    const lentSequences = computeSum(lent, holder => holder.grantedSequences)
    const usable = 1 - HIGH_PRIORITY_SHARE
    return {
      tokens: capacity.capacityTokens * usable - peakTokens - lentTokens,
      sequences: capacity.maxSequences * usable - countSequences(holders) - lentSequences
    }
  }

  /**
   * Observes by how much the reported memory stays below the sum of what the holders know, since prefixes are shared;
   * below zero when the target holds work that no holder knows of.
   */
  private observeShared (target: string, knownTokens: number, usedTokens: number): number {
    const before = this.sharedTokens.get(target) ?? 0
    const limit = knownTokens * MAX_SHARED_SHARE
    const shared = Math.min(limit, before + SHARED_WEIGHT * (knownTokens - usedTokens - before))
    this.sharedTokens.set(target, shared)
    return shared
  }

  private pruneHolders (holders: Map<string, Holder>): void {
    const nowMs = this.options.clock.nowMs()
    for (const [name, holder] of holders) {
      const lifeMs = holder.heldSequences === 0 ? CREDIT_MS : HOLDER_MS
      if (nowMs - holder.seenMs > lifeMs) holders.delete(name)
    }
  }

  private getHolders (target: string): Map<string, Holder> {
    const known = this.targets.get(target)
    if (known !== undefined) return known
    const holders = new Map<string, Holder>()
    this.targets.set(target, holders)
    return holders
  }
}

/**
 * Grants what is wanted up to the asker's share of the room by want, in whole requests: a share that is too small for
 * one request would lie idle. Above its share of the whole the asker gives some back.
 */
function computeGrant (holder: Holder, holders: ReadonlyMap<string, Holder>, room: Room): Room {
  const all = [...holders.values()]
  const unit = { tokens: holder.wantTokens / Math.max(1, holder.wantSequences), sequences: 1 }
  const hasRoom = room.tokens >= unit.tokens && room.sequences >= unit.sequences
  const grantOf = (read: (room: Room) => number, held: (holder: Holder) => number, want: (holder: Holder) => number): number => {
    const allWant = computeSum(all, want)
    if (!hasRoom) return computeReturn(held(holder), computeSum(all, held) / all.length, allWant - want(holder), read(room))
    const share = want(holder) * Math.min(1, read(room) / Math.max(1, allWant))
    const spare = Math.max(0, read(room) - allWant) / (SPARE_ROOM_DIVISOR * all.length)
    return Math.min(read(room), Math.max(Math.min(read(unit), want(holder)), share) + spare)
  }
  return {
    tokens: grantOf(({ tokens }) => tokens, other => other.heldTokens, other => other.wantTokens),
    sequences: Math.ceil(grantOf(({ sequences }) => Math.floor(sequences), other => other.heldSequences, other => other.wantSequences))
  }
}

/** Computes what a holder gives back, as a number below zero, when there is no room for one more request. */
function computeReturn (held: number, meanHeld: number, othersWant: number, room: number): number {
  const isAboveShare = held > meanHeld * (1 + GIVE_BACK_SHARE)
  if (othersWant > 0 && isAboveShare) return -held * GIVE_BACK_SHARE
  return Math.max(Math.min(0, room), -held * GIVE_BACK_SHARE)
}

function readProfile (request: CreditRequest): MemoryProfile {
  const profile = createEmptyProfile()
  HORIZON_STEPS.forEach((_, index) => {
    profile.mean[index] = request.heldMean?.[index] ?? request.heldTokens
    profile.variance[index] = (request.heldDeviation?.[index] ?? 0) ** 2
  })
  return profile
}

function computeTotal (holders: ReadonlyMap<string, Holder>): MemoryProfile {
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
