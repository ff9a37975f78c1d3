import { type CancelTimer, type Snapshot, type Target } from '@fescuespoke/common'
import { type CacheEvent, type TargetState, type TargetStatus } from '@fescuespoke/schema'
import { type Maybe, Result } from 'true-myth'
import { MAX_OUTPUT_TOKENS } from './lengths/LengthTable.js'
import { type Candidate, type PlacementNeed } from './placement/Candidate.js'
import { type PickedTarget } from './placement/TargetPicker.js'
import { type WaitingRequest } from './queue/WaitingRequests.js'
import { type Placement, type PlacementEnd, type PlacementRefusal, type PlacementRequest, type Scheduler } from './Scheduler.js'
import { createSchedulerParts, type SchedulerParts } from './SchedulerParts.js'
import { type SchedulerCounters } from './SchedulerCounters.js'
import { type TargetEvidence } from './targets/TargetDirectory.js'
import { type TargetSchedulerOptions } from './TargetSchedulerOptions.js'

/** Interval at which credits are renewed and waiting requests tried again. */
const TICK_MS = 100

/** Targets asked at once for the first waiting request. */
const ASKED_AT_ONCE = 2

/** Waiting requests of one service that a credit is asked for at once. */
const ASKED_REQUESTS = 4

/** Peers asked for learned lengths, and longest wait for each. */
const LENGTHS_PEERS = 3
const LENGTHS_TIMEOUT_MS = 1000

/** Token interval of a target with little to do, as a share of the planned one. */
const FAST_INTERVAL_SHARE = 0.5

/** Time from dispatch to the first token, assumed for the shortest duration. */
const ASSUMED_FIRST_TOKEN_MS = 200

/** Wait after which a caller without any usable target may try again. */
const NO_TARGET_RETRY_MS = 2000

/** Failed requests remembered until they are placed again. */
const MAX_FAILED_REQUESTS = 1000

/** Tokens in good pace after which a request counts as a success. */
const SUCCESS_TOKENS = 32

/** Chooses targets for the requests of one instance, admits, queues and refuses. */
export class TargetScheduler implements Scheduler {
  /**
   * Creates a scheduler.
   * @param options - Options of the scheduler.
   */
  static create (options: TargetSchedulerOptions): TargetScheduler {
    return new TargetScheduler(options)
  }

  private readonly parts: SchedulerParts
  private cancelTick: CancelTimer | undefined
  private isPlacing = false
  /** Requests whose last target failed, oldest first; placing them again is a retry. */
  private readonly failedRequests = new Set<string>()

  /** @internal */
  private constructor (private readonly options: TargetSchedulerOptions) {
    this.parts = createSchedulerParts(options, () => this.placeWaiting())
    options.transport.setHandler('creditRequest', (message, from) => this.parts.coordinator.answerRequest(from, message))
    options.transport.setHandler('lengthsRequest', () => ({ type: 'lengthsAnswer', histograms: this.parts.lengths.encodeHistograms() }))
  }

  /** Starts the background tasks. */
  start (): void {
    this.cancelTick ??= this.options.clock.startTimer(TICK_MS, () => this.runTick())
    this.fetchLengths()
  }

  /** Stops the background tasks; waiting requests stay until their own end. */
  stop (): void {
    this.cancelTick?.()
    this.cancelTick = undefined
  }

  /**
   * Waits until a target is admitted for a request, or refuses it as soon as waiting cannot succeed.
   * @param request - The request.
   */
  async acquirePlacement (request: PlacementRequest): Promise<Result<Placement, PlacementRefusal>> {
    const { waiting, picker, retries, counters } = this.parts
    if (request.signal.aborted) return this.refuse({ reason: 'cancelledByCaller', detail: 'cancelled before placement' })
    if (picker.listUsable(request).length === 0) return this.refuse({ reason: 'noTarget', detail: 'no target of the service is usable', retryAfterMs: NO_TARGET_RETRY_MS })
    if (this.failedRequests.delete(request.request) && !retries.takeRetry(request.service.name)) {
      return this.refuse({ reason: 'overloaded', detail: 'the retry budget of the service is spent', retryAfterMs: NO_TARGET_RETRY_MS })
    }
    const item = this.createWaiting(request)
    const limit = waiting.checkWait(item)
    if (limit.isErr) return this.refuse(limit.error)
    const placed = waiting.hasBefore(item) ? undefined : this.takeTarget(item)
    if (placed !== undefined) return Result.ok(placed)
    counters.queued++
    const wait = waiting.waitForPlacement(item, limit.value)
    this.placeWaiting()
    return (await wait).mapErr(refusal => this.countRefusal(refusal))
  }

