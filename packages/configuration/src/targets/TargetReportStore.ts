import { type TargetState } from '@fescuespoke/schema'

/** What a target has reported of itself. */
export interface TargetReport {
  readonly state: TargetState['state']
  /** Reading of the clock when the request for the report was sent. */
  readonly sentAtMs: number
  /** Reading of the clock up to which requests may still be answered with an older state. */
  readonly activeIgnoredUntilMs: number
}

/** Holds the latest report of each target. Leaving wins over an active report whose request was sent before it was known. */
export class TargetReportStore {
  /** Creates an empty log. */
  static create (): TargetReportStore {
    return new TargetReportStore()
  }

  private readonly reports = new Map<string, TargetReport>()

  /** @internal */
  private constructor () {}

  /**
   * Finds the report of a target.
   * @param target - Name of the target.
   */
  findReport (target: string): TargetReport | undefined {
    return this.reports.get(target)
  }

  /**
   * Takes note of a report. Reports may arrive in another order than they were asked for.
   * @param target - Name of the target.
   * @param state - What the target says of itself.
   * @param sentAtMs - Reading of the clock when the request was sent.
   * @param nowMs - Reading of the clock.
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
   * Forgets the targets that are no longer in force.
   * @param names - Names of those that are.
   */
  prune (names: { readonly has: (name: string) => boolean }): void {
    for (const name of this.reports.keys()) {
      if (!names.has(name)) this.reports.delete(name)
    }
  }
}
