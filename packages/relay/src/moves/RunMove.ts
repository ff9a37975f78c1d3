import { type Clock } from '@fescuespoke/common'
import { type Result } from 'true-myth'
import { type AttemptBudget } from '../budget/AttemptBudget.js'
import { type DecisionLog } from '../logs/DecisionLog.js'
import { type ServiceProfile } from '../model/RelayConfiguration.js'
import { type RelayTarget } from '../model/RelayTarget.js'
import { type RelayPlacer, type TargetRequirements } from '../placement/RelayPlacer.js'
import { type TargetReservation } from '../placement/TargetReservation.js'
import { type CopyError, type RunCopy } from '../targets/RelayTargetClient.js'
import { type TargetGateway } from '../targets/TargetGateway.js'
import { createStreamOrigin } from '../versions/StreamOrigin.js'
import { computeCopyDurationMs, REMOTE_COPY_FACTOR } from './computeCopyDuration.js'
import { type MovableRun } from './MovableRun.js'
import { type StandbyCopy } from './StandbyCopy.js'

/** Components that a move uses. */
export interface RunMoveDependencies {
  readonly clock: Clock
  readonly gateway: TargetGateway
  readonly placer: RelayPlacer
  readonly budget: AttemptBudget
  readonly log: DecisionLog
  /** Returns whether an engine without known room may be asked because no instance knows the whole load of an engine; by default it may not. */
  readonly mayAskEngines?: (service: ServiceProfile) => boolean
}

/** A run and the engine that it leaves. */
export interface RunMoveOptions {
  readonly run: MovableRun
  readonly source: RelayTarget
  /** Clock reading of the notice that the source shuts down. */
  readonly noticeAtMs: number
  /** Whether the run is stopped after its first copy in any case, because nothing of it reaches the caller in the meantime. */
  readonly mustStopAtOnce?: boolean
}

/** Result of a move, or the reason why it was abandoned. */
export type MoveResult = 'moved' | 'over' | 'noDestination' | CopyError['reason']

/** Time after the notice at which attempts to move a run end, in milliseconds. */
export const MOVE_DEADLINE_MS = 3000

/** Duration of the last copy, during which the run is stopped, that callers do not notice, in milliseconds. */
const SHORT_COPY_MS = 20

/** Duration beyond which a copy that should be shorter has waited for copies of other runs, in milliseconds. */
const CONTENDED_COPY_MS = 60

/** Maximum time to wait for one copy, in milliseconds. */
export const COPY_TIMEOUT_MS = 2000

/** Maximum time to wait until an unused copy is freed, in milliseconds. */
export const DROP_TIMEOUT_MS = 300

/** Delay before a move is tried again, in milliseconds. */
const RETRY_DELAY_MS = 40

/** Score penalty of a destination outside the availability zone of the source; a copy to it takes twice as long. */
const REMOTE_DESTINATION_WEIGHT = 2

/** One move of a run to another engine: copies its memory while it runs, then stops it and copies the rest. */
export class RunMove {
  /**
   * Creates a move that has not started.
   * @param dependencies - Components that the move uses.
   * @param options - The run and its source.
   */
  static create (dependencies: RunMoveDependencies, options: RunMoveOptions): RunMove {
    return new RunMove(dependencies, options)
  }

  private readonly excludedTargets: Set<string>
  /** Copy that the run does not use yet. */
  private standbyCopy: StandbyCopy | undefined

  /** @internal */
  private constructor (private readonly dependencies: RunMoveDependencies, private readonly options: RunMoveOptions) {
    this.excludedTargets = new Set([options.source.name])
  }

  /** Tries destinations until the run is moved, has ended, or cannot be moved any more. */
  async run (): Promise<MoveResult> {
    let result: MoveResult = 'over'
    while (this.canContinue()) {
      result = await this.tryDestination()
      if (result === 'moved' || result === 'noRun' || result === 'unreachable') break
      await this.dependencies.clock.sleep(RETRY_DELAY_MS)
    }
    return result
  }

  /** Returns the copy that the run has not used and releases it from this move; undefined when there is none. */
  takeStandbyCopy (): StandbyCopy | undefined {
    const { standbyCopy } = this
    this.standbyCopy = undefined
    return standbyCopy
  }

  private canContinue (): boolean {
    const { run, source } = this.options
    return !run.isClosed() && !run.isContinuing() && run.getTarget()?.name === source.name && this.getNoticeAgeMs() < MOVE_DEADLINE_MS
  }

  /** Returns whether the run goes on at another engine already. */
  private isElsewhere (): boolean {
    const { run, source } = this.options
    const target = run.getTarget()
    return target !== undefined && target.name !== source.name
  }

  private getNoticeAgeMs (): number {
    return this.dependencies.clock.nowMs() - this.options.noticeAtMs
  }

  private async tryDestination (): Promise<MoveResult> {
    const reservation = this.reserveDestination()
    if (reservation === undefined) return 'noDestination'
    const result = await this.copyToDestination(reservation)
    const isCopyKept = (result === 'unreachable' || result === 'over') && this.standbyCopy !== undefined
    if (result === 'moved' || isCopyKept) return result
    reservation.release()
    await this.dropStandbyCopy()
    if (result === 'noRoom') this.excludedTargets.add(reservation.target.name)
    return result
  }

