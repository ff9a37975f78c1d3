import { type AuditTrail, type Clock, type Target } from '@fescuespoke/common'
import { type TargetState } from '@fescuespoke/schema'
import { Result } from 'true-myth'
import { type InstanceListView, type TargetAvailability } from '../list/InstanceListView.js'
import { TargetReportStore } from './TargetReportStore.js'
import { type TargetReader } from './TargetReader.js'

/** Refreshes the instance list from the platform and from peers. */
export interface ListRefresher {
  /**
   * Requests the list from the platform and a few peers.
   * @param maxAgeMs - Age of the list in milliseconds at which the wait ends early.
   */
  refresh(maxAgeMs?: number): Promise<void>
  /** Returns the time in milliseconds since the start of the last completed refresh, whether or not it was answered. */
  getLastRefreshAgeMs(): number
}

/** Options of a target state tracker. */
export interface TargetStateTrackerOptions {
  readonly clock: Clock
  readonly audit: AuditTrail
  readonly list: InstanceListView
  readonly listRefresher: ListRefresher
  readonly reader: TargetReader
  /** Default of `maxAgeMs`: the maximum age of a target's state that is used without confirming it again, in milliseconds. */
  readonly defaultMaxAgeMs?: number
  /** Returns the accepted configuration revision, which is recorded in audit events. */
  readonly getRevision?: () => number
}

/** Why a target must not receive new work. */
export type UnconfirmedReason = 'leaving' | 'unreachable'

const DEFAULT_MAX_AGE_MS = 2000

/**
 * Tracks the states of targets from the instance list, which also arrives through peers, and from the reports of the
 * targets. A target is leaving as soon as any of these sources reports it so. An active report of a target alone is sufficient
 * only while the list is recent, or after a recent refresh has found no newer list.
 */
export class TargetStateTracker {
  /**
   * Creates a tracker without any reports.
   * @param options - Options of the tracker.
   */
  static create (options: TargetStateTrackerOptions): TargetStateTracker {
    return new TargetStateTracker(options)
  }

  private readonly reports = TargetReportStore.create()
  private readonly pendingConfirmations = new Map<string, Promise<Result<'active', UnconfirmedReason>>>()

  /** @internal */
  private constructor (private readonly options: TargetStateTrackerOptions) {}

  /**
   * Records a report of a target.
   * @param target - Name of the target.
   * @param state - Reported state.
   * @param sentAtMs - Clock time at which the request was sent.
   */
  recordReport (target: string, state: TargetState['state'], sentAtMs: number): void {
    const before = this.reports.findReport(target)?.state
    this.reports.recordReport(target, state, sentAtMs, this.options.clock.nowMs())
    this.recordChange(target, before, this.reports.findReport(target)?.state)
  }

  /**
   * Removes the reports of targets that are no longer in force.
   * @param names - Names of the targets in force.
   */
  prune (names: { readonly has: (name: string) => boolean }): void {
    this.reports.prune(names)
  }

  /**
   * Returns the last known state of a target, regardless of its age.
   * @param target - Name of the target.
   */
  getState (target: string): TargetAvailability {
    const listed = this.options.list.getTargetState(target).state
    const reported = this.reports.findReport(target)?.state
    if (listed === 'leaving' || reported === 'leaving') return 'leaving'
    return listed === 'active' || reported === 'active' ? 'active' : 'unknown'
  }

  /**
   * Returns the age of the latest information about a target.
   * @param target - Name of the target.
   * @returns The age in milliseconds; infinite without any information.
   */
  getAgeMs (target: string): number {
    return Math.min(this.options.list.getTargetState(target).ageMs, this.getReportAgeMs(target))
  }

  /**
   * Returns whether a target may receive new work according to the current information, without sending requests.
   * @param target - Name of the target.
   * @param maxAgeMs - Maximum age of the information in milliseconds.
   */
  canReceiveWork (target: string, maxAgeMs: number = this.getDefaultMaxAgeMs()): boolean {
    if (this.getState(target) === 'leaving') return false
    const listed = this.options.list.getTargetState(target)
    if (listed.state === 'active' && listed.ageMs <= maxAgeMs) return true
    const isListChecked = this.options.list.getAgeMs() <= maxAgeMs || this.options.listRefresher.getLastRefreshAgeMs() <= maxAgeMs
    return isListChecked && this.getReportAgeMs(target) <= maxAgeMs
  }

  /**
   * Requests the state of a target from the platform, peers and the target. Concurrent calls for a target share the
   * requests.
   * @param target - The target.
   * @param maxAgeMs - Maximum age of the information in milliseconds.
   * @returns Active, or why the target must not receive new work. It is unreachable also when no source could be reached.
   */
  async confirm (target: Target, maxAgeMs: number = this.getDefaultMaxAgeMs()): Promise<Result<'active', UnconfirmedReason>> {
    const pending = this.pendingConfirmations.get(target.name)
    if (pending !== undefined) return await pending
    const confirmation = this.refreshState(target, maxAgeMs).finally(() => this.pendingConfirmations.delete(target.name))
    this.pendingConfirmations.set(target.name, confirmation)
    return await confirmation
  }

  private async refreshState (target: Target, maxAgeMs: number): Promise<Result<'active', UnconfirmedReason>> {
    if (this.getState(target.name) === 'leaving') return Result.err('leaving')
    await Promise.all([this.options.listRefresher.refresh(maxAgeMs), this.fetchReport(target)])
    if (this.getState(target.name) === 'leaving') return Result.err('leaving')
    return this.canReceiveWork(target.name, maxAgeMs) ? Result.ok('active') : Result.err('unreachable')
  }

  private async fetchReport (target: Target): Promise<void> {
    const sentAtMs = this.options.clock.nowMs()
    const report = await this.options.reader.fetchState(target)
    if (report.isOk) this.recordReport(target.name, report.value.state, sentAtMs)
  }

  private getReportAgeMs (target: string): number {
    const report = this.reports.findReport(target)
    return report?.state === 'active' ? this.options.clock.nowMs() - report.sentAtMs : Infinity
  }

  private getDefaultMaxAgeMs (): number {
    return this.options.defaultMaxAgeMs ?? DEFAULT_MAX_AGE_MS
  }

  private recordChange (target: string, before: TargetState['state'] | undefined, after: TargetState['state'] | undefined): void {
    if (before === after || after === undefined || (before === undefined && after === 'active')) return
    this.options.audit.record({
      kind: after === 'leaving' ? 'targetLeaving' : 'targetJoined',
      subject: target,
      revision: this.options.getRevision?.() ?? 0,
      cause: 'reported by the target itself',
      before: before ?? 'unknown',
      after
    })
  }
}
