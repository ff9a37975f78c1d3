import { type Result } from 'true-myth'
import { type TargetLoads } from '../loads/TargetLoads.js'
import { type RelayMetrics } from '../logs/RelayMetrics.js'
import { type EngineProfile } from '../model/RelayConfiguration.js'
import { type RelayTarget } from '../model/RelayTarget.js'
import { type CopyError, type RunCopy } from '../targets/RelayTargetClient.js'
import { type TrackedTarget, type TargetTable } from '../targets/TargetTable.js'
import { waitForCopyTurn } from './CopyTurn.js'
import { computeCopyDurationMs, REMOTE_COPY_FACTOR } from './computeCopyDuration.js'
import { type MovableRun } from './MovableRun.js'
import { type StandbyCopy } from './StandbyCopy.js'
import { DROP_TIMEOUT_MS, MOVE_DEADLINE_MS, type MoveResult, RunMove, type RunMoveDependencies, type RunMoveOptions } from './RunMove.js'

/** Options of a mover. */
export interface RunMoverOptions extends RunMoveDependencies {
  readonly table: TargetTable
  readonly loads: TargetLoads
  /** Name of this instance. */
  readonly instance: string
  readonly metrics: RelayMetrics
  /** Returns the time after which this instance ends its requests, in milliseconds; `Infinity` unless it stops. */
  readonly getTimeLeftMs: () => number
}

/** Time left of this instance below which runs stay at an engine that leaves, in milliseconds; the engine serves longer than that after its notice. */
const MIN_TIME_LEFT_MS = 1500

/** Number of whole copies for which a move has time, and the time for all else, in milliseconds, until the next run is moved beside it. */
const COPIES_PER_MOVE = 2
const LATE_MOVE_MS = 250

/** Interval at which runs that the engine has not started are tried again, in milliseconds. */
const START_CHECK_INTERVAL_MS = 40

/** Maximum time to wait until an engine has stopped a run whose stream was interrupted, in milliseconds. */
export const STOP_TIMEOUT_MS = 300

/** Delay before an engine is asked a second time to stop a run, in milliseconds. */
export const STOP_RETRY_DELAY_MS = 50

/** Outcomes of the last copy after which no engine executes the run; an engine that cannot be reached is taken as gone. */
const RECOVERABLE_OUTCOMES: ReadonlySet<string> = new Set(['copied', 'noRun', 'noRoom', 'unreachable'])

/** Results of a move after which the run is tried again: it had not started, or its move was not over in time. */
const RETRIED_RESULTS: ReadonlySet<MoveResult | 'late'> = new Set(['noRun', 'busy', 'late'])

/** Completion value that weighs as much as one token of held memory when runs are sorted. */
const VALUE_PER_HELD_TOKEN = 10

/** Moves generations off engines that shut down, one after the other and in turns with the other instances. */
export class RunMover {
  /**
   * Creates a mover.
   * @param options - Options of the mover.
   */
  static create (options: RunMoverOptions): RunMover {
    return new RunMover(options)
  }

  private readonly runs = new Set<MovableRun>()
  private readonly moving = new Set<MovableRun>()
  private readonly standbyCopies = new Map<MovableRun, StandbyCopy>()
  /** Name of the engine of the last attempted move of each run; it prevents an immediate retry of a move that failed. */
  private readonly lastSourceByRun = new WeakMap<MovableRun, string>()
  /** Name of the last engine off which each run was moved a second time. */
  private readonly secondSourceByRun = new WeakMap<MovableRun, string>()

  /** @internal */
  private constructor (private readonly options: RunMoverOptions) {
    options.table.addListener(tracked => this.handleTargetChange(tracked))
  }

  /**
   * Adds a run of which an attempt started at a target, and drops a copy that was made of an earlier attempt.
   * @param run - The run.
   */
  addRun (run: MovableRun): void {
    this.runs.add(run)
    this.dropStandbyCopy(run)
    const tracked = this.options.table.getTracked(run.getTarget()?.name ?? '')
    if (tracked === undefined) return
    this.allowSecondMove(run, tracked.target.name)
    this.handleTargetChange(tracked)
  }

  /**
   * Removes a run that has ended.
   * @param run - The run.
   */
  removeRun (run: MovableRun): void {
    this.runs.delete(run)
    this.dropStandbyCopy(run)
  }

