import { type Clock } from '@fescuespoke/common'
import { type Result } from 'true-myth'
import { type AttemptBudget } from '../budget/AttemptBudget.js'
import { type DecisionLog } from '../logs/DecisionLog.js'
import { type RelayMetrics } from '../logs/RelayMetrics.js'
import { type RelayTarget } from '../model/RelayTarget.js'
import { type RelayPlacer } from '../placement/RelayPlacer.js'
import { type TargetUse } from '../placement/TargetUse.js'
import { type CopyError, type RelayTargetClient, type RunCopy } from '../targets/RelayTargetClient.js'
import { type KnownTarget, type TargetTable } from '../targets/TargetTable.js'
import { type MovableRun } from './MovableRun.js'

/** Options of a mover. */
export interface RunMoverOptions {
  readonly clock: Clock
  readonly client: RelayTargetClient
  readonly table: TargetTable
  readonly placer: RelayPlacer
  readonly budget: AttemptBudget
  readonly metrics: RelayMetrics
  readonly log: DecisionLog
}

/** Duration of a copy below which stopping the run for the last copy is not felt, in milliseconds. */
const SHORT_COPY_MS = 60

/** Copies of a run beside its work before it is stopped for the last one. */
const MAX_COPIES = 6

/** Time after the notice at which a run is stopped for its last copy, whatever that takes, in milliseconds. */
const PATIENCE_MS = 1100

/** Time after the notice at which moving is given up, in milliseconds. */
const GIVE_UP_MS = 3000

/** Longest wait for one copy in milliseconds. */
const COPY_TIMEOUT_MS = 2000

/** Wait before a move is tried again, in milliseconds. */
const RETRY_MS = 40

/** How much a destination in another zone than the source is avoided: a copy to it takes twice as long. */
const FAR_DESTINATION_WEIGHT = 0.8

/** Moves running generations off engines that leave: copied while they run, then stopped for the rest. */
export class RunMover {
  /**
   * Creates a mover.
   * @param options - Options of the mover.
   */
  static create (options: RunMoverOptions): RunMover {
    return new RunMover(options)
  }

  private readonly runs = new Set<MovableRun>()
  private readonly moving = new Map<string, Set<MovableRun>>()
  /** Name of the engine off which a move of the run was tried last, so that a move that failed is not begun again at once. */
  private readonly tried = new WeakMap<MovableRun, string>()

  /** @internal */
  private constructor (private readonly options: RunMoverOptions) {
    options.table.addListener(known => this.observeTarget(known))
  }

  /**
   * Adds a run that began at a target.
   * @param run - The run.
   */
  addRun (run: MovableRun): void {
    this.runs.add(run)
    const known = this.options.table.getKnown(run.getTargetName() ?? '')
    if (known !== undefined) this.observeTarget(known)
  }

  /**
   * Removes a run that has ended.
   * @param run - The run.
   */
  removeRun (run: MovableRun): void {
    this.runs.delete(run)
  }

  /**
   * Moves a run whose stream has stalled: its connection may be silent while the engine still runs it.
   * @param run - The run.
   */
  rescueRun (run: MovableRun): void {
    const known = this.options.table.getKnown(run.getTargetName() ?? '')
    if (known === undefined || this.isMoving(run) || run.service.engine?.canMove !== true) return
    const moving = this.getMoving(known.target.name)
    moving.add(run)
    // A stalled run is stopped at once: nothing of it reaches the caller meanwhile.
    this.moveRun(run, known.target, this.options.clock.nowMs() - PATIENCE_MS).finally(() => { moving.delete(run) })
  }

  /**
   * Tells whether a run is being moved.
   * @param run - The run.
   */
  isMoving (run: MovableRun): boolean {
    for (const moving of this.moving.values()) if (moving.has(run)) return true
    return false
  }

  private observeTarget ({ target, state, sinceMs }: KnownTarget): void {
    if (state !== 'leaving' && state !== 'gone') return
    this.moveRuns(target, sinceMs)
  }

  private getMoving (target: string): Set<MovableRun> {
    const moving = this.moving.get(target) ?? new Set()
    this.moving.set(target, moving)
    return moving
  }

