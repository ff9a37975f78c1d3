import { type Clock, type Target } from '@fescuespoke/common'
import { Maybe } from 'true-myth'
import { type LocalLoad } from '../placement/LocalLoad.js'
import { type CreditClient } from './CreditClient.js'
import { type AliveInstance, findCoordinator } from './findCoordinator.js'

/** Options of a keeper. */
export interface CreditRenewerOptions {
  readonly clock: Clock
  readonly creditClient: CreditClient
  readonly instance: string
  readonly availabilityZone: string
  readonly listAliveInstances: () => readonly AliveInstance[]
  readonly getLocalLoad: (target: string) => LocalLoad
}

/** What waits for a target at this moment. */
export interface QueuedDemand {
  readonly tokens: number
  readonly sequences: number
}

interface Demand {
  readonly target: Target
  tokens: number
  sequences: number
  updatedAtMs: number
}

/** Longest wait for a coordinator in the same availability zone and elsewhere. */
const SAME_ZONE_TIMEOUT_MS = 5
const OTHER_ZONE_TIMEOUT_MS = 20

/** A credit is renewed when it is valid for less than this. */
const RENEW_BEFORE_MS = 350

/** Shortest time between two questions about one target. */
const MIN_REQUEST_INTERVAL_MS = 100

/** Time in which the memory of recent placements falls to a half. */
const DEMAND_HALF_LIFE_MS = 1000

/** Recent placements that a credit provides for. */
const HEADROOM_FRACTION = 0.5

/** Demand below which a target counts as unused, in requests. */
const MIN_DEMAND_SEQUENCES = 0.1

const NO_QUEUED_DEMAND: QueuedDemand = { tokens: 0, sequences: 0 }

/** Decides when to ask coordinators, and for how much. */
export class CreditRenewer {
  /**
   * Creates a keeper.
   * @param options - Options.
   */
  static create (options: CreditRenewerOptions): CreditRenewer {
    return new CreditRenewer(options)
  }

  private readonly demands = new Map<string, Demand>()
  private cachedInstances: readonly AliveInstance[] = []
  private readonly coordinators = new Map<string, string>()

  /** @internal */
  private constructor (private readonly options: CreditRenewerOptions) {}

  /**
   * Observes that a request was placed.
   * @param target - The target.
   * @param requiredTokens - Its expected memory.
   */
  observePlacement (target: Target, requiredTokens: number): void {
    const demand = this.getDemand(target)
    demand.tokens += requiredTokens
    demand.sequences++
  }

  /**
   * Gets the coordinator of a target.
   * @param target - The target.
   */
  getCoordinator (target: Target): string {
    const instances = this.options.listAliveInstances()
    if (!isSameList(instances, this.cachedInstances)) {
      this.cachedInstances = instances
      this.coordinators.clear()
    }
    const cachedCoordinator = this.coordinators.get(target.name)
    if (cachedCoordinator !== undefined) return cachedCoordinator
    const coordinator = findCoordinator(target, instances) ?? this.options.instance
    this.coordinators.set(target.name, coordinator)
    return coordinator
  }

  /**
   * Finds the coordinator of a target that was asked for before.
   * @param target - Name of the target.
   */
  findCachedCoordinator (target: string): Maybe<string> {
    return Maybe.of(this.coordinators.get(target))
  }

  /**
   * Checks whether a question about a target may be sent now.
   * @param target - The target.
   */
  canRequestCredit (target: Target): boolean {
    const { creditClient } = this.options
    return !creditClient.isPending(target.name) && !creditClient.isBypassed(target.name) && creditClient.getRequestAgeMs(target.name) >= MIN_REQUEST_INTERVAL_MS
  }

  /**
   * Asks the coordinator of a target.
   * @param target - The target.
   * @param queuedDemand - What waits for it.
   */
  requestCredit (target: Target, queuedDemand = NO_QUEUED_DEMAND): void {
    const localLoad = this.options.getLocalLoad(target.name)
    const demand = this.getDemand(target)
    const coordinator = this.getCoordinator(target)
    const isSameZone = this.cachedInstances.some(({ instance, availabilityZone }) => instance === coordinator && availabilityZone === this.options.availabilityZone)
    this.options.creditClient.requestCredit(target.name, coordinator, {
      profile: localLoad.getProfile(),
      heldSequences: localLoad.count(),
      wantTokens: queuedDemand.tokens + demand.tokens * HEADROOM_FRACTION,
      wantSequences: queuedDemand.sequences + demand.sequences * HEADROOM_FRACTION
    }, isSameZone ? SAME_ZONE_TIMEOUT_MS : OTHER_ZONE_TIMEOUT_MS)
  }

  /** Renews the credits of targets in use that are about to expire. */
  renewCredits (): void {
    for (const [name, { target }] of this.demands) {
      const demand = this.getDemand(target)
      const isUsed = this.options.getLocalLoad(name).count() > 0 || demand.sequences > MIN_DEMAND_SEQUENCES
      if (!isUsed) this.demands.delete(name)
      else if (this.options.creditClient.getRemainingMs(name) < RENEW_BEFORE_MS && this.canRequestCredit(target)) this.requestCredit(target)
    }
  }

  private getDemand (target: Target): Demand {
    const nowMs = this.options.clock.nowMs()
    const existing = this.demands.get(target.name)
    if (existing === undefined) {
      const demand: Demand = { target, tokens: 0, sequences: 0, updatedAtMs: nowMs }
      this.demands.set(target.name, demand)
      return demand
    }
    const decayFactor = 0.5 ** ((nowMs - existing.updatedAtMs) / DEMAND_HALF_LIFE_MS)
    existing.tokens *= decayFactor
    existing.sequences *= decayFactor
    existing.updatedAtMs = nowMs
    return existing
  }
}

function isSameList (a: readonly AliveInstance[], b: readonly AliveInstance[]): boolean {
  if (a === b) return true
  return a.length === b.length && a.every((instance, index) => isSameInstance(instance, b[index]))
}

function isSameInstance (a: AliveInstance, b: AliveInstance | undefined): boolean {
  return a.instance === b?.instance && a.availabilityZone === b.availabilityZone && a.region === b.region
}
