import { type Clock, type PeerTransport, type Random, type Service, type Snapshot } from '@fescuespoke/common'
import { createScheduler, type AliveInstance, type Placement, type PlacementOutcome, type TargetScheduler } from '@fescuespoke/scheduling'
import { type AnswerStatistics } from './AnswerStatistics.js'
import { type Arrival } from './arrivals.js'
import { formatPrefix, type SimulatedTarget } from './SimulatedTarget.js'

/** Options of a simulated instance. */
export interface SimulatedInstanceOptions {
  readonly name: string
  readonly availabilityZone: string
  readonly region: string
  /** Clock of the instance, which stops while the instance is paused. */
  readonly clock: Clock
  readonly random: Random
  readonly transport: PeerTransport
  readonly policy: string
  readonly tokenIntervalMs: number
  readonly fixedSequences: number
  readonly latencyMs: number
  readonly snapshot: Snapshot
  readonly targets: ReadonlyMap<string, SimulatedTarget>
  readonly statistics: AnswerStatistics
  /** Returns the time of the run, which is never paused. Tokens are recorded at the time when a target produces them. */
  readonly nowMs: () => number
  readonly listAliveInstances: () => readonly AliveInstance[]
}

const POLL_INTERVAL_MS = 500
const MAX_ATTEMPTS = 3

/** Simulated entry instance: the real scheduler and a reduced request path. */
export class SimulatedInstance {
  /**
   * Creates an instance.
   * @param options - Options.
   */
  static create (options: SimulatedInstanceOptions): SimulatedInstance {
    return new SimulatedInstance(options)
  }

  /** Scheduler whose policy is measured. */
  readonly scheduler: TargetScheduler
  private readonly lastEventSequences = new Map<string, number>()
  private readonly openRequests = new Set<string>()
  private isDead = false

  /** @internal */
  private constructor (private readonly options: SimulatedInstanceOptions) {
    const { name, availabilityZone, region, clock, random, transport, policy, tokenIntervalMs, fixedSequences, listAliveInstances } = options
    this.scheduler = createScheduler({
      instance: name,
      availabilityZone,
      region,
      clock,
      random,
      transport,
      listAliveInstances,
      fixedSequences,
      settings: { policy, tokenIntervalMs }
    })
  }

  /** Returns the name of the instance. */
  get name (): string {
    return this.options.name
  }

  /** Returns the availability zone of the instance. */
  get availabilityZone (): string {
    return this.options.availabilityZone
  }

  /** Returns whether callers can connect. */
  isReachable (): boolean {
    return !this.isDead
  }

  /** Starts the scheduler and the polling of target states. */
  start (): void {
    this.scheduler.start()
    this.pollTargets()
  }

  /** Kills the instance and records its open requests as broken. */
  kill (): void {
    this.isDead = true
    this.scheduler.stop()
    for (const id of this.openRequests) this.options.statistics.recordEnd(id, 'broken')
  }

  /**
   * Runs a request until it ends and records the outcome.
   * @param arrival - The request.
   */
  async runRequest (arrival: Arrival): Promise<void> {
    this.openRequests.add(arrival.id)
    const { statistics, clock, latencyMs } = this.options
    await clock.sleep(latencyMs)
    const failedTargets: string[] = []
    const deadlineMs = arrival.atMs + arrival.service.deadlineMs
    for (let attempt = 0; attempt < MAX_ATTEMPTS; attempt++) {
      const placementResult = await this.scheduler.acquirePlacement(this.createRequest(arrival, deadlineMs, failedTargets))
      if (placementResult.isErr) break
      await clock.sleep(latencyMs)
      const attemptResult = await this.runAttempt(arrival, placementResult.value, attempt)
      placementResult.value.release(attemptResult.outcome)
      if (attemptResult.outcome === 'complete') {
        this.openRequests.delete(arrival.id)
        statistics.recordEnd(arrival.id, this.options.nowMs() <= deadlineMs ? 'complete' : 'late')
        return
      }
      failedTargets.push(placementResult.value.target.name)
      if (attemptResult.hasTokens) {
        this.openRequests.delete(arrival.id)
        statistics.recordEnd(arrival.id, 'broken')
        return
      }
    }
    this.openRequests.delete(arrival.id)
    statistics.recordEnd(arrival.id, 'notRun')
  }

  private createRequest (arrival: Arrival, deadlineMs: number, failedTargets: readonly string[]): Parameters<TargetScheduler['acquirePlacement']>[0] {
    const { snapshot } = this.options
    const service = snapshot.services.get(arrival.service.name) as Service
    return {
      requestId: arrival.id,
      workspace: `w${arrival.workspaceIndex}`,
      service,
      snapshot,
      priority: service.priority,
      promptTokens: arrival.promptTokens,
      maxTokens: arrival.service.outputLength.maxTokens,
      prefix: arrival.service.prefixTokens > 0 ? formatPrefix(arrival) : undefined,
      deadlineMs,
      failedTargets: [...failedTargets],
      signal: new AbortController().signal
    }
  }

  private async runAttempt (arrival: Arrival, placement: Placement, attempt: number): Promise<{ readonly outcome: PlacementOutcome, readonly hasTokens: boolean }> {
    const target = this.options.targets.get(placement.target.name) as SimulatedTarget
    const { statistics, nowMs } = this.options
    if (!target.isReachable()) return { outcome: 'targetUnreachable', hasTokens: false }
    return await new Promise(resolve => {
      let hasTokens = false
      const isAccepted = target.startRequest(arrival, `${arrival.id}-${attempt}`, {
        handleToken: tokenCount => {
          hasTokens = true
          statistics.recordToken(arrival.id, nowMs())
          if (!this.isDead) placement.observeTokens(tokenCount)
        },
        handlePreemption: () => {
          statistics.recordPreemption(arrival.id)
          placement.observePreemption()
        },
        handleEnd: isComplete => resolve({ outcome: isComplete ? 'complete' : 'targetFailed', hasTokens })
      })
      if (!isAccepted) resolve({ outcome: 'rejected', hasTokens: false })
    })
  }

  private pollTargets (): void {
    if (this.isDead) return
    for (const { name } of this.scheduler.listTargetsToPoll(this.options.snapshot)) this.pollTarget(this.options.targets.get(name) as SimulatedTarget)
    this.options.clock.startTimer(POLL_INTERVAL_MS, () => this.pollTargets())
  }

  private pollTarget (target: SimulatedTarget): void {
    const { name } = target.target
    if (!target.isReachable()) {
      this.scheduler.observeMissedPoll(name)
      return
    }
    this.scheduler.observeTargetState(name, target.getState(), this.options.clock.nowMs() - 2 * this.options.latencyMs)
    const events = target.listCacheEvents(this.lastEventSequences.get(name) ?? 0)
    const lastEvent = events.at(-1)
    if (lastEvent === undefined) return
    this.lastEventSequences.set(name, lastEvent.sequence)
    this.scheduler.observeCacheEvents(name, events)
  }
}
