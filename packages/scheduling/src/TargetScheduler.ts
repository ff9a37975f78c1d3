import { type CancelTimer, type Snapshot, type Target } from '@fescuespoke/common'
import { type CacheEvent, type TargetState, type TargetStatus } from '@fescuespoke/schema'
import { type Maybe, Result } from 'true-myth'
import { MAX_OUTPUT_TOKENS } from './lengths/LengthDistribution.js'
import { type Candidate, type PlacementRequirements } from './placement/Candidate.js'
import { PlacedRequest } from './placement/PlacedRequest.js'
import { type PickedTarget } from './placement/TargetPicker.js'
import { createQueuedRequest } from './queue/createQueuedRequest.js'
import { type QueuedRequest } from './queue/PlacementQueue.js'
import { type Placement, type PlacementRefusal, type PlacementRequest, type Scheduler } from './Scheduler.js'
import { createSchedulerComponents, type SchedulerComponents } from './SchedulerComponents.js'
import { type SchedulerCounters } from './SchedulerCounters.js'
import { type TargetPoll } from './targets/TargetStateCache.js'
import { type TargetSchedulerOptions } from './TargetSchedulerOptions.js'

/** Interval at which credits are renewed and placement of queued requests is retried. */
const TICK_INTERVAL_MS = 100

/** Maximum number of targets for which a queued request triggers a credit request at once. */
const MAX_CREDIT_TARGETS = 2

/** Maximum number of queued requests of one pool that a credit request covers. */
const MAX_CREDIT_SEQUENCES = 4

/** Maximum number of peers from which output length statistics are requested, and timeout of each request. */
const MAX_STATISTICS_PEERS = 3
const STATISTICS_TIMEOUT_MS = 1000

/** Time after which a caller may retry when no target is usable or the retry budget is exhausted. */
const RETRY_AFTER_MS = 2000

/** Schedules the requests of one instance: picks targets, queues requests while no target has capacity, and refuses those that cannot succeed. */
export class TargetScheduler implements Scheduler {
  /**
   * Creates a scheduler.
   * @param options - Options of the scheduler.
   */
  static create (options: TargetSchedulerOptions): TargetScheduler {
    return new TargetScheduler(options)
  }

  private readonly components: SchedulerComponents
  private cancelTick: CancelTimer | undefined
  private isPlacing = false

  /** @internal */
  private constructor (private readonly options: TargetSchedulerOptions) {
    this.components = createSchedulerComponents(options, () => this.placeQueuedRequests())
    options.transport.setHandler('creditRequest', (message, from) => this.components.coordinator.answerRequest(from, message))
    options.transport.setHandler('lengthsRequest', () => ({ type: 'lengthsAnswer', histograms: this.components.outputLengths.encodeHistograms() }))
  }

  /** Starts the background tasks. */
  start (): void {
    this.cancelTick ??= this.options.clock.startTimer(TICK_INTERVAL_MS, () => this.runTick())
    this.fetchLengthStatistics()
  }

  /** Stops the background tasks. Queued requests remain until they are placed, refused or cancelled. */
  stop (): void {
    this.cancelTick?.()
    this.cancelTick = undefined
  }

  /**
   * Waits until a target admits the request. Refuses the request as soon as waiting can no longer succeed.
   * @param request - The request.
   */
  async acquirePlacement (request: PlacementRequest): Promise<Result<Placement, PlacementRefusal>> {
    const { queue, picker, failedRequests, retryBudget, counters } = this.components
    if (request.signal.aborted) return this.refuse({ reason: 'cancelledByCaller', detail: 'cancelled before placement' })
    if (picker.listUsable(request).length === 0) return this.refuse({ reason: 'noTarget', detail: 'no usable target for the service', retryAfterMs: RETRY_AFTER_MS })
    if (failedRequests.take(request.requestId) && !retryBudget.tryConsumeRetry(request.service.name)) {
      return this.refuse({ reason: 'overloaded', detail: 'retry budget of the service is exhausted', retryAfterMs: RETRY_AFTER_MS })
    }
    const item = createQueuedRequest(this.components, request, this.options.clock.nowMs())
    const maxWait = queue.checkExpectedWait(item)
    if (maxWait.isErr) return this.refuse(maxWait.error)
    const placement = queue.hasEarlierRequests(item) ? undefined : this.tryPlace(item)
    if (placement !== undefined) return Result.ok(placement)
    counters.queued++
    const wait = queue.waitForPlacement(item, maxWait.value)
    this.placeQueuedRequests()
    return (await wait).mapErr(refusal => this.countRefusal(refusal))
  }

  /**
   * Records a state report of a target.
   * @param target - Name of the target.
   * @param report - The report.
   * @param sentAtMs - Clock time at which the state request was sent.
   */
  observeTargetState (target: string, report: TargetState, sentAtMs: number): void {
    const { stateCache, capacities, health, prefixIndex } = this.components
    const previousPoll = stateCache.getLatestPoll(target)
    stateCache.observeReport(target, report, sentAtMs)
    capacities.observeReport(target, report)
    health.observePollResponse(target)
    if (previousPoll.isJust && previousPoll.value.report.incarnation !== report.incarnation) prefixIndex.remove(target)
  }

  /**
   * Records that a target did not answer a state request.
   * @param target - Name of the target.
   */
  observeMissedPoll (target: string): void {
    this.components.health.observeMissedPoll(target)
  }

