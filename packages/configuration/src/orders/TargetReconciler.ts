import { type AuditTrail, type Clock, formatModelKey, type ModelReference, type Snapshot, type Target } from '@fescuespoke/common'
import { type Order, type OrderAnswer, type TargetState } from '@fescuespoke/schema'
import { type Result } from 'true-myth'
import { type ConfigurationView } from '../view/ConfigurationView.js'
import { computeFencingTokenRevision } from './FencingToken.js'
import { type OrderClient, type OrderError } from './OrderClient.js'
import { type FencingOutcome, type OrderSession } from './OrderSession.js'
import { type PlacementHistory } from './PlacementHistory.js'
import { type PlannedOrder, planOrder } from './planOrder.js'
import { hasReadyCopies } from './hasReadyCopies.js'

/** Options of a target reconciler. */
export interface TargetReconcilerOptions {
  readonly clock: Clock
  readonly audit: AuditTrail
  readonly configuration: ConfigurationView
  readonly client: OrderClient
  readonly listPeers: () => readonly unknown[]
  readonly getFleetSize: () => number
  readonly targetStates: { recordReport: (target: string, state: 'active' | 'leaving', sentAtMs: number) => void }
  readonly permits: { requestPermit: () => Promise<boolean> }
  readonly refreshViews: () => Promise<void>
  readonly notifyRevision: (revision: number) => void
  readonly history: PlacementHistory
  readonly isAssigned: (target: string) => boolean
  readonly timing: { readonly loadDelayMs: number, readonly unloadDelayMs: number, readonly takeoverDelayMs: number }
}

/** State that one reconciliation of a target is based on. */
export interface ReconcileContext {
  readonly target: Target
  readonly session: OrderSession
  readonly snapshot: Snapshot
  /** Names of the active targets. */
  readonly liveTargets: ReadonlySet<string>
  /** Models that the target should have. */
  readonly desired: readonly ModelReference[]
}

/** Maximum time from the request for a target's state to an order based on that state, in milliseconds. */
const MAX_STATE_AGE_MS = 2500

/**
 * Maximum age of the records with which an instance that reaches only a minority of the fleet sends orders to targets
 * that ignore fencing tokens, in milliseconds.
 */
const MAX_UNFENCED_RECORDS_AGE_MS = 10_000

/** Reads the state of a target and sends it at most one order at a time. */
export class TargetReconciler {
  /**
   * Creates a reconciler.
   * @param options - Options of the reconciler.
   */
  static create (options: TargetReconcilerOptions): TargetReconciler {
    return new TargetReconciler(options)
  }

  private readonly fencingHandlers: Record<FencingOutcome, (context: ReconcileContext, reported: number) => boolean> = {
    usable: () => true,
    higherRevision: (context, reported) => {
      this.options.notifyRevision(computeFencingTokenRevision(reported))
      return false
    },
    takenOver: context => {
      context.session.restart(this.options.clock.nowMs())
      return false
    }
  }

  /** @internal */
  private constructor (private readonly options: TargetReconcilerOptions) {}

  /**
   * Reads the state of a target and sends the next order when one is due.
   * @param context - The target with its session and its desired models.
   */
  async reconcile (context: ReconcileContext): Promise<void> {
    const { clock, client, targetStates } = this.options
    const startedAtMs = clock.nowMs()
    const report = await client.fetchState(context.target)
    if (report.isErr) return
    targetStates.recordReport(context.target.name, report.value.state, startedAtMs)
    const planned = this.planNextOrder(context, report.value)
    if (planned === undefined) return
    if (!await this.isOrderAllowed(context, planned)) return
    if (!this.isStillValid(context, startedAtMs)) return await this.options.refreshViews()
    await this.sendOrder(context, planned)
  }

