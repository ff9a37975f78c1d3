import { type Clock } from '@fescuespoke/common'
import { type RelayTarget } from '../model/RelayTarget.js'
import { type TargetGateway } from '../targets/TargetGateway.js'
import { type TargetTable, type TrackedTarget, type TargetState } from '../targets/TargetTable.js'
import { type CrashEvidence } from './CrashEvidence.js'
import { type CrashSuspect } from './EngineCrash.js'

/** Options of a crash detector. */
export interface CrashDetectorOptions {
  readonly clock: Clock
  readonly gateway: Pick<TargetGateway, 'fetchReachability'>
  readonly table: TargetTable
  readonly evidence: CrashEvidence
}

/** Runs that an incarnation of an engine broke off, until it is known whether it crashed. */
interface LossRecord {
  readonly target: RelayTarget
  /** Clock reading of the first loss. */
  readonly atMs: number
  readonly suspects: CrashSuspect[]
  /** Resolves when the engine was asked for a connection. */
  readonly checked: Promise<void>
}

/** Maximum time to wait for the answer of an engine to a new connection, in milliseconds. */
export const REACHABILITY_TIMEOUT_MS = 300

/** Time in which the store may tell that an engine is gone, in milliseconds. */
const REMOVAL_WINDOW_MS = 6000

/**
 * Tells crashes of engines from answers that were broken off: after a loss, the engine refuses a new connection, or its entry leaves
 * the store without notice.
 */
export class CrashDetector {
  /**
   * Creates a detector.
   * @param options - Options of the detector.
   */
  static create (options: CrashDetectorOptions): CrashDetector {
    return new CrashDetector(options)
  }

  /** Losses by name of the engine. */
  private readonly losses = new Map<string, LossRecord>()

  /** @internal */
  private constructor (private readonly options: CrashDetectorOptions) {
    options.table.addListener((tracked, previous) => this.handleTarget(tracked, previous))
  }

  /**
   * Records that the connection of a run broke before the run had proved sound.
   * @param target - The engine.
   * @param suspect - The request.
   * @returns Resolves when it is known whether the engine crashed, as far as a new connection tells.
   */
  async recordLoss (target: RelayTarget, suspect: CrashSuspect): Promise<void> {
    if (!this.isExpectedToRun(target)) return
    const known = this.losses.get(target.name)
    if (known?.target.startedAtMs === target.startedAtMs) {
      known.suspects.push(suspect)
      return await known.checked
    }
    const record: LossRecord = { target, atMs: this.options.clock.nowMs(), suspects: [suspect], checked: Promise.resolve().then(async () => { await this.checkEngine(record) }) }
    this.losses.set(target.name, record)
    this.options.clock.startTimer(REMOVAL_WINDOW_MS, () => this.dropLoss(record))
    await record.checked
  }

  /** Returns whether an engine was neither about to leave nor gone; the end of such an engine is no crash. */
  private isExpectedToRun ({ name, startedAtMs }: RelayTarget): boolean {
    const tracked = this.options.table.getTracked(name)
    return tracked?.target.startedAtMs === startedAtMs && (tracked.state === 'ready' || tracked.state === 'missing')
  }

  private async checkEngine (record: LossRecord): Promise<void> {
    const reachability = await this.options.gateway.fetchReachability(record.target, REACHABILITY_TIMEOUT_MS)
    if (reachability === 'accepting') this.dropLoss(record)
    else if (reachability === 'refusing') this.confirmCrash(record)
  }

  private handleTarget ({ target, state, hasExpired }: TrackedTarget, previous: TargetState | undefined): void {
    const record = this.losses.get(target.name)
    if (record === undefined || record.target.startedAtMs !== target.startedAtMs) return
    if (state === 'leaving') this.dropLoss(record)
    else if (state === 'gone' && previous === 'ready' && !hasExpired) this.confirmCrash(record)
  }

  private confirmCrash (record: LossRecord): void {
    const { target: { name: target, startedAtMs }, atMs, suspects } = record
    this.dropLoss(record)
    this.options.evidence.addCrash({ target, startedAtMs, atMs, suspects }, 'own')
  }

  private dropLoss (record: LossRecord): void {
    if (this.losses.get(record.target.name) === record) this.losses.delete(record.target.name)
  }
}
