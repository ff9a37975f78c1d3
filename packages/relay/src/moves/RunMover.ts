import { type Clock } from '@fescuespoke/common'
import { type Result } from 'true-myth'
import { type AttemptBudget } from '../budget/AttemptBudget.js'
import { type DecisionLog } from '../logs/DecisionLog.js'
import { type TargetLoads } from '../loads/TargetLoads.js'
import { type RelayMetrics } from '../logs/RelayMetrics.js'
import { type EngineProfile } from '../model/RelayConfiguration.js'
import { type RelayTarget } from '../model/RelayTarget.js'
import { type RelayPlacer } from '../placement/RelayPlacer.js'
import { type TargetReservation } from '../placement/TargetReservation.js'
import { type CopyError, type RelayTargetClient, type RunCopy } from '../targets/RelayTargetClient.js'
import { type TrackedTarget, type TargetTable } from '../targets/TargetTable.js'
import { computeCopyDelayMs } from './computeCopyDelay.js'
import { type MovableRun } from './MovableRun.js'

/** Options of a mover. */
export interface RunMoverOptions {
  readonly clock: Clock
  readonly client: RelayTargetClient
  readonly table: TargetTable
  readonly placer: RelayPlacer
  readonly budget: AttemptBudget
  readonly loads: TargetLoads
  /** Name of this instance. */
  readonly instance: string
  readonly metrics: RelayMetrics
  readonly log: DecisionLog
}

/** Duration of a copy below which the interruption for the last copy is not noticeable, in milliseconds. */
const SHORT_COPY_MS = 60

/** Maximum number of copies that are made while the run continues, before it is stopped for the last copy. */
const MAX_PRE_COPIES = 6

/** Time after the shutdown notice of an engine at which a run is stopped for its last copy regardless of its size, in milliseconds. */
const LAST_COPY_DEADLINE_MS = 1100

/** Time after the notice at which attempts to move a run end, in milliseconds. */
const MOVE_DEADLINE_MS = 3000

/** Maximum time to wait for one copy, in milliseconds. */
const COPY_TIMEOUT_MS = 2000

/** Delay before a move is tried again, in milliseconds. */
const RETRY_DELAY_MS = 40

/** Score penalty of a destination outside the availability zone of the source; a copy to it takes twice as long. */
const REMOTE_DESTINATION_WEIGHT = 2

/** Maximum time after the notice until an instance starts to copy its runs, in milliseconds. */
const MAX_COPY_DELAY_MS = 1200

/** Completion value that weighs as much as one token of held memory when runs are sorted. */
const VALUE_PER_HELD_TOKEN = 10

/** Result of a move, or the reason why it was abandoned. */
type MoveResult = 'moved' | 'over' | 'noDestination' | CopyError['reason']

