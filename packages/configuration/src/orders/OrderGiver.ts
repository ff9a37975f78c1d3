import { addJitter, type AuditTrail, type Clock, type Random, type Snapshot, type Target } from '@fescuespoke/common'
import { type ConfigurationView } from '../view/ConfigurationView.js'
import { type FleetMember } from '../spread/FleetMember.js'
import { type ListedState } from '../list/InstanceListView.js'
import { computePlacement, type ModelPlacement } from './computePlacement.js'
import { type OrderClient } from './OrderClient.js'
import { OrderSession } from './OrderSession.js'
import { PlacementHistory } from './PlacementHistory.js'
import { TargetAssignments } from './TargetAssignments.js'
import { TargetOrderer } from './TargetOrderer.js'

/** Intervals of an order giver, in milliseconds. */
export interface OrderTiming {
  /** Interval at which each target is looked at. */
  readonly orderMs: number
  /** Time for which a model has to be wanted before it is loaded. */
  readonly loadSettleMs: number
  /** Shortest time for which a model has to be unwanted before it is unloaded. */
  readonly unloadHoldMs: number
  /** Time without orders after taking over a target that ignores fencing numbers. */
  readonly holdOffMs: number
}

/** Options of an order giver. */
export interface OrderGiverOptions {
  readonly clock: Clock
  readonly random: Random
  readonly audit: AuditTrail
  readonly configuration: ConfigurationView
  readonly client: OrderClient
  /** This instance. */
  readonly self: FleetMember
  /** Lists the other instances thought alive. */
  readonly listPeers: () => readonly FleetMember[]
  /** Gets the number of entry instances in the last good instance list; 0 before the first. */
  readonly getFleetSize: () => number
  /** Knowledge of the targets' states. */
  readonly evidence: {
    getState: (target: string) => ListedState
    observeReport: (target: string, state: 'active' | 'leaving', sentAtMs: number) => void
  }
  /** Grants weight loads. */
  readonly permits: { requestPermit: () => Promise<boolean> }
  /** Renews the views of records and list. */
  readonly refreshViews: () => Promise<void>
  /** Is told of a revision that a target names by its fencing number. */
  readonly observeRevision: (revision: number) => void
  readonly timing?: Partial<OrderTiming>
}

const DEFAULT_TIMING: OrderTiming = { orderMs: 2000, loadSettleMs: 5000, unloadHoldMs: 30_000, holdOffMs: 10_000 }

/** Delay of a timer beyond which the process is taken for paused, in milliseconds. */
const MAX_GAP_MS = 1000

/** Number of targets that are looked at at once. */
const CONCURRENT_TARGETS = 16

/** Gives orders to the engines that are assigned to this instance, so that they hold the models of the records in force. */
export class OrderGiver {
  /**
   * Creates an order giver that has not been started.
   * @param options - Options of the order giver.
   */
  static create (options: OrderGiverOptions): OrderGiver {
    return new OrderGiver(options)
  }

  private readonly timing: OrderTiming
  private readonly assignments: TargetAssignments
  private readonly history = PlacementHistory.create()
  private readonly sessions = new Map<string, OrderSession>()
  private readonly orderer: TargetOrderer
  private readonly abort = new AbortController()
  private task: Promise<void> | undefined
  private placement: { readonly snapshot: Snapshot, readonly live: string, readonly models: ModelPlacement } | undefined

  /** @internal */
  private constructor (private readonly options: OrderGiverOptions) {
    const { self, listPeers, configuration } = options
    this.timing = { ...DEFAULT_TIMING, ...options.timing }
    this.assignments = TargetAssignments.create({ self, listPeers, getSnapshot: () => configuration.getSnapshot() })
    this.orderer = TargetOrderer.create({
      ...options,
      timing: this.timing,
      history: this.history,
      isAssigned: target => this.assignments.listAssigned().has(target)
    })
  }

  /** Starts giving orders. */
  start (): void {
    const removeListener = this.options.configuration.addListener(() => this.observePlacement())
    this.abort.signal.addEventListener('abort', removeListener)
    this.task = this.runRounds()
  }

  /** Stops giving orders and waits for the end of the round. */
  async stop (): Promise<void> {
    this.abort.abort()
    await this.task
  }

  /** Lists the names of the targets that this instance gives orders to. */
  listAssigned (): string[] {
    return [...this.assignments.listAssigned().keys()]
  }

  /** Takes note of the placement of each accepted revision; the rounds alone would miss a short one. */
  private observePlacement (): void {
    const snapshot = this.options.configuration.getSnapshot()
    const placement = this.getPlacement(snapshot, this.findLiveTargets(snapshot))
    for (const target of this.assignments.listAssigned().keys()) {
      this.history.observeWanted(target, placement.get(target) ?? [], this.options.clock.nowMs())
    }
  }

  private async runRounds (): Promise<void> {
    const { clock, random } = this.options
    while (!this.abort.signal.aborted) {
      if (this.canGiveOrders()) await this.runRound()
      const waitMs = addJitter(random, this.timing.orderMs)
      const wakeMs = clock.nowMs() + waitMs
      await clock.sleep(waitMs, this.abort.signal)
      if (clock.nowMs() - wakeMs > MAX_GAP_MS) await this.recoverFromPause()
    }
  }

  private canGiveOrders (): boolean {
    return this.options.configuration.getRevision() > 0 && this.options.getFleetSize() > 0
  }

  /** A paused giver may have been succeeded meanwhile: it takes its targets over again. */
  private async recoverFromPause (): Promise<void> {
    for (const session of this.sessions.values()) session.restart(this.options.clock.nowMs())
    await this.options.refreshViews()
  }

  private async runRound (): Promise<void> {
    const assigned = this.assignments.listAssigned()
    this.forgetOthers(assigned)
    const targets = [...assigned.values()]
    const snapshot = this.options.configuration.getSnapshot()
    const live = this.findLiveTargets(snapshot)
    const placement = this.getPlacement(snapshot, live)
    for (let index = 0; index < targets.length; index += CONCURRENT_TARGETS) {
      if (this.abort.signal.aborted) return
      await Promise.all(targets.slice(index, index + CONCURRENT_TARGETS).map(async target => {
        const session = this.getSession(target.name)
        await this.orderer.runStep({ target, session, snapshot, live, wanted: placement.get(target.name) ?? [] })
      }))
    }
  }

  private getSession (target: string): OrderSession {
    const session = this.sessions.get(target) ?? OrderSession.create(this.options.clock.nowMs())
    this.sessions.set(target, session)
    return session
  }

  private findLiveTargets (snapshot: Snapshot): ReadonlySet<string> {
    const { evidence } = this.options
    return new Set([...snapshot.targets.keys()].filter(name => evidence.getState(name) === 'active'))
  }

  private getPlacement (snapshot: Snapshot, live: ReadonlySet<string>): ModelPlacement {
    const names = [...live].join('\n')
    if (this.placement?.snapshot !== snapshot || this.placement.live !== names) {
      this.placement = { snapshot, live: names, models: computePlacement(snapshot, live) }
    }
    return this.placement.models
  }

  private forgetOthers (assigned: ReadonlyMap<string, Target>): void {
    for (const name of this.sessions.keys()) {
      if (assigned.has(name)) continue
      this.sessions.delete(name)
      this.history.remove(name)
    }
  }
}