  /** All first copies are asked for at once, the largest first: once they are through the link, what is left of each is short. */
  private moveRuns (source: RelayTarget, sinceMs: number): void {
    const moving = this.getMoving(source.name)
    const waiting = [...this.runs].filter(run => run.getTargetName() === source.name && this.mayMove(run, source, moving))
    waiting.sort((a, b) => b.getTokens() - a.getTokens())
    for (const run of waiting) {
      moving.add(run)
      this.tried.set(run, source.name)
      this.moveRun(run, source, sinceMs).finally(() => { moving.delete(run) })
    }
  }

  private mayMove (run: MovableRun, source: RelayTarget, moving: Set<MovableRun>): boolean {
    return run.service.engine?.canMove === true && !moving.has(run) && this.tried.get(run) !== source.name
  }

  private async moveRun (run: MovableRun, source: RelayTarget, sinceMs: number): Promise<void> {
    const { clock, log, metrics } = this.options
    const excluded = new Set([source.name])
    const isStill = (): boolean => !run.isOver() && run.getTargetName() === source.name && clock.nowMs() - sinceMs < GIVE_UP_MS
    let result = 'over'
    while (isStill()) {
      const use = this.options.placer.takeTarget({ service: run.service, tokens: run.getTokens(), excluded, nearZone: source.availabilityZone, farWeight: FAR_DESTINATION_WEIGHT })
      if (use === undefined) {
        result = 'noDestination'
        await clock.sleep(RETRY_MS)
        continue
      }
      result = await this.copyTo(run, source, use, sinceMs, isStill)
      if (result === 'moved') break
      use.release()
      if (result === 'noRoom') excluded.add(use.target.name)
      await clock.sleep(RETRY_MS)
    }
    if (!run.isOver() || result === 'moved') {
      metrics.countMove(result)
      log.recordDecision(run.request, 'move ended', { source: source.name, result, noticeMs: Math.round(clock.nowMs() - sinceMs) })
    }
  }

  private async copyTo (run: MovableRun, source: RelayTarget, use: TargetUse, sinceMs: number, isStill: () => boolean): Promise<string> {
    const { clock } = this.options
    for (let copies = 0; copies < MAX_COPIES && isStill(); copies++) {
      const startedMs = clock.nowMs()
      const copy = await this.copyRun(run, source, use, false)
      if (copy.isErr) return copy.error.reason
      const isSettled = clock.nowMs() - startedMs < SHORT_COPY_MS || clock.nowMs() - sinceMs > PATIENCE_MS
      if (isSettled) break
    }
    if (!isStill()) return 'over'
    const last = await this.copyRun(run, source, use, true)
    const handle = last.isOk ? last.value.handle : last.error.handle
    if (handle === undefined) return last.isErr ? last.error.reason : 'over'
    if (run.isOver()) {
      await this.options.client.dropCopy(source, handle)
      return 'over'
    }
    this.continueRun(run, source, use, { handle, createdEvents: last.isOk ? last.value.createdEvents : 0 }, last.isOk)
    return 'moved'
  }

  /** A run whose last copy found no room stays stopped at its source with its memory, and goes on there. */
  private continueRun (run: MovableRun, source: RelayTarget, use: TargetUse, copy: RunCopy, isCopied: boolean): void {
    const { budget, placer } = this.options
    budget.takeAttempt(run.service.name, 'move')
    if (!isCopied) use.release()
    run.continueAt({
      use: isCopied ? use : placer.useTarget(source, run.getTokens()),
      continuation: { address: source.address, handle: copy.handle },
      source,
      createdEvents: copy.createdEvents
    })
  }

  private async copyRun (run: MovableRun, source: RelayTarget, use: TargetUse, isLast: boolean): Promise<Result<RunCopy, CopyError>> {
    const { client, clock, log } = this.options
    const startedMs = clock.nowMs()
    const copy = await client.copyRun({ request: run.request, from: source, to: use.target, isLast, timeoutMs: COPY_TIMEOUT_MS })
    const outcome = copy.isOk ? 'copied' : copy.error.reason
    log.recordDecision(run.request, 'run copied', { source: source.name, destination: use.target.name, isLast, outcome, tookMs: Math.round(clock.nowMs() - startedMs) })
    return copy
  }
}