  /**
   * Lets a run whose stream was interrupted continue from a copy of its memory, if there is one and the previous engine no longer
   * executes the run.
   * @param run - The run.
   */
  async recoverRun (run: MovableRun): Promise<void> {
    const copy = this.standbyCopies.get(run)
    if (copy === undefined) return
    const lastCopy = await this.stopAtSource(run, copy)
    const outcome = lastCopy.isOk ? 'copied' : lastCopy.error.reason
    const isStopped = RECOVERABLE_OUTCOMES.has(outcome)
    this.options.log.recordDecision(run.requestId, 'run recovered', { source: copy.source.name, destination: copy.reservation.target.name, lastCopy: outcome, isStopped })
    if (!isStopped) return this.dropStandbyCopy(run)
    this.standbyCopies.delete(run)
    this.options.budget.recordAttempt(run.service.name)
    const { handle, producedEvents } = lastCopy.unwrapOr({ handle: copy.handle, producedEvents: 0 })
    run.continueAt({ reservation: copy.reservation, continuation: { address: copy.source.address, handle }, source: copy.source, producedEvents })
  }

  /**
   * Moves a run whose stream has stalled, within the retry budget: the connection may be silent while the engine still executes the run.
   * @param run - The run.
   */
  moveStalledRun (run: MovableRun): void {
    if (!this.options.budget.hasAttempt(run.service.name, 'move')) return
    const tracked = this.options.table.getTracked(run.getTarget()?.name ?? '')
    if (tracked === undefined || this.isMoving(run) || run.service.engine?.canMove !== true || this.isEnding()) return
    this.moveRun({ run, source: tracked.target, noticeAtMs: this.options.clock.nowMs(), mustStopAtOnce: true })
  }

  /**
   * Returns whether a run is being moved.
   * @param run - The run.
   */
  isMoving (run: MovableRun): boolean {
    return this.moving.has(run)
  }

  /**
   * Returns whether there is a copy of a run's memory that the run has not used.
   * @param run - The run.
   */
  hasStandbyCopy (run: MovableRun): boolean {
    return this.standbyCopies.has(run)
  }

  /** Lets a run that went back to its source, because its destination refused it, be moved once more, within the retry budget. */
  private allowSecondMove (run: MovableRun, source: string): void {
    const isBack = this.lastSourceByRun.get(run) === source && this.secondSourceByRun.get(run) !== source
    if (!isBack || !this.options.budget.hasAttempt(run.service.name, 'move')) return
    this.secondSourceByRun.set(run, source)
    this.lastSourceByRun.delete(run)
  }

  private handleTargetChange ({ target, state, stateSinceMs: noticeAtMs }: TrackedTarget): void {
    if (state !== 'leaving' && state !== 'gone') return
    this.moveRuns(target, noticeAtMs)
  }

  /** Moves the runs of this instance one after the other, once the instances before it have finished. */
  private async moveRuns (source: RelayTarget, noticeAtMs: number): Promise<void> {
    const { clock, loads, log } = this.options
    const affectedRuns = [...this.runs].filter(run => run.getTarget()?.name === source.name && this.canMoveRun(run, source))
    const profile = affectedRuns[0]?.service.engine
    if (profile === undefined) return
    if (this.isEnding()) return this.options.log.recordStateChange('runs not moved while stopping', { source: source.name, runs: affectedRuns.length, timeLeftMs: Math.round(this.options.getTimeLeftMs()) })
    for (const run of affectedRuns) this.lastSourceByRun.set(run, source.name)
    await this.waitForTurn(source, noticeAtMs, profile)
    log.recordStateChange('moves started', {
      source: source.name, runs: affectedRuns.length, ownTokens: loads.getOwnLoad(source.name).heldTokens, totalTokens: loads.getTotalLoad(source.name).heldTokens, waitedMs: Math.round(clock.nowMs() - noticeAtMs)
    })
    await this.moveSequentially(sortForMove(affectedRuns), source, noticeAtMs)
  }

  private async waitForTurn (source: RelayTarget, noticeAtMs: number, profile: EngineProfile): Promise<void> {
    const { clock, loads, instance } = this.options
    await waitForCopyTurn({ clock, loads, instance, engine: source.name, profile, latestStartMs: noticeAtMs + MOVE_DEADLINE_MS })
  }

  /** Moves runs in their order. Runs that the engine has not started, or that are moved already because they are silent, are tried again after the others. */
  private async moveSequentially (runs: MovableRun[], source: RelayTarget, noticeAtMs: number): Promise<void> {
    const { clock } = this.options
    const queue = [...runs]
    while (queue.length > 0 && clock.nowMs() - noticeAtMs < MOVE_DEADLINE_MS && !this.isEnding()) {
      const run = queue.shift()!
      if (run.isClosed() || run.isContinuing() || run.getTarget()?.name !== source.name) continue
      const result = this.isMoving(run) ? 'busy' : await this.moveInTurn({ run, source, noticeAtMs })
      if (!RETRIED_RESULTS.has(result)) continue
      queue.push(run)
      await clock.sleep(START_CHECK_INTERVAL_MS)
    }
  }

