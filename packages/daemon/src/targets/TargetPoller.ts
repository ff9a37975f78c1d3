import { addJitter, type Clock, type Random, type Snapshot, type Target } from '@fescuespoke/common'
import { type TargetStateTracker } from '@fescuespoke/configuration'
import { type TargetScheduler } from '@fescuespoke/scheduling'
import { type TargetClient } from './TargetClient.js'

/** Options of a target poller. */
export interface TargetPollerOptions {
  readonly clock: Clock
  readonly random: Random
  readonly scheduler: TargetScheduler
  readonly targetClient: TargetClient
  readonly targetStates: TargetStateTracker
  readonly getSnapshot: () => Snapshot
  /** Minimum interval between polls of the same target, in milliseconds. */
  readonly intervalMs: number
  /** Maximum number of state polls per second over all targets. */
  readonly maxPollsPerSecond: number
}

/** Number of state polls per poll of the cache events. */
const STATE_POLLS_PER_CACHE_POLL = 4

/** Polls the state and cache events of this instance's targets, with one task per target. */
export class TargetPoller {
  /**
   * Creates a poller.
   * @param options - Options of the poller.
   */
  static create (options: TargetPollerOptions): TargetPoller {
    return new TargetPoller(options)
  }

  private readonly tasks = new Map<string, AbortController>()
  private isStopped = false

  /** @internal */
  private constructor (private readonly options: TargetPollerOptions) {}

  /** Starts tasks for new targets and stops the tasks of removed targets. */
  refreshTargets (): void {
    if (this.isStopped) return
    const targetsToPoll = new Map(this.options.scheduler.listTargetsToPoll(this.options.getSnapshot()).map(target => [target.name, target]))
    for (const [name, task] of this.tasks) if (!targetsToPoll.has(name)) this.stopTask(name, task)
    for (const target of targetsToPoll.values()) if (!this.tasks.has(target.name)) this.startTask(target)
  }

  /** Stops all tasks. */
  stop (): void {
    this.isStopped = true
    for (const [name, task] of this.tasks) this.stopTask(name, task)
  }

  private startTask (target: Target): void {
    const task = new AbortController()
    this.tasks.set(target.name, task)
    this.pollTarget(target, task.signal)
  }

  private stopTask (name: string, task: AbortController): void {
    task.abort()
    this.tasks.delete(name)
  }

  private async pollTarget (target: Target, signal: AbortSignal): Promise<void> {
    const { clock, random } = this.options
    let lastSequence = 0
    for (let pollCount = 0; !signal.aborted; pollCount++) {
      await this.pollState(this.getCurrentTarget(target))
      if (pollCount % STATE_POLLS_PER_CACHE_POLL === 0) lastSequence = await this.pollCacheEvents(this.getCurrentTarget(target), lastSequence)
      await clock.sleep(addJitter(random, this.computeIntervalMs()), signal)
    }
  }

  /** Lengthens the interval when there are many targets, so that the total poll rate stays within its limit. */
  private computeIntervalMs (): number {
    const { intervalMs, maxPollsPerSecond } = this.options
    return Math.max(intervalMs, this.tasks.size * 1000 / maxPollsPerSecond)
  }

  private getCurrentTarget (target: Target): Target {
    return this.options.getSnapshot().targets.get(target.name) ?? target
  }

  private async pollState (target: Target): Promise<void> {
    const { clock, scheduler, targetClient, targetStates } = this.options
    const sentAtMs = clock.nowMs()
    const report = await targetClient.fetchState(target)
    if (report.isErr) {
      scheduler.observeMissedPoll(target.name)
      return
    }
    targetStates.recordReport(target.name, report.value.state, sentAtMs)
    scheduler.observeTargetState(target.name, report.value, sentAtMs)
  }

  private async pollCacheEvents (target: Target, after: number): Promise<number> {
    const { scheduler, targetClient } = this.options
    if (!this.servesGenerations(target)) return after
    const events = await targetClient.fetchCacheEvents(target, after)
    if (events.isErr) return after
    scheduler.observeCacheEvents(target.name, events.value)
    return events.value.at(-1)?.sequence ?? after
  }

  private servesGenerations (target: Target): boolean {
    return [...this.options.getSnapshot().services.values()]
      .some(service => service.kind === 'generation' && service.targets.includes(target.name))
  }
}
