import { type ModelsByTarget } from '@fescuespoke/common'
import { type TargetState } from '@fescuespoke/schema'
import { Maybe } from 'true-myth'

/** Latest state report of a target, with the time of its request. */
export interface TargetPoll {
  readonly report: TargetState
  /** Clock time at which the state request was sent. */
  readonly sentAtMs: number
}

/** Caches the latest state report of each target. */
export class TargetStateCache {
  /** Creates an empty cache. */
  static create (): TargetStateCache {
    return new TargetStateCache()
  }

  private readonly latestPolls = new Map<string, TargetPoll>()

  /** @internal */
  private constructor () {}

  /**
   * Records a state report. A report that was requested before the cached one is ignored.
   * @param target - Name of the target.
   * @param report - The report.
   * @param sentAtMs - Clock time at which the state request was sent.
   */
  observeReport (target: string, report: TargetState, sentAtMs: number): void {
    const existing = this.latestPolls.get(target)
    if (existing !== undefined && existing.sentAtMs > sentAtMs) return
    this.latestPolls.set(target, { report, sentAtMs })
  }

  /**
   * Returns the latest state report of a target and the time of its request; `Maybe.nothing()` if there is none.
   * @param target - Name of the target.
   */
  getLatestPoll (target: string): Maybe<TargetPoll> {
    return Maybe.of(this.latestPolls.get(target))
  }

  /** Returns the sorted names of the targets with a cached report. */
  listTargets (): string[] {
    return [...this.latestPolls.keys()].sort()
  }

  /**
   * Returns the models that each target has reported; undefined for a target that has not reported any.
   * @param targets - Names of the targets.
   */
  getReportedModels (targets: readonly string[]): ModelsByTarget {
    return new Map(targets.map(target => [target, this.latestPolls.get(target)?.report.models]))
  }

  /**
   * Checks whether a target reported that it is leaving.
   * @param target - Name of the target.
   */
  isLeaving (target: string): boolean {
    return this.latestPolls.get(target)?.report.state === 'leaving'
  }
}
