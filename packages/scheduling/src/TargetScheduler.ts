import { type AuditEntry, type CancelTimer, type Clock, type PeerTransport, type Random, type Snapshot, type Target } from '@fescuespoke/common'
import { type CacheEvent, type SchedulingSettings, type TargetState, type TargetStatus } from '@fescuespoke/schema'
import { type Maybe, Result } from 'true-myth'
import { type Placement, type PlacementRefusal, type PlacementRequest, type Scheduler } from './Scheduler.js'
import { TargetDirectory, type TargetEvidence } from './targets/TargetDirectory.js'

/** An instance that is thought to be alive. */
export interface AliveInstance {
  readonly instance: string
  readonly availabilityZone: string
  readonly region: string
}

/** Options of a scheduler. */
export interface TargetSchedulerOptions {
  /** Name of this instance. */
  readonly instance: string
  readonly availabilityZone: string
  readonly region: string
  readonly clock: Clock
  readonly random: Random
  readonly transport: PeerTransport
  /** Lists the instances that are thought to be alive, this one included. */
  readonly listAliveInstances: () => readonly AliveInstance[]
  readonly settings?: SchedulingSettings
  /** Records a change in the audit trail. */
  readonly recordAudit?: (entry: AuditEntry) => void
}

/** Sequences that one instance runs at one target when the target does not tell its largest batch. */
const DEFAULT_MAX_SEQUENCES = 32

/** Wait after which a refused caller may try again. */
const RETRY_AFTER_MS = 1000

interface WaitingRequest {
  readonly request: PlacementRequest
  readonly settle: (result: Result<Placement, PlacementRefusal>) => void
}

/** Chooses targets for the requests of one instance. */
export class TargetScheduler implements Scheduler {
  /**
   * Creates a scheduler.
   * @param options - Options of the scheduler.
   */
  static create (options: TargetSchedulerOptions): TargetScheduler {
    return new TargetScheduler(options)
  }

  private readonly directory = TargetDirectory.create()
  private readonly inFlight = new Map<string, number>()
  private waiting: WaitingRequest[] = []

  /** @internal */
  private constructor (private readonly options: TargetSchedulerOptions) {}

  /** Starts the background tasks. */
  start (): void {}

  /** Stops the background tasks; waiting requests stay until their own end. */
  stop (): void {}

  /**
   * Waits until a target is admitted for a request, or refuses it as soon as waiting cannot succeed.
   * @param request - The request.
   */
  async acquirePlacement (request: PlacementRequest): Promise<Result<Placement, PlacementRefusal>> {
    if (this.listUsableTargets(request).length === 0) return refuse('noTarget', 'no target of the service is usable')
    const placed = this.takeTarget(request)
    if (placed !== undefined) return Result.ok(placed)
    if (this.waiting.length >= (this.options.settings?.maxQueued ?? 1000)) return refuse('queueFull', 'the queue is full')
    return await this.waitForTarget(request)
  }

  /**
   * Observes a state report of a target.
   * @param target - Name of the target.
   * @param report - The report.
   * @param sentAtMs - Reading of the clock when the question was sent.
   */
  observeTargetState (target: string, report: TargetState, sentAtMs: number): void {
    this.directory.observeReport(target, report, sentAtMs)
    this.placeWaiting()
  }

  /**
   * Observes that a target did not answer a question for its state.
   * @param target - Name of the target.
   */
  observeTargetSilence (target: string): void {}

  /**
   * Observes cache events of a target, in the order in which they were read.
   * @param target - Name of the target.
   * @param events - The events.
   */
  observeCacheEvents (target: string, events: readonly CacheEvent[]): void {}

  /**
   * Gets the latest evidence of a target.
   * @param target - Name of the target.
   */
  getEvidence (target: string): Maybe<TargetEvidence> {
    return this.directory.getEvidence(target)
  }

  /**
   * Lists the targets whose state this instance has to ask for.
   * @param snapshot - Snapshot in force.
   */
  listObservedTargets (snapshot: Snapshot): Target[] {
    const names = new Set([...snapshot.services.values()].flatMap(service => service.targets))
    return [...names].sort().flatMap(name => snapshot.targets.get(name) ?? [])
  }

  /** Lists what is known of each target, for operators. */
  listTargetStatus (): TargetStatus[] {
    return []
  }

  /** Counts the requests that wait for a target. */
  countQueued (): number {
    return this.waiting.length
  }

  private listUsableTargets (request: PlacementRequest): Target[] {
    return request.service.targets
      .filter(name => !request.failedTargets.includes(name) && !this.directory.isLeaving(name))
      .flatMap(name => request.snapshot.targets.get(name) ?? [])
  }

  private takeTarget (request: PlacementRequest): Placement | undefined {
    const candidates = this.listUsableTargets(request).filter(target => this.getInFlight(target.name) < this.getBound(target.name))
    candidates.sort((a, b) => this.getInFlight(a.name) - this.getInFlight(b.name))
    const target = candidates[0]
    return target === undefined ? undefined : this.createPlacement(target)
  }

  private createPlacement (target: Target): Placement {
    const before = this.getInFlight(target.name)
    this.inFlight.set(target.name, before + 1)
    let released = false
    return {
      target,
      detail: `fewest requests in flight (${before})`,
      observeTokens: () => {},
      observePreemption: () => {},
      release: () => {
        if (released) return
        released = true
        this.inFlight.set(target.name, this.getInFlight(target.name) - 1)
        this.placeWaiting()
      }
    }
  }

  private async waitForTarget (request: PlacementRequest): Promise<Result<Placement, PlacementRefusal>> {
    return await new Promise(resolve => {
      let cancelTimer: CancelTimer = () => {}
      const settle = (result: Result<Placement, PlacementRefusal>): void => {
        cancelTimer()
        this.waiting = this.waiting.filter(entry => entry !== waiting)
        request.signal.removeEventListener('abort', abort)
        resolve(result)
      }
      const abort = (): void => settle(refuse('cancelledByCaller', 'cancelled while waiting'))
      const waiting: WaitingRequest = { request, settle }
      const leftMs = request.deadlineMs - this.options.clock.nowMs()
      cancelTimer = this.options.clock.startTimer(leftMs, () => settle(refuse('deadlineExceeded', 'deadline passed while waiting')))
      request.signal.addEventListener('abort', abort)
      this.waiting.push(waiting)
    })
  }

  private placeWaiting (): void {
    for (const waiting of [...this.waiting]) {
      const placed = this.takeTarget(waiting.request)
      if (placed !== undefined) waiting.settle(Result.ok(placed))
    }
  }

  private getInFlight (target: string): number {
    return this.inFlight.get(target) ?? 0
  }

  private getBound (target: string): number {
    const sequences = this.directory.getEvidence(target).map(evidence => evidence.report.maxSequences ?? DEFAULT_MAX_SEQUENCES).unwrapOr(DEFAULT_MAX_SEQUENCES)
    return Math.max(1, Math.ceil(sequences / Math.max(1, this.options.listAliveInstances().length)))
  }
}

function refuse (reason: PlacementRefusal['reason'], detail: string): Result<Placement, PlacementRefusal> {
  return Result.err({ reason, detail, retryAfterMs: RETRY_AFTER_MS })
}