/** Moves generations off engines that shut down: copies their memory while they run, then stops them and copies the rest. */
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
  /** Name of the engine of the last attempted move of each run; it prevents an immediate retry of a move that failed. */
  private readonly lastSourceByRun = new WeakMap<MovableRun, string>()

  /** @internal */
  private constructor (private readonly options: RunMoverOptions) {
    options.table.addListener(tracked => this.handleTargetChange(tracked))
  }

  /**
   * Adds a run that started at a target.
   * @param run - The run.
   */
  addRun (run: MovableRun): void {
    this.runs.add(run)
    const tracked = this.options.table.getTracked(run.getTargetName() ?? '')
    if (tracked !== undefined) this.handleTargetChange(tracked)
  }

  /**
   * Removes a run that has ended.
   * @param run - The run.
   */
  removeRun (run: MovableRun): void {
    this.runs.delete(run)
  }

  /**
   * Moves a run whose stream has stalled: the connection may be silent while the engine still executes the run.
   * @param run - The run.
   */
  moveStalledRun (run: MovableRun): void {
    const tracked = this.options.table.getTracked(run.getTargetName() ?? '')
    if (tracked === undefined || this.isMoving(run) || run.service.engine?.canMove !== true) return
    // The run is stopped at once because none of its output reaches the caller in the meantime.
    this.startMove(run, tracked.target, this.options.clock.nowMs() - LAST_COPY_DEADLINE_MS)
  }

  /**
   * Returns whether a run is being moved.
   * @param run - The run.
   */
  isMoving (run: MovableRun): boolean {
    return this.moving.has(run)
  }

  private handleTargetChange ({ target, state, stateSinceMs: noticeAtMs }: TrackedTarget): void {
    if (state !== 'leaving' && state !== 'gone') return
    this.moveRuns(target, noticeAtMs)
  }

  /** Moves the runs of this instance one after the other, after a delay in which other instances use the engine's link. */
  private async moveRuns (source: RelayTarget, noticeAtMs: number): Promise<void> {
    const { clock } = this.options
    const affectedRuns = [...this.runs].filter(run => run.getTargetName() === source.name && this.canMoveRun(run, source))
    const profile = affectedRuns[0]?.service.engine
    if (profile === undefined) return
    for (const run of affectedRuns) this.lastSourceByRun.set(run, source.name)
    const copyDelayMs = this.computeBoundedCopyDelayMs(source, profile)
    this.options.log.recordStateChange('moves planned', { source: source.name, runs: affectedRuns.length, turnMs: Math.round(copyDelayMs) })
    await clock.sleep(Math.max(0, noticeAtMs + copyDelayMs - clock.nowMs()))
    await this.moveSequentially(sortForMove(affectedRuns), source, noticeAtMs)
  }

  /** Moves runs in their order. Runs that the engine has not started cannot be copied yet and are tried again after the others. */
  private async moveSequentially (runs: MovableRun[], source: RelayTarget, noticeAtMs: number): Promise<void> {
    const { clock } = this.options
    const queue = [...runs]
    while (queue.length > 0 && clock.nowMs() - noticeAtMs < MOVE_DEADLINE_MS) {
      const run = queue.shift()!
      if (run.isClosed() || run.getTargetName() !== source.name) continue
      const result = await this.startMove(run, source, noticeAtMs)
      if (result === 'noRun') queue.push(run)
    }
  }

  private computeBoundedCopyDelayMs (source: RelayTarget, profile: EngineProfile): number {
    const { loads, instance } = this.options
    return Math.min(MAX_COPY_DELAY_MS, computeCopyDelayMs(source.name, instance, loads.listHeldMemory(source.name), profile))
  }

  private async startMove (run: MovableRun, source: RelayTarget, noticeAtMs: number): Promise<MoveResult> {
    this.moving.add(run)
    const result = await this.moveRun(run, source, noticeAtMs)
    this.moving.delete(run)
    return result
  }

  private canMoveRun (run: MovableRun, source: RelayTarget): boolean {
    return run.service.engine?.canMove === true && !this.moving.has(run) && this.lastSourceByRun.get(run) !== source.name
  }

  private async moveRun (run: MovableRun, source: RelayTarget, noticeAtMs: number): Promise<MoveResult> {
    const { clock } = this.options
    const excludedTargets = new Set([source.name])
    const canContinue = (): boolean => !run.isClosed() && run.getTargetName() === source.name && clock.nowMs() - noticeAtMs < MOVE_DEADLINE_MS
    let result: MoveResult = 'over'
    while (canContinue()) {
      const reservation = this.options.placer.reserveBestTarget({ service: run.service, tokens: run.getExpectedTokens(), excludedTargets, localZone: source.availabilityZone, remoteZoneWeight: REMOTE_DESTINATION_WEIGHT })
      if (reservation === undefined) {
        result = 'noDestination'
        await clock.sleep(RETRY_DELAY_MS)
        continue
      }
      result = await this.copyToDestination(run, source, reservation, noticeAtMs, canContinue)
      if (result === 'moved') break
      reservation.release()
      if (result === 'noRoom') excludedTargets.add(reservation.target.name)
      await clock.sleep(RETRY_DELAY_MS)
      if (result === 'noRun') return result
    }
    if (!run.isClosed() || result === 'moved') this.recordMove(run, source, result, noticeAtMs)
    return result
  }

  private recordMove (run: MovableRun, source: RelayTarget, result: MoveResult, noticeAtMs: number): void {
    this.options.metrics.countMove(result)
    this.options.log.recordDecision(run.requestId, 'move ended', { source: source.name, result, noticeMs: Math.round(this.options.clock.nowMs() - noticeAtMs) })
  }

  private async copyToDestination (run: MovableRun, source: RelayTarget, reservation: TargetReservation, noticeAtMs: number, canContinue: () => boolean): Promise<MoveResult> {
    const { clock } = this.options
    for (let copies = 0; copies < MAX_PRE_COPIES && canContinue(); copies++) {
      const startedAtMs = clock.nowMs()
      const copy = await this.copyRun(run, source, reservation, false)
      if (copy.isErr) return copy.error.reason
      const isReadyForLastCopy = clock.nowMs() - startedAtMs < SHORT_COPY_MS || clock.nowMs() - noticeAtMs > LAST_COPY_DEADLINE_MS
      if (isReadyForLastCopy) break
    }
    if (!canContinue()) return 'over'
    const lastCopy = await this.copyRun(run, source, reservation, true)
    const handle = lastCopy.isOk ? lastCopy.value.handle : lastCopy.error.handle
    if (handle === undefined) return lastCopy.isErr ? lastCopy.error.reason : 'over'
    if (run.isClosed()) {
      await this.options.client.dropCopy(source, handle)
      return 'over'
    }
    this.continueRun(run, source, reservation, { handle, producedEvents: lastCopy.isOk ? lastCopy.value.producedEvents : 0 }, lastCopy.isOk)
    return 'moved'
  }

  /** Continues a run at the destination, or at its source if the last copy failed for lack of memory; the source keeps the stopped run. */
  private continueRun (run: MovableRun, source: RelayTarget, reservation: TargetReservation, copy: RunCopy, isCopied: boolean): void {
    const { budget, placer } = this.options
    budget.takeAttempt(run.service.name, 'move')
    if (!isCopied) reservation.release()
    run.continueAt({
      reservation: isCopied ? reservation : placer.reserveTarget(source, run.getExpectedTokens()),
      continuation: { address: source.address, handle: copy.handle },
      source,
      producedEvents: copy.producedEvents
    })
  }

  private async copyRun (run: MovableRun, source: RelayTarget, reservation: TargetReservation, isLast: boolean): Promise<Result<RunCopy, CopyError>> {
    const { client, clock, log } = this.options
    const startedAtMs = clock.nowMs()
    const copy = await client.copyRun({ requestId: run.requestId, from: source, to: reservation.target, isLast, timeoutMs: COPY_TIMEOUT_MS })
    const outcome = copy.isOk ? 'copied' : copy.error.reason
    log.recordDecision(run.requestId, 'run copied', { source: source.name, destination: reservation.target.name, isLast, outcome, cause: copy.isErr ? copy.error.cause : undefined, tookMs: Math.round(clock.nowMs() - startedAtMs) })
    return copy
  }
}

/** Sorts runs that have started first, since others cannot be copied yet, and then by completion value relative to their memory. */
function sortForMove (runs: readonly MovableRun[]): MovableRun[] {
  const computeRank = (run: MovableRun): number => (run.hasStarted() ? 1 : 0) + run.getCompletionValue() / (run.getCompletionValue() + VALUE_PER_HELD_TOKEN * run.getHeldTokens())
  return [...runs].sort((a, b) => computeRank(b) - computeRank(a))
}