  /**
   * Observes a state report of a target.
   * @param target - Name of the target.
   * @param report - The report.
   * @param sentAtMs - Reading of the clock when the question was sent.
   */
  observeTargetState (target: string, report: TargetState, sentAtMs: number): void {
    const { directory, capacities, health, prefixes } = this.parts
    const before = directory.getEvidence(target)
    directory.observeReport(target, report, sentAtMs)
    capacities.observeReport(target, report)
    health.observeAnswer(target)
    if (before.isJust && before.value.report.incarnation !== report.incarnation) prefixes.remove(target)
  }

  /**
   * Observes that a target did not answer a question for its state.
   * @param target - Name of the target.
   */
  observeTargetSilence (target: string): void {
    this.parts.health.observeSilence(target)
  }

  /**
   * Observes cache events of a target, in the order in which they were read.
   * @param target - Name of the target.
   * @param events - The events.
   */
  observeCacheEvents (target: string, events: readonly CacheEvent[]): void {
    this.parts.prefixes.observeEvents(target, events)
  }

  /**
   * Gets the latest evidence of a target.
   * @param target - Name of the target.
   */
  getEvidence (target: string): Maybe<TargetEvidence> {
    return this.parts.directory.getEvidence(target)
  }

  /**
   * Lists the targets whose state this instance has to ask for: those it considers and those it coordinates.
   * @param snapshot - Snapshot in force.
   */
  listObservedTargets (snapshot: Snapshot): Target[] {
    return this.parts.subsets.listObserved(snapshot, target => this.parts.keeper.getCoordinator(target) === this.options.instance)
  }

  /** Lists what is known of each observed target, for operators. */
  listTargetStatus (): TargetStatus[] {
    return this.parts.listStatus()
  }

  /** Counts the requests that wait for a target. */
  countQueued (): number {
    return this.parts.waiting.count()
  }

  /** Gets the counters since the start. */
  getCounters (): SchedulerCounters {
    return { ...this.parts.counters, creditRequests: this.parts.ledger.getRequestCount(), bypasses: this.parts.ledger.getBypassCount() }
  }

  /** Fetches learned lengths from a few peers; nothing changes when none answers. */
  async fetchLengths (): Promise<void> {
    const peers = this.options.listAliveInstances().map(({ instance }) => instance).filter(instance => instance !== this.options.instance)
    for (const peer of peers.slice(0, LENGTHS_PEERS)) {
      const answer = await this.options.transport.request<'lengthsAnswer'>(peer, { type: 'lengthsRequest' }, LENGTHS_TIMEOUT_MS)
      if (answer.isOk) this.parts.lengths.acceptHistograms(answer.value.histograms)
    }
  }

  private runTick (): void {
    if (this.parts.policy.division === 'credits') this.parts.keeper.renewCredits()
    this.placeWaiting()
    this.cancelTick = this.options.clock.startTimer(TICK_MS, () => this.runTick())
  }

  private createWaiting (request: PlacementRequest): WaitingRequest {
    const lengths = this.parts.lengths.getTable(request.service.name, request.workspace)
    const outputTokens = request.service.kind === 'call' ? 0 : lengths.estimateRemaining(0, request.maxTokens)
    const shortTokens = request.service.kind === 'call' ? 0 : this.parts.lengths.estimateShortLength(request.service.name, request.workspace)
    return {
      request,
      workspace: request.workspace,
      priority: request.priority,
      pool: request.service.targets.join(' '),
      weight: request.snapshot.workspaces.get(request.workspace)?.weight ?? 1,
      cost: Math.max(1, request.promptTokens + outputTokens),
      shortestMs: ASSUMED_FIRST_TOKEN_MS + Math.min(shortTokens, outputTokens) * this.parts.tokenIntervalMs * FAST_INTERVAL_SHARE,
      enqueuedMs: this.options.clock.nowMs()
    }
  }

  private createNeed (request: PlacementRequest): PlacementNeed {
    return {
      priority: request.priority,
      shape: {
        promptTokens: request.promptTokens,
        maxTokens: request.maxTokens ?? MAX_OUTPUT_TOKENS,
        lengths: this.parts.lengths.getTable(request.service.name, request.workspace),
        isHighPriority: request.priority === 'high'
      }
    }
  }