  /**
   * Reserves an engine of the source's version, in the zone of the source if one has room for what the run holds now, since copies to
   * other zones take longer.
   */
  private reserveDestination (): TargetReservation | undefined {
    const { run, source } = this.options
    const requirements: TargetRequirements = {
      service: run.service, allowedRegions: run.allowedRegions, origin: createStreamOrigin(run.getTarget() ?? source), tokens: run.getExpectedTokens(), outputTokens: Math.max(0, run.getExpectedTokens() - run.getHeldTokens()), excludedTargets: this.excludedTargets, localZone: source.availabilityZone, remoteZoneWeight: REMOTE_DESTINATION_WEIGHT
    }
    const { placer } = this.dependencies
    const heldTokens = run.getHeldTokens()
    return placer.reserveBestTarget({ ...requirements, isLocalOnly: true }) ??
      placer.reserveBestTarget({ ...requirements, heldTokens, isLocalOnly: true }) ??
      placer.reserveBestTarget(requirements) ??
      placer.reserveBestTarget({ ...requirements, heldTokens }) ??
      this.reserveUnknown({ ...requirements, heldTokens })
  }

  /** Reserves an engine that may have room which this instance does not know of; the copy fails at once where there is none. */
  private reserveUnknown (requirements: TargetRequirements): TargetReservation | undefined {
    const { placer, mayAskEngines } = this.dependencies
    return mayAskEngines?.(requirements.service) === true ? placer.reserveBestTarget({ ...requirements, isDecidedByEngine: true }) : undefined
  }

  private async copyToDestination (reservation: TargetReservation): Promise<MoveResult> {
    while (this.canContinue()) {
      const preCopy = await this.preCopy(reservation)
      if (preCopy.isErr) return preCopy.error.reason
      if (preCopy.value === 'ready' || this.options.mustStopAtOnce === true) return this.canContinue() ? await this.finishMove(reservation) : 'over'
      await this.dependencies.clock.sleep(RETRY_DELAY_MS)
    }
    return 'over'
  }

  /** Copies the run while it continues; returns whether the last copy, during which it is stopped, will be short after that. */
  private async preCopy (reservation: TargetReservation): Promise<Result<'ready' | 'repeat', CopyError>> {
    const { clock } = this.dependencies
    const { run } = this.options
    const heldTokens = run.getHeldTokens()
    const startedAtMs = clock.nowMs()
    const copy = await this.copyRun(reservation, false)
    return copy.map(value => {
      const expectedMs = this.standbyCopy === undefined ? this.computeCopyMs(heldTokens, reservation) : 0
      this.standbyCopy = { source: this.options.source, reservation, handle: value.handle }
      const isContended = clock.nowMs() - startedAtMs > expectedMs + CONTENDED_COPY_MS
      const isShort = this.computeCopyMs(run.getHeldTokens() - heldTokens, reservation) < SHORT_COPY_MS
      return isShort && !isContended ? 'ready' : 'repeat'
    })
  }

  private computeCopyMs (tokens: number, { target }: TargetReservation): number {
    const { run: { service: { engine } }, source } = this.options
    if (engine === undefined) return 0
    return computeCopyDurationMs(tokens, engine) * (target.availabilityZone === source.availabilityZone ? 1 : REMOTE_COPY_FACTOR)
  }

  /** Stops the run, copies the rest and lets it continue at the destination, or at its source if the destination has no room. */
  private async finishMove (reservation: TargetReservation): Promise<MoveResult> {
    const { run, source } = this.options
    run.recordStopRequest()
    const lastCopy = await this.copyRun(reservation, true)
    const handle = lastCopy.isOk ? lastCopy.value.handle : lastCopy.error.handle
    if (handle === undefined) return lastCopy.isErr ? lastCopy.error.reason : 'over'
    this.standbyCopy = { source, reservation, handle }
    if (run.isClosed() || this.isElsewhere()) return 'over'
    this.standbyCopy = undefined
    this.dependencies.budget.recordAttempt(run.service.name)
    if (!lastCopy.isOk) reservation.release()
    run.continueAt({
      reservation: lastCopy.isOk ? reservation : this.dependencies.placer.reserveTarget(source, run.getExpectedTokens()),
      continuation: { address: source.address, handle },
      source,
      producedEvents: lastCopy.isOk ? lastCopy.value.producedEvents : 0
    })
    return 'moved'
  }

  private async copyRun (reservation: TargetReservation, isLast: boolean): Promise<Result<RunCopy, CopyError>> {
    const { gateway, clock, log } = this.dependencies
    const { run, source } = this.options
    const startedAtMs = clock.nowMs()
    const copy = await gateway.copyRun({ requestId: run.requestId, from: source, to: reservation.target, isLast, timeoutMs: COPY_TIMEOUT_MS })
    const outcome = copy.isOk ? 'copied' : copy.error.reason
    log.recordDecision(run.requestId, 'run copied', {
      source: source.name, sourceVersion: source.softwareVersion, destination: reservation.target.name, destinationVersion: reservation.target.softwareVersion, isLast, tokens: run.getHeldTokens(), outcome, cause: copy.isErr ? copy.error.cause : undefined, tookMs: Math.round(clock.nowMs() - startedAtMs)
    })
    return copy
  }

  /** Frees the memory of a copy at its destination. */
  private async dropStandbyCopy (): Promise<void> {
    const copy = this.takeStandbyCopy()
    if (copy !== undefined) await this.dependencies.gateway.dropCopy(copy.source, copy.handle, DROP_TIMEOUT_MS)
  }
}
