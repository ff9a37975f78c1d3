import { type Clock, type Target } from '@fescuespoke/common'
import { Maybe } from 'true-myth'
import { type OwnLoad } from '../placement/OwnLoad.js'
import { type CreditLedger } from './CreditLedger.js'
import { type AliveInstance, findCoordinator } from './findCoordinator.js'

/** Options of a keeper. */
export interface CreditKeeperOptions {
  readonly clock: Clock
  readonly ledger: CreditLedger
  readonly instance: string
  readonly availabilityZone: string
  readonly listAliveInstances: () => readonly AliveInstance[]
  readonly getOwnLoad: (target: string) => OwnLoad
}

/** What waits for a target at this moment. */
export interface WaitingNeed {
  readonly tokens: number
  readonly sequences: number
}

interface Demand {
  readonly target: Target
  tokens: number
  sequences: number
  atMs: number
}

/** Longest wait for a coordinator in the same availability zone and elsewhere. */
const NEAR_TIMEOUT_MS = 5
const FAR_TIMEOUT_MS = 20

/** A credit is renewed when it is valid for less than this. */
const RENEW_BEFORE_MS = 350

/** Shortest time between two questions about one target. */
const MIN_ASK_INTERVAL_MS = 100

/** Time in which the memory of recent placements falls to a half. */
const DEMAND_HALF_LIFE_MS = 1000

/** Recent placements that a credit provides for. */
const HEADROOM_SHARE = 0.5

/** Demand below which a target counts as unused, in requests. */
const MIN_DEMAND_SEQUENCES = 0.1

const NOTHING_WAITING: WaitingNeed = { tokens: 0, sequences: 0 }

/** Decides when to ask coordinators, and for how much. */
export class CreditKeeper {
  /**
   * Creates a keeper.
   * @param options - Options.
   */
  static create (options: CreditKeeperOptions): CreditKeeper {
    return new CreditKeeper(options)
  }

  private readonly demands = new Map<string, Demand>()
  private knownInstances: readonly AliveInstance[] = []
  private readonly coordinators = new Map<string, string>()

  /** @internal */
  private constructor (private readonly options: CreditKeeperOptions) {}

  /**
   * Observes that a request was placed.
   * @param target - The target.
   * @param needTokens - Its expected memory.
   */
  observePlaced (target: Target, needTokens: number): void {
    const demand = this.getDemand(target)
    demand.tokens += needTokens
    demand.sequences++
  }

  /**
   * Gets the coordinator of a target.
   * @param target - The target.
   */
  getCoordinator (target: Target): string {
    const instances = this.options.listAliveInstances()
    if (!isSameList(instances, this.knownInstances)) {
      this.knownInstances = instances
      this.coordinators.clear()
    }
    const known = this.coordinators.get(target.name)
    if (known !== undefined) return known
    const coordinator = findCoordinator(target, instances) ?? this.options.instance
    this.coordinators.set(target.name, coordinator)
    return coordinator
  }

  /**
   * Finds the coordinator of a target that was asked for before.
   * @param target - Name of the target.
   */
  findKnownCoordinator (target: string): Maybe<string> {
    return Maybe.of(this.coordinators.get(target))
  }

  /**
   * Checks whether a question about a target may be sent now.
   * @param target - The target.
   */
  canAsk (target: Target): boolean {
    const { ledger } = this.options
    return !ledger.isPending(target.name) && !ledger.isBypassed(target.name) && ledger.getAskedAgeMs(target.name) >= MIN_ASK_INTERVAL_MS
  }

  /**
   * Asks the coordinator of a target.
   * @param target - The target.
   * @param waiting - What waits for it.
   */
  requestCredit (target: Target, waiting = NOTHING_WAITING): void {
    const own = this.options.getOwnLoad(target.name)
    const demand = this.getDemand(target)
    const coordinator = this.getCoordinator(target)
    const isNear = this.knownInstances.some(({ instance, availabilityZone }) => instance === coordinator && availabilityZone === this.options.availabilityZone)
    this.options.ledger.requestCredit(target.name, coordinator, {
      profile: own.getProfile(),
      heldSequences: own.count(),
      wantTokens: waiting.tokens + demand.tokens * HEADROOM_SHARE,
      wantSequences: waiting.sequences + demand.sequences * HEADROOM_SHARE
    }, isNear ? NEAR_TIMEOUT_MS : FAR_TIMEOUT_MS)
  }

  /** Renews the credits of targets in use that are about to expire. */
  renewCredits (): void {
    for (const [name, { target }] of this.demands) {
      const demand = this.getDemand(target)
      const isUsed = this.options.getOwnLoad(name).count() > 0 || demand.sequences > MIN_DEMAND_SEQUENCES
      if (!isUsed) this.demands.delete(name)
      else if (this.options.ledger.getLeftMs(name) < RENEW_BEFORE_MS && this.canAsk(target)) this.requestCredit(target)
    }
  }

  private getDemand (target: Target): Demand {
    const nowMs = this.options.clock.nowMs()
    const known = this.demands.get(target.name)
    if (known === undefined) {
      const demand: Demand = { target, tokens: 0, sequences: 0, atMs: nowMs }
      this.demands.set(target.name, demand)
      return demand
    }
    const factor = 0.5 ** ((nowMs - known.atMs) / DEMAND_HALF_LIFE_MS)
    known.tokens *= factor
    known.sequences *= factor
    known.atMs = nowMs
    return known
  }
}

function isSameList (a: readonly AliveInstance[], b: readonly AliveInstance[]): boolean {
  if (a === b) return true
  return a.length === b.length && a.every((instance, index) => isSameInstance(instance, b[index]))
}

function isSameInstance (a: AliveInstance, b: AliveInstance | undefined): boolean {
  return a.instance === b?.instance && a.availabilityZone === b.availabilityZone && a.region === b.region
}
