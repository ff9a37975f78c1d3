import { type Clock, type Target } from '@fescuespoke/common'
import { type TargetState } from '@fescuespoke/schema'
import { type TargetScheduler } from '@fescuespoke/scheduling'
import { Result } from 'true-myth'
import { type TargetClient, type TargetError } from '../targets/TargetClient.js'
import { type CrashRecords } from './CrashRecords.js'

/** Options of a crash detector. */
export interface CrashDetectorOptions {
  readonly clock: Clock
  readonly records: CrashRecords
  readonly scheduler: Pick<TargetScheduler, 'getLatestPoll' | 'observeTargetState'>
  readonly targetClient: Pick<TargetClient, 'fetchState'>
}

/** How a run was lost: its connection was closed, or nothing arrived any more. */
export type LossKind = 'closed' | 'silent'

/** A run that was lost at a target. */
export interface Loss {
  readonly target: Target
  readonly kind: LossKind
  /** Clock time at which the run was sent, in milliseconds. */
  readonly startedAtMs: number
}

/** Maximum time to wait for the state of a target that has lost a run, in milliseconds. */
const STATE_TIMEOUT_MS = 300

/** Errors of a state request by which a target is gone whose connections were closed. */
const GONE_ERRORS: ReadonlySet<TargetError> = new Set(['unreachable', 'cut'])

/**
 * Tells crashes of targets from runs that were lost for another reason: after the loss, the target reports another incarnation, or its
 * connections were closed and it accepts no new one.
 */
export class CrashDetector {
  /**
   * Creates a detector.
   * @param options - Options of the detector.
   */
  static create (options: CrashDetectorOptions): CrashDetector {
    return new CrashDetector(options)
  }

  /** @internal */
  private constructor (private readonly options: CrashDetectorOptions) {}

  /**
   * Records that a run was lost at a target.
   * @param fingerprint - Fingerprint of the request.
   * @param loss - The loss.
   * @returns Resolves to whether the target crashed.
   */
  async recordLoss (fingerprint: string, { target, kind, startedAtMs }: Loss): Promise<boolean> {
    const { clock, records, scheduler } = this.options
    const before = scheduler.getLatestPoll(target.name).map(({ report }) => report).unwrapOr(undefined)
    if (before?.state === 'leaving') return false
    const atMs = clock.nowMs()
    const state = await this.fetchState(target)
    if (state.isOk) scheduler.observeTargetState(target.name, state.value, atMs)
    const hasCrashed = state.isOk ? before !== undefined && state.value.incarnation !== before.incarnation : kind === 'closed' && GONE_ERRORS.has(state.error)
    if (hasCrashed) records.addCrash({ target: target.name, incarnation: before?.incarnation ?? '', atMs, suspects: [{ fingerprint, runMs: atMs - startedAtMs }] }, 'this instance')
    return hasCrashed
  }

  private async fetchState (target: Target): Promise<Result<TargetState, TargetError>> {
    const { clock, targetClient } = this.options
    const stop = new AbortController()
    const timeout = clock.sleep(STATE_TIMEOUT_MS, stop.signal).then(() => Result.err<TargetState, TargetError>('silent'))
    const state = await Promise.race([targetClient.fetchState(target), timeout])
    stop.abort()
    return state
  }
}
