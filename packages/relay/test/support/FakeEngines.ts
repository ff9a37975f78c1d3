import { type VirtualClock } from '@fescuespoke/common'
import { Result } from 'true-myth'
import { type RelayTarget } from '../../src/model/RelayTarget.js'
import { type Attempt, type AttemptOptions, type CopyError, type CopyOptions, type HoldError, type RelayTargetClient, type RunCopy, type TargetReachability, type TargetReport } from '../../src/targets/RelayTargetClient.js'
import { ScriptedAttempt } from './FakeTargetClient.js'

/** Number of events of a stream and time between two of them, in milliseconds. */
const EVENTS_PER_STREAM = 25
const EVENT_INTERVAL_MS = 100

const COPY_MS = 20

interface EngineRun {
  readonly requestId: string
  readonly attempt: ScriptedAttempt
}

/** Engines of several software versions that all instances share. Each event names the version that produced it. */
export class FakeEngines implements RelayTargetClient {
  /** Creates a client without engines. */
  static create (clock: VirtualClock): FakeEngines {
    return new FakeEngines(clock)
  }

  private readonly runsByEngine = new Map<string, EngineRun[]>()
  private copies = 0

  private constructor (private readonly clock: VirtualClock) {}

  /** Starts an engine. */
  start (name: string): void {
    this.runsByEngine.set(name, [])
  }

  /** Ends an engine, which cuts off its streams. */
  crash (name: string): void {
    for (const { attempt } of this.runsByEngine.get(name) ?? []) attempt.finish('lost')
    this.runsByEngine.delete(name)
  }

  /** Cuts off the streams of an engine that keeps running. */
  reset (name: string): void {
    for (const { attempt } of this.runsByEngine.get(name) ?? []) attempt.finish('lost')
  }

  addNoticeListener (): void {}

  sendRequest (target: RelayTarget, options: AttemptOptions): Attempt {
    const runs = this.runsByEngine.get(target.name)
    const firstEvent = Number(options.lastEventId ?? 0) + 1
    const steps = Array.from({ length: Math.max(0, EVENTS_PER_STREAM + 1 - firstEvent) }, (_, index) => [EVENT_INTERVAL_MS, `id: ${firstEvent + index}\ndata: ${target.softwareVersion}\n\n`]).flat()
    const attempt = new ScriptedAttempt(this.clock, runs === undefined ? { error: 'notSent' } : { steps: [...steps, 'END'] }, options, () => undefined)
    runs?.push({ requestId: options.request.id, attempt })
    return attempt
  }

  async copyRun ({ requestId, from, to, isLast }: CopyOptions): Promise<Result<RunCopy, CopyError>> {
    await this.clock.sleep(COPY_MS)
    const run = this.runsByEngine.get(from.name)?.find(candidate => candidate.requestId === requestId && candidate.attempt.endState === undefined)
    if (run === undefined) return Result.err({ reason: this.runsByEngine.has(from.name) ? 'noRun' : 'unreachable' })
    if (!this.runsByEngine.has(to.name)) return Result.err({ reason: 'noRoom' })
    if (isLast) run.attempt.finish('lost')
    return Result.ok({ handle: `h${++this.copies}`, producedEvents: 0 })
  }

  async dropCopy (): Promise<void> {}

  async takeHold (): Promise<Result<string, HoldError>> {
    return Result.err('unanswered')
  }

  async dropHold (): Promise<void> {}

  async fetchReport (): Promise<Result<TargetReport, string>> {
    return Result.err('not scripted')
  }

  async fetchReachability ({ name }: RelayTarget): Promise<TargetReachability> {
    return this.runsByEngine.has(name) ? 'accepting' : 'refusing'
  }

  closeConnections (): void {}

  async close (): Promise<void> {}
}
