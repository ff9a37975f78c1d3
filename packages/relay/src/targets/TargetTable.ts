import { type Clock } from '@fescuespoke/common'
import { type LeavingTargetNews } from '@fescuespoke/schema'
import { type RelayTarget } from '../model/RelayTarget.js'
import { isSameOrigin, type StreamOrigin } from '../versions/StreamOrigin.js'
import { LeavingTargets, type TargetIncarnation } from './LeavingTargets.js'

/** Lifecycle state of a target as tracked by this process. `missing`: its entry expired during an outage of the store. */
export type TargetState = 'ready' | 'missing' | 'leaving' | 'gone'

/** A target and its tracked state. */
export interface TrackedTarget {
  readonly target: RelayTarget
  readonly state: TargetState
  /** Clock reading at which the state began. */
  readonly stateSinceMs: number
  /** Clock reading at which the slow start of the target ends. */
  readonly slowStartEndMs: number
  /** Whether the target counts as gone only because its entry expired during an outage of the store; it may still be alive. */
  readonly hasExpired: boolean
}

/** Receives the new state of a target and its previous state. */
export type TargetListener = (tracked: TrackedTarget, previous: TargetState | undefined) => void

/** Options of a target table. */
export interface TargetTableOptions {
  readonly clock: Clock
  /** Returns the time since the last outage of the store, in milliseconds. */
  readonly getTimeSinceStoreOutageMs: () => number
}

/** Time in which an entry that expired during a store outage may be restored, in milliseconds. */
const EXPIRY_GRACE_MS = 1500

/** Time after a store outage during which a removed entry counts as expired, in milliseconds. */
const EXPIRY_WINDOW_MS = 4000

/** Time after which a target that has left is removed from the table, in milliseconds. */
const GONE_RETENTION_MS = 60_000

/** Tracks the published targets and their states. */
export class TargetTable {
  /**
   * Creates an empty table.
   * @param options - Options of the table.
   */
  static create (options: TargetTableOptions): TargetTable {
    return new TargetTable(options)
  }

  private readonly tracked = new Map<string, TrackedTarget>()
  private readonly leaving: LeavingTargets
  private readonly listeners = new Set<TargetListener>()

  /** @internal */
  private constructor (private readonly options: TargetTableOptions) {
    this.leaving = LeavingTargets.create(options.clock)
  }

  /**
   * Updates a target from its published entry.
   * @param target - The target.
   * @returns Whether the entry was used; an entry that its incarnation published before the tracked one is ignored.
   */
  updateTarget (target: RelayTarget): boolean {
    const tracked = this.tracked.get(target.name)
    if (tracked !== undefined && isOutdated(target, tracked)) return false
    const isLeaving = target.phase === 'leaving' || this.leaving.hasIncarnation(target)
    // A target that stated its shutdown and whose entry was removed does not come back with it.
    const hasLeft = tracked?.state === 'gone' && this.leaving.hasIncarnation(target)
    if (!hasLeft) this.setState(target, isLeaving ? 'leaving' : 'ready')
    return true
  }

  /**
   * Marks an incarnation of a target as leaving after it stated its own shutdown. Published entries of this incarnation do not reset
   * the state, not even entries that this process has not read yet.
   * @param incarnation - The incarnation.
   * @param ageMs - Time since the statement, in milliseconds.
   * @returns Whether the shutdown was not known yet.
   */
  markLeaving (incarnation: TargetIncarnation, ageMs = 0): boolean {
    if (!this.leaving.addIncarnation(incarnation, ageMs)) return false
    const tracked = this.tracked.get(incarnation.name)
    if (tracked !== undefined && tracked.state !== 'gone' && this.leaving.hasIncarnation(tracked.target)) this.setState(tracked.target, 'leaving')
    return true
  }