  private planNextOrder (context: ReconcileContext, { state, models, fence }: TargetState): PlannedOrder | undefined {
    const { target, session, desired, snapshot } = context
    const { history, timing, clock } = this.options
    const nowMs = clock.nowMs()
    // An engine that does not list its models is assumed to have all of them.
    if (state !== 'active' || models === undefined) return undefined
    history.recordDesired(target.name, desired, nowMs)
    history.recordActual(target.name, models, nowMs)
    this.recordLostModels(context, session.recordModels(models, desired))
    const outcome = session.updateFencingToken(snapshot.revision, target.fencing === 'enforced' ? fence : undefined)
    if (!this.fencingHandlers[outcome](context, fence ?? 0) || !this.canSendOrder(context)) return undefined
    return planOrder({
      desired,
      actual: models,
      getUnchangedMs: model => history.getUnchangedMs(target.name, model, nowMs),
      getLoadOrderAgeMs: model => session.getLoadOrderAgeMs(model, nowMs),
      loadDelayMs: timing.loadDelayMs,
      unloadDelayMs: Math.max(timing.unloadDelayMs, findLongestDeadlineMs(snapshot))
    })
  }

  /** Protects a target that ignores fencing tokens by a delay, and by requiring a majority of the fleet or recent records. */
  private canSendOrder ({ target, session }: ReconcileContext): boolean {
    if (target.fencing === 'enforced') return true
    const { clock, timing, configuration, listPeers, getFleetSize } = this.options
    if (session.getAgeMs(clock.nowMs()) < timing.takeoverDelayMs) return false
    const isMajority = (listPeers().length + 1) * 2 > getFleetSize()
    return isMajority || configuration.getAgeMs() <= MAX_UNFENCED_RECORDS_AGE_MS
  }

  private async isOrderAllowed ({ target, snapshot, liveTargets }: ReconcileContext, { action }: PlannedOrder): Promise<boolean> {
    const checks: Record<PlannedOrder['action'], () => Promise<boolean>> = {
      load: async () => await this.options.permits.requestPermit(),
      unload: async () => await hasReadyCopies(target.name, { client: this.options.client, snapshot, liveTargets })
    }
    return await checks[action]()
  }

  private isStillValid ({ target, snapshot }: ReconcileContext, startedAtMs: number): boolean {
    const { clock, configuration, isAssigned } = this.options
    if (clock.nowMs() - startedAtMs > MAX_STATE_AGE_MS) return false
    return configuration.getRevision() === snapshot.revision && isAssigned(target.name)
  }

  private async sendOrder (context: ReconcileContext, { action, model }: PlannedOrder): Promise<void> {
    const { clock, client, notifyRevision } = this.options
    const { target, session } = context
    const order: Order = { fence: session.getFencingToken(), action, ...model }
    if (action === 'load') session.recordLoadOrder(model, clock.nowMs())
    const answer = await client.sendOrder(target, order)
    this.recordOrder(context, order, answer)
    if (answer.isErr || answer.value.accepted) return
    session.restart(clock.nowMs())
    notifyRevision(computeFencingTokenRevision(answer.value.fence))
  }

  private recordOrder ({ target, snapshot }: ReconcileContext, order: Order, answer: Result<OrderAnswer, OrderError>): void {
    const text = answer.match({
      Ok: ({ accepted, fence }) => accepted ? 'accepted' : `refused, the target has accepted ${fence}`,
      Err: error => `no usable answer (${error}), the order may have been executed`
    })
    const isRefused = answer.isOk && !answer.value.accepted
    this.options.audit.record({
      kind: isRefused ? 'orderRefused' : 'orderGiven',
      subject: target.name,
      revision: snapshot.revision,
      cause: `${order.action} ${formatModelKey(order as ModelReference)}`,
      fence: order.fence,
      answer: text
    })
  }

  private recordLostModels ({ target, snapshot, session }: ReconcileContext, lostModels: readonly ModelReference[]): void {
    for (const model of lostModels) {
      this.options.audit.record({
        kind: 'modelLost',
        subject: target.name,
        revision: snapshot.revision,
        cause: `${formatModelKey(model)} disappeared without an order from this instance and will be loaded again`,
        before: 'held',
        after: 'absent',
        fence: session.getFencingToken()
      })
    }
  }
}

function findLongestDeadlineMs (snapshot: Snapshot): number {
  const generations = [...snapshot.services.values()].filter(service => service.runs !== undefined)
  return Math.max(0, ...generations.map(service => service.deadlineMs))
}