  private takeTarget (item: WaitingRequest): Placement | undefined {
    const need = this.createNeed(item.request)
    const picked = this.parts.picker.pickTarget(item.request, need)
    if (picked === undefined) return undefined
    this.parts.waiting.observePlaced(item)
    return this.createPlacement(item.request, need, picked)
  }

  private createPlacement (request: PlacementRequest, need: PlacementNeed, picked: PickedTarget): Placement {
    const { picker, keeper, prefixes, health, counters } = this.parts
    const { target, own, needTokens } = picked.candidate
    const ownRequest = own.add(need.shape)
    keeper.observePlaced(target, needTokens)
    if (request.prefix !== undefined) prefixes.observeSent(target.name, request.prefix)
    counters.placed++
    let lastTokenMs: number | undefined
    let isReleased = false
    return {
      target,
      runs: picker.getServingModel(request, target.name),
      detail: picked.detail,
      observeTokens: totalTokens => {
        const nowMs = this.options.clock.nowMs()
        const added = totalTokens - ownRequest.producedTokens
        if (added <= 0) return
        if (lastTokenMs !== undefined) health.observeTokenGap(target.name, (nowMs - lastTokenMs) / added)
        lastTokenMs = nowMs
        if (totalTokens === SUCCESS_TOKENS) health.observeSuccess(target.name)
        const isFirst = ownRequest.producedTokens === 0
        own.observeTokens(ownRequest, totalTokens)
        if (isFirst) this.placeWaiting()
      },
      observePreemption: () => {
        counters.preemptions++
        lastTokenMs = undefined
      },
      release: end => {
        if (isReleased) return
        isReleased = true
        own.remove(ownRequest)
        this.handleEnd(end, target.name, request, ownRequest.producedTokens)
        this.placeWaiting()
      }
    }
  }

  private handleEnd (end: PlacementEnd, target: string, request: PlacementRequest, tokens: number): void {
    const { health, lengths, retries } = this.parts
    const handlers: Record<PlacementEnd, () => void> = {
      complete: () => {
        health.observeSuccess(target)
        retries.observeSuccess(request.service.name)
        if (tokens > 0) lengths.observeLength(request.service.name, request.workspace, tokens)
      },
      cancelled: () => {},
      targetFailed: () => this.observeFailure(request, target, false),
      targetUnreachable: () => this.observeFailure(request, target, true),
      rejected: () => health.observeFailure(target, false)
    }
    handlers[end]()
  }

  private observeFailure (request: PlacementRequest, target: string, isUnreachable: boolean): void {
    this.parts.health.observeFailure(target, isUnreachable)
    this.failedRequests.add(request.request)
    const oldest = this.failedRequests.values().next().value
    if (this.failedRequests.size > MAX_FAILED_REQUESTS && oldest !== undefined) this.failedRequests.delete(oldest)
  }

  /** Places waiting requests in order; once one finds no room, later ones of its pool wait too, so that small ones do not overtake large ones. */
  private placeWaiting (): void {
    if (this.isPlacing) return
    this.isPlacing = true
    const blocked = new Set<string>()
    for (const item of this.parts.waiting.list()) {
      if (blocked.has(item.pool)) continue
      const placement = this.takeTarget(item)
      if (placement !== undefined) {
        this.parts.waiting.settle(item, placement)
        continue
      }
      if (item.request.failedTargets.length === 0) blocked.add(item.pool)
      this.requestCredits(item)
    }
    this.isPlacing = false
  }

  private requestCredits (item: WaitingRequest): void {
    const { picker, keeper } = this.parts
    if (picker.getDivision(item.request) !== 'credits') return
    const ranked = picker.rankCandidates(item.request, this.createNeed(item.request))
    const asked = ranked.filter(({ target }) => keeper.canAsk(target)).slice(0, ASKED_AT_ONCE)
    for (const candidate of asked) this.requestCreditFor(item, candidate)
  }

  private requestCreditFor (item: WaitingRequest, candidate: Candidate): void {
    const sequences = Math.min(ASKED_REQUESTS, this.parts.waiting.countOf(item.pool))
    this.parts.keeper.requestCredit(candidate.target, { tokens: candidate.needTokens * sequences, sequences })
  }

  private refuse (refusal: PlacementRefusal): Result<Placement, PlacementRefusal> {
    return Result.err(this.countRefusal(refusal))
  }

  private countRefusal (refusal: PlacementRefusal): PlacementRefusal {
    const { refused } = this.parts.counters
    refused[refusal.reason] = (refused[refusal.reason] ?? 0) + 1
    return refusal
  }
}
