import { type HeldModels } from '@fescuespoke/common'
import { type TargetState } from '@fescuespoke/schema'
import { Maybe } from 'true-myth'

/** What a target last said of itself, dated by the moment it was asked. */
export interface TargetPoll {
  readonly report: TargetState
  /** Reading of the instance's clock when the question was sent. */
  readonly sentAtMs: number
}

/** Holds the latest evidence of each target. */
export class TargetStateCache {
  /** Creates an empty directory. */
  static create (): TargetStateCache {
    return new TargetStateCache()
  }

  private readonly latestPolls = new Map<string, TargetPoll>()

  /** @internal */
  private constructor () {}

  /**
   * Observes a state report; one that was asked for earlier than the held one is dropped.
   * @param target - Name of the target.
   * @param report - The report.
   * @param sentAtMs - Reading of the clock when the question was sent.
   */
  observeReport (target: string, report: TargetState, sentAtMs: number): void {
    const existing = this.latestPolls.get(target)
    if (existing !== undefined && existing.sentAtMs > sentAtMs) return
    this.latestPolls.set(target, { report, sentAtMs })
  }

  /**
   * Gets the latest evidence of a target.
   * @param target - Name of the target.
   */
  getLatestPoll (target: string): Maybe<TargetPoll> {
    return Maybe.of(this.latestPolls.get(target))
  }

  /** Lists the names of the targets that evidence is held of, sorted. */
  listTargets (): string[] {
    return [...this.latestPolls.keys()].sort()
  }

  /**
   * Gets the models that targets hold, as far as they have told.
   * @param targets - Names of the targets.
   */
  getHeldModels (targets: readonly string[]): HeldModels {
    return new Map(targets.map(target => [target, this.latestPolls.get(target)?.report.models]))
  }

  /**
   * Checks whether a target said that it is leaving.
   * @param target - Name of the target.
   */
  isLeaving (target: string): boolean {
    return this.latestPolls.get(target)?.report.state === 'leaving'
  }
}