  /** Moves a run; one that takes much longer than its copies should, because an answer is late or lost, does not keep the next one waiting. */
  private async moveInTurn (options: RunMoveOptions): Promise<MoveResult | 'late'> {
    const { run } = options
    const copiesMs = run.service.engine === undefined ? 0 : COPIES_PER_MOVE * REMOTE_COPY_FACTOR * computeCopyDurationMs(run.getHeldTokens(), run.service.engine)
    const late = this.options.clock.sleep(copiesMs + LATE_MOVE_MS).then(() => 'late' as const)
    return await Promise.race([this.moveRun(options), late])
  }

  /** Returns whether this instance ends its requests so soon that a move could only stop a run that would be complete before. */
  private isEnding (): boolean {
    return this.options.getTimeLeftMs() < MIN_TIME_LEFT_MS
  }

  private canMoveRun (run: MovableRun, source: RelayTarget): boolean {
    return run.service.engine?.canMove === true && this.lastSourceByRun.get(run) !== source.name
  }

  private async moveRun (options: RunMoveOptions): Promise<MoveResult> {
    const { run } = options
    this.moving.add(run)
    const move = RunMove.create(this.options, options)
    const result = await move.run()
    this.moving.delete(run)
    this.keepStandbyCopy(run, move.takeStandbyCopy())
    if (result !== 'noRun' && (!run.isClosed() || result === 'moved')) this.recordMove(options, result)
    return result
  }

  /** Stops a run at its source if it still executes there, and copies the rest of its memory. */
  private async stopAtSource (run: MovableRun, { source, reservation }: StandbyCopy): Promise<Result<RunCopy, CopyError>> {
    const stop = async (): Promise<Result<RunCopy, CopyError>> => await this.options.gateway.copyRun({ requestId: run.requestId, from: source, to: reservation.target, isLast: true, timeoutMs: STOP_TIMEOUT_MS })
    const lastCopy = await stop()
    const isExpectedToRun = this.options.table.getTracked(source.name)?.state === 'ready'
    const isUnclear = lastCopy.isErr && (lastCopy.error.reason === 'busy' || (lastCopy.error.reason === 'unreachable' && isExpectedToRun))
    if (!isUnclear) return lastCopy
    await this.options.clock.sleep(STOP_RETRY_DELAY_MS)
    return await stop()
  }

  private keepStandbyCopy (run: MovableRun, copy: StandbyCopy | undefined): void {
    if (copy === undefined) return
    // Another copy to the same engine only completes the earlier one, and keeps its handle.
    this.dropStandbyCopy(run, copy.handle)
    this.standbyCopies.set(run, copy)
    const target = run.getTarget()
    if (run.isClosed() || (target !== undefined && target.name !== copy.source.name)) this.dropStandbyCopy(run)
  }

  /** Releases the reservation of a copy and frees its memory, unless its handle is one that is still used. */
  private dropStandbyCopy (run: MovableRun, usedHandle?: string): void {
    const copy = this.standbyCopies.get(run)
    if (copy === undefined) return
    this.standbyCopies.delete(run)
    copy.reservation.release()
    if (copy.handle !== usedHandle) this.options.gateway.dropCopy(copy.source, copy.handle, DROP_TIMEOUT_MS)
  }

  private recordMove ({ run, source, noticeAtMs }: RunMoveOptions, result: MoveResult): void {
    this.options.metrics.countMove(result)
    this.options.log.recordDecision(run.requestId, 'move ended', { source: source.name, result, noticeMs: Math.round(this.options.clock.nowMs() - noticeAtMs) }, result === 'moved' || result === 'over' ? 'ordinary' : 'failure')
  }
}

/** Sorts runs that have started first, since others cannot be copied yet, and then by completion value relative to their memory. */
function sortForMove (runs: readonly MovableRun[]): MovableRun[] {
  const computeRank = (run: MovableRun): number => (run.hasStarted() ? 1 : 0) + run.getCompletionValue() / (run.getCompletionValue() + VALUE_PER_HELD_TOKEN * run.getHeldTokens())
  return [...runs].sort((a, b) => computeRank(b) - computeRank(a))
}
