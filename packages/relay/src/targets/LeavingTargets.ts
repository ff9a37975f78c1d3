import { type Clock } from '@fescuespoke/common'
import { type LeavingTargetNews } from '@fescuespoke/schema'
import { type RelayTarget } from '../model/RelayTarget.js'

/** One incarnation of a target. */
export type TargetIncarnation = Pick<RelayTarget, 'name' | 'startedAtMs'>

interface LeavingRecord {
  readonly startedAtMs: number
  /** Clock reading at which the target stated its shutdown. */
  readonly statedAtMs: number
}

/** Time for which the shutdown of a target that is not published any more is remembered, in milliseconds. */
const RETENTION_MS = 600_000

/** Time for which peers are told of a target that shuts down, in milliseconds, and maximum number of targets in one message. */
const NEWS_DURATION_MS = 10_000
const MAX_NEWS = 16

/** Incarnations of targets that stated their own shutdown. Entries in the store may be older and do not reset it. */
export class LeavingTargets {
  /**
   * Creates a set without targets.
   * @param clock - Monotonic clock.
   */
  static create (clock: Clock): LeavingTargets {
    return new LeavingTargets(clock)
  }

  private readonly records = new Map<string, LeavingRecord>()

  /** @internal */
  private constructor (private readonly clock: Clock) {}

  /**
   * Adds an incarnation.
   * @param incarnation - The incarnation.
   * @param ageMs - Time since it stated its shutdown, in milliseconds.
   * @returns Whether neither it nor a later incarnation of the target was known to shut down.
   */
  addIncarnation ({ name, startedAtMs }: TargetIncarnation, ageMs: number): boolean {
    if (this.hasIncarnation({ name, startedAtMs })) return false
    this.records.set(name, { startedAtMs, statedAtMs: this.clock.nowMs() - ageMs })
    return true
  }

  /**
   * Returns whether an incarnation, or a later one of the same target, stated its shutdown.
   * @param incarnation - The incarnation.
   */
  hasIncarnation ({ name, startedAtMs }: TargetIncarnation): boolean {
    return startedAtMs <= (this.records.get(name)?.startedAtMs ?? -Infinity)
  }

  /**
   * Lists the latest statements for a message to a peer.
   * @param isPublished - Returns whether the published entry of a target tells of its shutdown as well.
   */
  listNews (isPublished: (target: string) => boolean): LeavingTargetNews[] {
    return [...this.records]
      .map(([target, { startedAtMs, statedAtMs }]) => ({ target, startedAtMs, ageMs: Math.round(this.clock.nowMs() - statedAtMs) }))
      .filter(({ target, ageMs }) => ageMs < NEWS_DURATION_MS && !isPublished(target))
      .sort((a, b) => a.ageMs - b.ageMs)
      .slice(0, MAX_NEWS)
  }

  /**
   * Forgets old statements of targets that are not published.
   * @param isTracked - Returns whether a target is published, or was until recently.
   */
  prune (isTracked: (target: string) => boolean): void {
    const nowMs = this.clock.nowMs()
    for (const [target, { statedAtMs }] of this.records) if (nowMs - statedAtMs >= RETENTION_MS && !isTracked(target)) this.records.delete(target)
  }
}
