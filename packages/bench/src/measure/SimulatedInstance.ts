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
  /** Clock of the process, which may be paused. */
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
  /** Clock of the run, which is never paused: tokens are dated when the target makes them. */
  readonly nowMs: () => number
  readonly listAliveInstances: () => readonly AliveInstance[]
}

const STATE_MS = 500
const MAX_ATTEMPTS = 3

/** One entry instance of a run: the real scheduler and a small part of the request path. */
export class SimulatedInstance {
  /**
   * Creates an instance.
   * @param options - Options.
   */
  static create (options: SimulatedInstanceOptions): SimulatedInstance {
    return new SimulatedInstance(options)
  }

  /** The decisions under measurement. */
  readonly scheduler: TargetScheduler
  private readonly lastEvents = new Map<string, number>()
  private readonly open = new Set<string>()
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

  /** Gets the name. */
  get name (): string {
    return this.options.name
  }

  /** Gets the availability zone. */
  get availabilityZone (): string {
    return this.options.availabilityZone
  }

  /** Tells whether callers can connect. */
  isReachable (): boolean {
    return !this.isDead
  }

  /** Starts the scheduler and the reading of targets' states. */
  start (): void {
    this.scheduler.start()
    this.readTargets()
  }

  /** Dies; the requests that it owns break. */
  kill (): void {
    this.isDead = true
    this.scheduler.stop()
    for (const id of this.open) this.options.statistics.recordEnd(id, 'broken')
  }

  /**
   * Runs a request to its end.
   * @param arrival - The request.
   */
  async runRequest (arrival: Arrival): Promise<void> {
    this.open.add(arrival.id)
    const { statistics, clock, latencyMs } = this.options
    await clock.sleep(latencyMs)
    const failedTargets: string[] = []
    const deadlineMs = arrival.atMs + arrival.service.deadlineMs
    for (let attempt = 0; attempt < MAX_ATTEMPTS; attempt++) {
      const placed = await this.scheduler.acquirePlacement(this.createRequest(arrival, deadlineMs, failedTargets))
      if (placed.isErr) break
      await clock.sleep(latencyMs)
      const result = await this.useTarget(arrival, placed.value, attempt)
      placed.value.release(result.end)
      if (result.end === 'complete') {
        this.open.delete(arrival.id)
        statistics.recordEnd(arrival.id, this.options.nowMs() <= deadlineMs ? 'complete' : 'late')
        return
      }
      failedTargets.push(placed.value.target.name)
      if (result.hasTokens) {
        this.open.delete(arrival.id)
        statistics.recordEnd(arrival.id, 'broken')
        return
      }
    }
    this.open.delete(arrival.id)
    statistics.recordEnd(arrival.id, 'notRun')
  }

  private createRequest (arrival: Arrival, deadlineMs: number, failedTargets: readonly string[]): Parameters<TargetScheduler['acquirePlacement']>[0] {
    const { snapshot } = this.options
    const service = snapshot.services.get(arrival.service.name) as Service
    return {
      requestId: arrival.id,
      workspace: `w${arrival.workspace}`,
      service,
      snapshot,
      priority: service.priority,
      promptTokens: arrival.promptTokens,
      maxTokens: arrival.service.output.maxTokens,
      prefix: arrival.service.prefixTokens > 0 ? formatPrefix(arrival) : undefined,
      deadlineMs,
      failedTargets: [...failedTargets],
      signal: new AbortController().signal
    }
  }

  private async useTarget (arrival: Arrival, placement: Placement, attempt: number): Promise<{ readonly end: PlacementOutcome, readonly hasTokens: boolean }> {
    const target = this.options.targets.get(placement.target.name) as SimulatedTarget
    const { statistics, nowMs } = this.options
    if (!target.isReachable()) return { end: 'targetUnreachable', hasTokens: false }
    return await new Promise(resolve => {
      let hasTokens = false
      const isTaken = target.startRequest(arrival, `${arrival.id}-${attempt}`, {
        observeToken: total => {
          hasTokens = true
          statistics.recordToken(arrival.id, nowMs())
          if (!this.isDead) placement.observeTokens(total)
        },
        observePreemption: () => {
          statistics.recordPreemption(arrival.id)
          placement.observePreemption()
        },
        observeEnd: isComplete => resolve({ end: isComplete ? 'complete' : 'targetFailed', hasTokens })
      })
      if (!isTaken) resolve({ end: 'rejected', hasTokens: false })
    })
  }

  private readTargets (): void {
    if (this.isDead) return
    for (const { name } of this.scheduler.listTargetsToPoll(this.options.snapshot)) this.readTarget(this.options.targets.get(name) as SimulatedTarget)
    this.options.clock.startTimer(STATE_MS, () => this.readTargets())
  }

  private readTarget (target: SimulatedTarget): void {
    const { name } = target.target
    if (!target.isReachable()) {
      this.scheduler.observeMissedPoll(name)
      return
    }
    this.scheduler.observeTargetState(name, target.getState(), this.options.clock.nowMs() - 2 * this.options.latencyMs)
    const events = target.listCacheEvents(this.lastEvents.get(name) ?? 0)
    const last = events.at(-1)
    if (last === undefined) return
    this.lastEvents.set(name, last.sequence)
    this.scheduler.observeCacheEvents(name, events)
  }
}
