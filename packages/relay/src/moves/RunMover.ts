import { type Clock } from '@fescuespoke/common'
import { type Result } from 'true-myth'
import { type AttemptBudget } from '../budget/AttemptBudget.js'
import { type DecisionLog } from '../logs/DecisionLog.js'
import { type TargetLoads } from '../loads/TargetLoads.js'
import { type RelayMetrics } from '../logs/RelayMetrics.js'
import { type EngineProfile } from '../model/RelayConfiguration.js'
import { type RelayTarget } from '../model/RelayTarget.js'
import { type RelayPlacer } from '../placement/RelayPlacer.js'
import { type TargetUse } from '../placement/TargetUse.js'
import { type CopyError, type RelayTargetClient, type RunCopy } from '../targets/RelayTargetClient.js'
import { type KnownTarget, type TargetTable } from '../targets/TargetTable.js'
import { computeTurnMs } from './computeTurn.js'
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
const FAR_DESTINATION_WEIGHT = 2

/** Latest time after the notice at which the turn of an instance begins, in milliseconds. */
const MAX_TURN_MS = 1200

/** Worth of a run that counts like one token of its memory, when runs are ordered. */
const WORTH_SCALE = 10

/** How a move ended, or why it was given up. */
type MoveResult = 'moved' | 'over' | 'noDestination' | CopyError['reason']

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
  private readonly moving = new Set<MovableRun>()
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
    // A stalled run is stopped at once: nothing of it reaches the caller meanwhile.
    this.startMove(run, known.target, this.options.clock.nowMs() - PATIENCE_MS)
  }

  /**
   * Tells whether a run is being moved.
   * @param run - The run.
   */
  isMoving (run: MovableRun): boolean {
    return this.moving.has(run)
  }

  private observeTarget ({ target, state, sinceMs }: KnownTarget): void {
    if (state !== 'leaving' && state !== 'gone') return
    this.moveRuns(target, sinceMs)
  }

  /** The runs of this instance are moved one after the other, when it is its turn on the engine's link. */
  private async moveRuns (source: RelayTarget, sinceMs: number): Promise<void> {
    const { clock } = this.options
    const waiting = [...this.runs].filter(run => run.getTargetName() === source.name && this.mayMove(run, source))
    const profile = waiting[0]?.service.engine
    if (profile === undefined) return
    for (const run of waiting) this.tried.set(run, source.name)
    const turnMs = this.computeTurn(source, profile)
    this.options.log.recordBelief('moves planned', { source: source.name, runs: waiting.length, turnMs: Math.round(turnMs) })
    await clock.sleep(Math.max(0, sinceMs + turnMs - clock.nowMs()))
    await this.moveInTurn(sortForMove(waiting), source, sinceMs)
  }

  /** A run that its engine has not begun cannot be copied yet: the others go before it. */
  private async moveInTurn (runs: MovableRun[], source: RelayTarget, sinceMs: number): Promise<void> {
    const { clock } = this.options
    const queue = [...runs]
    while (queue.length > 0 && clock.nowMs() - sinceMs < GIVE_UP_MS) {
      const run = queue.shift()!
      if (run.isOver() || run.getTargetName() !== source.name) continue
      const result = await this.startMove(run, source, sinceMs)
      if (result === 'noRun') queue.push(run)
    }
  }

  private computeTurn (source: RelayTarget, profile: EngineProfile): number {
    const { loads, instance } = this.options
    return Math.min(MAX_TURN_MS, computeTurnMs(source.name, instance, loads.listHeld(source.name), profile))
  }

  private async startMove (run: MovableRun, source: RelayTarget, sinceMs: number): Promise<MoveResult> {
    this.moving.add(run)
    const result = await this.moveRun(run, source, sinceMs)
    this.moving.delete(run)
    return result
  }

  private mayMove (run: MovableRun, source: RelayTarget): boolean {
    return run.service.engine?.canMove === true && !this.moving.has(run) && this.tried.get(run) !== source.name
  }

  private async moveRun (run: MovableRun, source: RelayTarget, sinceMs: number): Promise<MoveResult> {
    const { clock } = this.options
    const excluded = new Set([source.name])
    const isStill = (): boolean => !run.isOver() && run.getTargetName() === source.name && clock.nowMs() - sinceMs < GIVE_UP_MS
    let result: MoveResult = 'over'
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
      if (result === 'noRun') return result
    }
    if (!run.isOver() || result === 'moved') this.countMove(run, source, result, sinceMs)
    return result
  }

  private countMove (run: MovableRun, source: RelayTarget, result: MoveResult, sinceMs: number): void {
    this.options.metrics.countMove(result)
    this.options.log.recordDecision(run.request, 'move ended', { source: source.name, result, noticeMs: Math.round(this.options.clock.nowMs() - sinceMs) })
  }

  private async copyTo (run: MovableRun, source: RelayTarget, use: TargetUse, sinceMs: number, isStill: () => boolean): Promise<MoveResult> {
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
    log.recordDecision(run.request, 'run copied', { source: source.name, destination: use.target.name, isLast, outcome, cause: copy.isErr ? copy.error.cause : undefined, tookMs: Math.round(clock.nowMs() - startedMs) })
    return copy
  }
}

/** Runs that have begun go first, since others cannot be copied yet; among them those with most worth for their size. */
function sortForMove (runs: readonly MovableRun[]): MovableRun[] {
  const computeRank = (run: MovableRun): number => (run.hasBegun() ? 1 : 0) + run.getWorth() / (run.getWorth() + WORTH_SCALE * run.getHeldTokens())
  return [...runs].sort((a, b) => computeRank(b) - computeRank(a))
}
