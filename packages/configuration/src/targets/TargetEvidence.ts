import { type AuditTrail, type Clock, type Target } from '@fescuespoke/common'
import { type TargetState } from '@fescuespoke/schema'
import { Result } from 'true-myth'
import { type InstanceListView, type ListedState } from '../list/InstanceListView.js'
import { TargetReportStore } from './TargetReportStore.js'
import { type TargetReader } from './TargetReader.js'

/** Asks the platform and peers for the instance list. */
export interface ListRefresher {
  /**
   * Asks for the list.
   * @param maxAgeMs - Age of the list in milliseconds that ends the wait early.
   */
  refresh(maxAgeMs?: number): Promise<void>
  /** Gets the time in milliseconds since the platform and a few peers were last asked together. */
  getAskedAgeMs(): number
}

/** Options of the evidence of targets. */
export interface TargetStateTrackerOptions {
  readonly clock: Clock
  readonly audit: AuditTrail
  readonly list: InstanceListView
  readonly seeker: ListRefresher
  readonly reader: TargetReader
  /** Age in milliseconds at which evidence has to be renewed. */
  readonly evidenceMs?: number
  /** Gets the accepted configuration revision, for audit events. */
  readonly getRevision?: () => number
}

/** Why a target must not get new work. */
export type UnconfirmedReason = 'leaving' | 'unreachable'

const DEFAULT_EVIDENCE_MS = 2000

/**
 * Merges what the instance list, peers and the targets themselves say about targets. Leaving wins from any of them.
 * A target's own report counts by itself only while the list is young, or nobody within reach has a younger one.
 */
export class TargetEvidence {
  /**
   * Creates evidence without any reports.
   * @param options - Options of the evidence.
   */
  static create (options: TargetStateTrackerOptions): TargetEvidence {
    return new TargetEvidence(options)
  }

  private readonly reports = TargetReportStore.create()
  private readonly pendingConfirmations = new Map<string, Promise<Result<'active', UnconfirmedReason>>>()

  /** @internal */
  private constructor (private readonly options: TargetStateTrackerOptions) {}

  /**
   * Takes note of a target's report.
   * @param target - Name of the target.
   * @param state - What it says of itself.
   * @param sentAtMs - Reading of the clock when the request was sent.
   */
  observeReport (target: string, state: TargetState['state'], sentAtMs: number): void {
    const before = this.reports.findReport(target)?.state
    this.reports.recordReport(target, state, sentAtMs, this.options.clock.nowMs())
    this.recordChange(target, before, this.reports.findReport(target)?.state)
  }

  /**
   * Forgets the reports of targets that are no longer in force.
   * @param names - Targets in force.
   */
  prune (names: { readonly has: (name: string) => boolean }): void {
    this.reports.prune(names)
  }

  /**
   * Gets the state of a target, whatever its age.
   * @param target - Name of the target.
   */
  getState (target: string): ListedState {
    const listed = this.options.list.getTargetState(target).state
    const reported = this.reports.findReport(target)?.state
    if (listed === 'leaving' || reported === 'leaving') return 'leaving'
    return listed === 'active' || reported === 'active' ? 'active' : 'unknown'
  }

  /**
   * Gets the age in milliseconds of the youngest evidence of a target; infinite without any.
   * @param target - Name of the target.
   */
  getAgeMs (target: string): number {
    return Math.min(this.options.list.getTargetState(target).ageMs, this.getReportAgeMs(target))
  }

  /**
   * Tells whether a target may get new work by what is known, without asking anybody.
   * @param target - Name of the target.
   * @param maxAgeMs - Greatest age of the evidence in milliseconds.
   */
  isFreshFor (target: string, maxAgeMs: number = this.getEvidenceMs()): boolean {
    if (this.getState(target) === 'leaving') return false
    const listed = this.options.list.getTargetState(target)
    if (listed.state === 'active' && listed.ageMs <= maxAgeMs) return true
    const isListCurrent = this.options.list.getAgeMs() <= maxAgeMs || this.options.seeker.getAskedAgeMs() <= maxAgeMs
    return isListCurrent && this.getReportAgeMs(target) <= maxAgeMs
  }

  /**
   * Asks the list, peers and the target again. Calls for one target at the same time share the questions.
   * @param target - The target.
   * @param maxAgeMs - Greatest age of the evidence in milliseconds.
   * @returns Active, or why the target must not get new work; unreachable also when nobody can tell.
   */
  async confirm (target: Target, maxAgeMs: number = this.getEvidenceMs()): Promise<Result<'active', UnconfirmedReason>> {
    const pending = this.pendingConfirmations.get(target.name)
    if (pending !== undefined) return await pending
    const confirmation = this.refreshState(target, maxAgeMs).finally(() => this.pendingConfirmations.delete(target.name))
    this.pendingConfirmations.set(target.name, confirmation)
    return await confirmation
  }

  private async refreshState (target: Target, maxAgeMs: number): Promise<Result<'active', UnconfirmedReason>> {
    if (this.getState(target.name) === 'leaving') return Result.err('leaving')
    await Promise.all([this.options.seeker.refresh(maxAgeMs), this.fetchReport(target)])
    if (this.getState(target.name) === 'leaving') return Result.err('leaving')
    return this.isFreshFor(target.name, maxAgeMs) ? Result.ok('active') : Result.err('unreachable')
  }

  private async fetchReport (target: Target): Promise<void> {
    const sentAtMs = this.options.clock.nowMs()
    const report = await this.options.reader.fetchState(target)
    if (report.isOk) this.observeReport(target.name, report.value.state, sentAtMs)
  }

  private getReportAgeMs (target: string): number {
    const report = this.reports.findReport(target)
    return report?.state === 'active' ? this.options.clock.nowMs() - report.sentAtMs : Infinity
  }

  private getEvidenceMs (): number {
    return this.options.evidenceMs ?? DEFAULT_EVIDENCE_MS
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
