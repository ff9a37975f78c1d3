import { addJitter, type AuditTrail, type Clock, type Random, type Snapshot, type Target } from '@fescuespoke/common'
import { type ConfigurationView } from '../view/ConfigurationView.js'
import { type FleetMember } from '../sync/FleetMember.js'
import { type TargetAvailability } from '../list/InstanceListView.js'
import { computePlacement, type ModelPlacement } from './computePlacement.js'
import { type OrderClient } from './OrderClient.js'
import { OrderSession } from './OrderSession.js'
import { PlacementHistory } from './PlacementHistory.js'
import { TargetAssignments } from './TargetAssignments.js'
import { TargetReconciler } from './TargetReconciler.js'

/** Intervals and delays of a placement controller, in milliseconds. */
export interface PlacementTiming {
  /** Interval at which each target is reconciled. */
  readonly reconcileIntervalMs: number
  /** Time for which a model has to be desired before it is loaded. */
  readonly loadDelayMs: number
  /** Minimum time for which a model has to be undesired before it is unloaded. */
  readonly unloadDelayMs: number
  /** Time without orders after taking over a target that ignores fencing tokens. */
  readonly takeoverDelayMs: number
}

/** Options of a placement controller. */
export interface PlacementControllerOptions {
  readonly clock: Clock
  readonly random: Random
  readonly audit: AuditTrail
  readonly configuration: ConfigurationView
  readonly client: OrderClient
  /** This instance. */
  readonly self: FleetMember
  /** Lists the other instances that are considered alive. */
  readonly listPeers: () => readonly FleetMember[]
  /** Returns the number of instances in the instance list; 0 before the first list. */
  readonly getFleetSize: () => number
  /** Returns the states of targets and records the states that they report. */
  readonly targetStates: {
    getState: (target: string) => TargetAvailability
    recordReport: (target: string, state: 'active' | 'leaving', sentAtMs: number) => void
  }
  /** Grants weight loads. */
  readonly permits: { requestPermit: () => Promise<boolean> }
  /** Refreshes the views of the records and of the instance list. */
  readonly refreshViews: () => Promise<void>
  /** Called with the revision of a target's fencing token when that token is too high for an order. */
  readonly notifyRevision: (revision: number) => void
  readonly timing?: Partial<PlacementTiming>
}

const DEFAULT_TIMING: PlacementTiming = { reconcileIntervalMs: 2000, loadDelayMs: 5000, unloadDelayMs: 30_000, takeoverDelayMs: 10_000 }

/** Delay of a timer above which the process is assumed to have been paused, in milliseconds. */
const MAX_TIMER_DELAY_MS = 1000

/** Maximum number of targets that are reconciled concurrently. */
const MAX_CONCURRENT_TARGETS = 16

/** Sends orders to the engines that are assigned to this instance, so that they load the models of the records in force. */
export class PlacementController {
  /**
   * Creates a controller that has not been started.
   * @param options - Options of the controller.
   */
  static create (options: PlacementControllerOptions): PlacementController {
    return new PlacementController(options)
  }

  private readonly timing: PlacementTiming
  private readonly assignments: TargetAssignments
  private readonly history = PlacementHistory.create()
  private readonly sessions = new Map<string, OrderSession>()
  private readonly reconciler: TargetReconciler
  private readonly stopController = new AbortController()
  private task: Promise<void> | undefined
  private placement: { readonly snapshot: Snapshot, readonly liveNames: string, readonly models: ModelPlacement } | undefined

  /** @internal */
  private constructor (private readonly options: PlacementControllerOptions) {
    const { self, listPeers, configuration } = options
    this.timing = { ...DEFAULT_TIMING, ...options.timing }
    this.assignments = TargetAssignments.create({ self, listPeers, getSnapshot: () => configuration.getSnapshot() })
    this.reconciler = TargetReconciler.create({
      ...options,
      timing: this.timing,
      history: this.history,
      isAssigned: target => this.assignments.listAssigned().has(target)
    })
  }

  /** Starts reconciling the assigned targets. */
  start (): void {
    const removeListener = this.options.configuration.addListener(() => this.recordPlacement())
    this.stopController.signal.addEventListener('abort', removeListener)
    this.task = this.runReconcileLoop()
  }

  /** Stops sending orders and waits for the end of the current round. */
  async stop (): Promise<void> {
    this.stopController.abort()
    await this.task
  }

  /** Lists the names of the targets that are assigned to this instance. */
  listAssigned (): string[] {
    return [...this.assignments.listAssigned().keys()]
  }

  /** Records the placement of each accepted revision, because the rounds may miss a revision that is soon replaced. */
  private recordPlacement (): void {
    const snapshot = this.options.configuration.getSnapshot()
    const placement = this.getPlacement(snapshot, this.findLiveTargets(snapshot))
    for (const target of this.assignments.listAssigned().keys()) {
      this.history.recordDesired(target, placement.get(target) ?? [], this.options.clock.nowMs())
    }
  }

  private async runReconcileLoop (): Promise<void> {
    const { clock, random } = this.options
    while (!this.stopController.signal.aborted) {
      if (this.canSendOrders()) await this.reconcileTargets()
      const waitMs = addJitter(random, this.timing.reconcileIntervalMs)
      const dueAtMs = clock.nowMs() + waitMs
      await clock.sleep(waitMs, this.stopController.signal)
      if (clock.nowMs() - dueAtMs > MAX_TIMER_DELAY_MS) await this.recoverFromPause()
    }
  }

  private canSendOrders (): boolean {
    return this.options.configuration.getRevision() > 0 && this.options.getFleetSize() > 0
  }

  /** Takes all targets over again, because another instance may have taken them over during the pause. */
  private async recoverFromPause (): Promise<void> {
    for (const session of this.sessions.values()) session.restart(this.options.clock.nowMs())
    await this.options.refreshViews()
  }

  private async reconcileTargets (): Promise<void> {
    const assigned = this.assignments.listAssigned()
    this.removeUnassigned(assigned)
    const targets = [...assigned.values()]
    const snapshot = this.options.configuration.getSnapshot()
    const liveTargets = this.findLiveTargets(snapshot)
    const placement = this.getPlacement(snapshot, liveTargets)
    for (let index = 0; index < targets.length; index += MAX_CONCURRENT_TARGETS) {
      if (this.stopController.signal.aborted) return
      await Promise.all(targets.slice(index, index + MAX_CONCURRENT_TARGETS).map(async target => {
        const session = this.getSession(target.name)
        await this.reconciler.reconcile({ target, session, snapshot, liveTargets, desired: placement.get(target.name) ?? [] })
      }))
    }
  }

  private getSession (target: string): OrderSession {
    const session = this.sessions.get(target) ?? OrderSession.create(this.options.clock.nowMs())
    this.sessions.set(target, session)
    return session
  }

  private findLiveTargets (snapshot: Snapshot): ReadonlySet<string> {
    const { targetStates } = this.options
    return new Set([...snapshot.targets.keys()].filter(name => targetStates.getState(name) === 'active'))
  }

  private getPlacement (snapshot: Snapshot, liveTargets: ReadonlySet<string>): ModelPlacement {
    const names = [...liveTargets].join('\n')
    if (this.placement?.snapshot !== snapshot || this.placement.liveNames !== names) {
      this.placement = { snapshot, liveNames: names, models: computePlacement(snapshot, liveTargets) }
    }
    return this.placement.models
  }

  private removeUnassigned (assigned: ReadonlyMap<string, Target>): void {
    for (const name of this.sessions.keys()) {
      if (assigned.has(name)) continue
      this.sessions.delete(name)
      this.history.remove(name)
    }
  }
}