  /**
   * Records cache events of a target.
   * @param target - Name of the target.
   * @param events - Events in the order in which they were read.
   */
  observeCacheEvents (target: string, events: readonly CacheEvent[]): void {
    this.components.prefixIndex.observeEvents(target, events)
  }

  /**
   * Returns the latest state report of a target and the time of its request; `Maybe.nothing()` if there is none.
   * @param target - Name of the target.
   */
  getLatestPoll (target: string): Maybe<TargetPoll> {
    return this.components.stateCache.getLatestPoll(target)
  }

  /**
   * Returns the targets whose state this instance polls: those of its subsets and those that it coordinates.
   * @param snapshot - Current configuration snapshot.
   */
  listTargetsToPoll (snapshot: Snapshot): Target[] {
    return this.components.subsets.listTargetsToPoll(snapshot, target => this.components.creditRenewer.getCoordinator(target) === this.options.instance)
  }

  /** Returns the status of each polled target, for operators. */
  listTargetStatus (): TargetStatus[] {
    return this.components.listStatus()
  }

  /** Returns the number of queued requests. */
  countQueued (): number {
    return this.components.queue.count()
  }

  /** Returns a copy of the counters. */
  getCounters (): SchedulerCounters {
    return { ...this.components.counters, creditRequests: this.components.creditClient.getRequestCount(), bypasses: this.components.creditClient.getBypassCount() }
  }

  /** Imports output length statistics from a few peers. Peers that do not answer are skipped. */
  async fetchLengthStatistics (): Promise<void> {
    const peers = this.options.listAliveInstances().map(({ instance }) => instance).filter(instance => instance !== this.options.instance)
    for (const peer of peers.slice(0, MAX_STATISTICS_PEERS)) {
      const answer = await this.options.transport.request<'lengthsAnswer'>(peer, { type: 'lengthsRequest' }, STATISTICS_TIMEOUT_MS)
      if (answer.isOk) this.components.outputLengths.importHistograms(answer.value.histograms)
    }
  }

  private runTick (): void {
    if (this.components.policy.capacityAllocation === 'credits') this.components.creditRenewer.renewCredits()
    this.placeQueuedRequests()
    this.cancelTick = this.options.clock.startTimer(TICK_INTERVAL_MS, () => this.runTick())
  }

  private createRequirements (request: PlacementRequest): PlacementRequirements {
    return {
      priority: request.priority,
      shape: {
        promptTokens: request.promptTokens,
        maxTokens: request.maxTokens ?? MAX_OUTPUT_TOKENS,
        lengthDistribution: this.components.outputLengths.getDistribution(request.service.name, request.workspace),
        isHighPriority: request.priority === 'high'
      }
    }
  }

  private tryPlace (item: QueuedRequest): Placement | undefined {
    const requirements = this.createRequirements(item.request)
    const picked = this.components.picker.pickTarget(item.request, requirements)
    if (picked === undefined) return undefined
    this.components.queue.observePlacement(item)
    return this.createPlacement(item.request, requirements, picked)
  }

  private createPlacement (request: PlacementRequest, requirements: PlacementRequirements, picked: PickedTarget): Placement {
    const { components, options: { clock } } = this
    const { creditRenewer, prefixIndex, counters } = components
    const { target, requiredTokens } = picked.candidate
    const placement = PlacedRequest.create({ clock, components, request, shape: requirements.shape, picked, handleCapacityChange: () => this.placeQueuedRequests() })
    creditRenewer.observePlacement(target, requiredTokens)
    if (request.prefix !== undefined) prefixIndex.observeSent(target.name, request.prefix)
    counters.placed++
    return placement
  }

  /** Places queued requests in order. Once a request finds no capacity, later requests of its pool stay queued, so that small requests do not overtake large ones. */
  private placeQueuedRequests (): void {
    if (this.isPlacing) return
    this.isPlacing = true
    const blockedPools = new Set<string>()
    for (const item of this.components.queue.list()) {
      if (blockedPools.has(item.pool)) continue
      const placement = this.tryPlace(item)
      if (placement !== undefined) {
        this.components.queue.resolveWait(item, placement)
        continue
      }
      if (item.request.failedTargets.length === 0) blockedPools.add(item.pool)
      this.requestCredits(item)
    }
    this.isPlacing = false
  }

  private requestCredits (item: QueuedRequest): void {
    const { picker, creditRenewer } = this.components
    if (picker.getCapacityAllocation(item.request) !== 'credits') return
    const candidates = picker.rankCandidates(item.request, this.createRequirements(item.request))
    const selected = candidates.filter(({ target }) => creditRenewer.canRequestCredit(target)).slice(0, MAX_CREDIT_TARGETS)
    for (const candidate of selected) this.requestCredit(item, candidate)
  }

  private requestCredit (item: QueuedRequest, candidate: Candidate): void {
    const sequences = Math.min(MAX_CREDIT_SEQUENCES, this.components.queue.countInPool(item.pool))
    this.components.creditRenewer.requestCredit(candidate.target, { tokens: candidate.requiredTokens * sequences, sequences })
  }

  private refuse (refusal: PlacementRefusal): Result<Placement, PlacementRefusal> {
    return Result.err(this.countRefusal(refusal))
  }

  private countRefusal (refusal: PlacementRefusal): PlacementRefusal {
    const { refused } = this.components.counters
    refused[refusal.reason] = (refused[refusal.reason] ?? 0) + 1
    return refusal
  }
}
