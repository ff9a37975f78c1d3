import { type Clock, type Target } from '@fescuespoke/common'
import { Maybe } from 'true-myth'
import { type LocalLoad } from '../placement/LocalLoad.js'
import { type CreditClient } from './CreditClient.js'
import { type AliveInstance, findCoordinator } from './findCoordinator.js'

/** Options of a credit renewer. */
export interface CreditRenewerOptions {
  readonly clock: Clock
  readonly creditClient: CreditClient
  readonly instance: string
  readonly availabilityZone: string
  readonly listAliveInstances: () => readonly AliveInstance[]
  readonly getLocalLoad: (target: string) => LocalLoad
}

/** Demand of the requests that are queued for a target. */
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

/** Timeouts of credit requests to a coordinator in the same availability zone and elsewhere. */
const SAME_ZONE_TIMEOUT_MS = 5
const OTHER_ZONE_TIMEOUT_MS = 20

/** A credit is renewed when its remaining validity is shorter than this. */
const RENEW_BEFORE_MS = 350

/** Minimum time between two credit requests for one target. */
const MIN_REQUEST_INTERVAL_MS = 100

/** Half-life of the demand of recent placements. */
const DEMAND_HALF_LIFE_MS = 1000

/** Fraction of the recent demand that is requested as headroom. */
const HEADROOM_FRACTION = 0.5

/** Demand at or below which a target without requests counts as unused, in requests. */
const MIN_DEMAND_SEQUENCES = 0.1

const NO_QUEUED_DEMAND: QueuedDemand = { tokens: 0, sequences: 0 }

/** Requests credits from coordinators and renews them before they expire. The requested amount follows the recent and queued demand. */
export class CreditRenewer {
  /**
   * Creates a credit renewer.
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
   * Records that a request was placed.
   * @param target - The target.
   * @param requiredTokens - Expected peak memory of the request, in tokens.
   */
  observePlacement (target: Target, requiredTokens: number): void {
    const demand = this.getDemand(target)
    demand.tokens += requiredTokens
    demand.sequences++
  }

  /**
   * Returns the name of the coordinator of a target.
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
   * Returns the cached coordinator of a target; `Maybe.nothing()` if it has not been determined.
   * @param target - Name of the target.
   */
  findCachedCoordinator (target: string): Maybe<string> {
    return Maybe.of(this.coordinators.get(target))
  }

  /**
   * Checks whether a credit request for a target may be sent now.
   * @param target - The target.
   */
  canRequestCredit (target: Target): boolean {
    const { creditClient } = this.options
    return !creditClient.isPending(target.name) && !creditClient.isBypassed(target.name) && creditClient.getRequestAgeMs(target.name) >= MIN_REQUEST_INTERVAL_MS
  }

  /**
   * Requests credit from the coordinator of a target.
   * @param target - The target.
   * @param queuedDemand - Demand of the requests that are queued for it.
   */
  requestCredit (target: Target, queuedDemand = NO_QUEUED_DEMAND): void {
    const localLoad = this.options.getLocalLoad(target.name)
    const demand = this.getDemand(target)
    const coordinator = this.getCoordinator(target)
    const isSameZone = this.cachedInstances.some(({ instance, availabilityZone }) => instance === coordinator && availabilityZone === this.options.availabilityZone)
    this.options.creditClient.requestCredit(target.name, coordinator, {
      profile: localLoad.getProfile(),
      heldSequences: localLoad.count(),
      requestedTokens: queuedDemand.tokens + demand.tokens * HEADROOM_FRACTION,
      requestedSequences: queuedDemand.sequences + demand.sequences * HEADROOM_FRACTION
    }, isSameZone ? SAME_ZONE_TIMEOUT_MS : OTHER_ZONE_TIMEOUT_MS)
  }

  /** Renews expiring credits of the targets in use. */
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
