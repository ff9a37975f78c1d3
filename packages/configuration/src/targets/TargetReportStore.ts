import { type TargetState } from '@fescuespoke/schema'

/** State that a target has reported. */
export interface TargetReport {
  readonly state: TargetState['state']
  /** Clock time at which the request for the report was sent. */
  readonly sentAtMs: number
  /** Clock time at which a leaving report was received. Active reports requested until then may be outdated and are ignored. */
  readonly activeIgnoredUntilMs: number
}

/**
 * Stores the latest report of each target. A leaving report takes precedence over active reports that were requested
 * before it was received.
 */
export class TargetReportStore {
  /** Creates an empty store. */
  static create (): TargetReportStore {
    return new TargetReportStore()
  }

  private readonly reports = new Map<string, TargetReport>()

  /** @internal */
  private constructor () {}

  /**
   * Finds the latest report of a target.
   * @param target - Name of the target.
   * @returns The report; undefined when there is none.
   */
  findReport (target: string): TargetReport | undefined {
    return this.reports.get(target)
  }

  /**
   * Records a report. Reports may arrive in another order than their requests were sent.
   * @param target - Name of the target.
   * @param state - Reported state.
   * @param sentAtMs - Clock time at which the request was sent.
   * @param nowMs - Current clock time in milliseconds.
   */
  recordReport (target: string, state: TargetState['state'], sentAtMs: number, nowMs: number): void {
    const previous = this.reports.get(target)
    if (state === 'leaving') {
      this.reports.set(target, { state, sentAtMs: Math.max(sentAtMs, previous?.sentAtMs ?? sentAtMs), activeIgnoredUntilMs: nowMs })
      return
    }
    const isOutdated = previous !== undefined && (sentAtMs < previous.sentAtMs || (previous.state === 'leaving' && sentAtMs <= previous.activeIgnoredUntilMs))
    if (!isOutdated) this.reports.set(target, { state, sentAtMs, activeIgnoredUntilMs: -Infinity })
  }

  /**
   * Removes the reports of targets that are no longer in force.
   * @param names - Names of the targets in force.
   */
  prune (names: { readonly has: (name: string) => boolean }): void {
    for (const name of this.reports.keys()) {
      if (!names.has(name)) this.reports.delete(name)
    }
  }
}