  /** Lists the targets that stated their shutdown lately and whose published entry does not tell of it. */
  listLeavingNews (): LeavingTargetNews[] {
    return this.leaving.listNews(name => {
      const tracked = this.tracked.get(name)
      return tracked?.state === 'gone' || tracked?.target.phase === 'leaving'
    })
  }

  /**
   * Handles the removal of a target's entry.
   * @param name - Name of the target.
   */
  handleRemoval (name: string): void {
    const tracked = this.tracked.get(name)
    if (tracked === undefined) return
    const isExpiry = tracked.state === 'ready' && this.options.getTimeSinceStoreOutageMs() < EXPIRY_WINDOW_MS
    this.setState(tracked.target, isExpiry ? 'missing' : 'gone')
  }

  /** Marks targets as gone whose missing entry was not restored in time, and removes targets that left long ago. */
  expireEntries (): void {
    const nowMs = this.options.clock.nowMs()
    for (const { target, state, stateSinceMs } of [...this.tracked.values()]) {
      if (state === 'missing' && nowMs - stateSinceMs >= EXPIRY_GRACE_MS) this.setState(target, 'gone', true)
      if (state === 'gone' && nowMs - stateSinceMs >= GONE_RETENTION_MS) this.tracked.delete(target.name)
    }
    this.leaving.prune(name => this.tracked.has(name))
  }

  /**
   * Lists the targets of a service that may receive new requests: ready targets, or missing targets when none is ready.
   * @param service - Name of the service.
   * @param origin - Origin of the stream that the targets have to continue; only those of its version are listed.
   * @param isAllowed - Returns whether a target is among those that may be listed; by default, all are.
   */
  listUsable (service: string, origin?: StreamOrigin, isAllowed: (target: RelayTarget) => boolean = () => true): TrackedTarget[] {
    const isSuitable = (target: RelayTarget): boolean => target.service === service && isAllowed(target) && (origin === undefined || isSameOrigin(target, origin))
    const usable = [...this.tracked.values()].filter(({ target, state }) => isSuitable(target) && (state === 'ready' || state === 'missing'))
    const ready = usable.filter(({ state }) => state === 'ready')
    return ready.length > 0 ? ready : usable
  }

  /**
   * Returns a target and its tracked state; undefined when the target is unknown.
   * @param name - Name of the target.
   */
  getTracked (name: string): TrackedTarget | undefined {
    return this.tracked.get(name)
  }

  /**
   * Adds a listener.
   * @param listener - Receives all later changes of a state.
   */
  addListener (listener: TargetListener): void {
    this.listeners.add(listener)
  }

  private setState (target: RelayTarget, state: TargetState, hasExpired = false): void {
    const previous = this.tracked.get(target.name)
    const nowMs = this.options.clock.nowMs()
    const isSame = previous !== undefined && previous.state === state && isSameIncarnation(previous.target, target)
    const tracked: TrackedTarget = {
      target,
      state,
      stateSinceMs: isSame ? previous.stateSinceMs : nowMs,
      slowStartEndMs: isSame ? previous.slowStartEndMs : nowMs + target.slowStartRemainingMs,
      hasExpired
    }
    this.tracked.set(target.name, tracked)
    if (isSame) return
    for (const listener of this.listeners) listener(tracked, previous?.state)
  }
}

/** Returns whether two entries are of one process, whose service and software version do not change. */
function isSameIncarnation (a: RelayTarget, b: RelayTarget): boolean {
  return a.startedAtMs === b.startedAtMs && isSameOrigin(a, b)
}

/** Returns whether an entry is from before the tracked one; the store may list such entries after it returned from an older copy. */
function isOutdated ({ startedAtMs, sequence }: RelayTarget, { target, state, hasExpired }: TrackedTarget): boolean {
  const isComparable = startedAtMs > 0 && startedAtMs === target.startedAtMs && sequence > 0
  const wasRemoved = state === 'gone' && !hasExpired
  return isComparable && (sequence < target.sequence || (sequence === target.sequence && wasRemoved))
}
