import { type RelayTarget } from '../model/RelayTarget.js'
import { type TargetTable } from '../targets/TargetTable.js'

/** Targets at which a request began to run or may have begun, of which a route limits the number. Those that have ended since do not count. */
export class RunTargets {
  /**
   * Creates a set without targets.
   * @param table - States of the targets.
   */
  static create (table: TargetTable): RunTargets {
    return new RunTargets(table)
  }

  private readonly targets = new Set<RelayTarget>()

  /** @internal */
  private constructor (private readonly table: TargetTable) {}

  /**
   * Adds a target.
   * @param target - The target.
   */
  add (target: RelayTarget): void {
    this.targets.add(target)
  }

  /**
   * Returns whether a target was added.
   * @param target - The target.
   */
  has (target: RelayTarget): boolean {
    return this.targets.has(target)
  }

  /** Counts the targets that have not ended. */
  count (): number {
    return [...this.targets].filter(target => !this.hasEnded(target)).length
  }

  /**
   * Records that the connection to a target broke during an attempt. A target that was about to shut down has ended.
   * @param target - The target.
   */
  recordBrokenConnection ({ name, startedAtMs }: RelayTarget): void {
    if (this.table.getTracked(name)?.state !== 'leaving') return
    for (const target of this.targets) if (target.name === name && target.startedAtMs === startedAtMs) this.targets.delete(target)
  }

  private hasEnded ({ name, startedAtMs }: RelayTarget): boolean {
    const tracked = this.table.getTracked(name)
    if (tracked?.target.startedAtMs !== startedAtMs) return true
    return tracked.state === 'gone' && !tracked.hasExpired
  }
}
