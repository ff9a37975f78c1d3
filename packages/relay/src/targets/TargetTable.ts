import { type Clock } from '@fescuespoke/common'
import { type RelayTarget } from '../model/RelayTarget.js'

/** Where a target is in its life, as this process believes. `missing`: its entry lapsed while the store was in trouble. */
export type TargetState = 'ready' | 'missing' | 'leaving' | 'gone'

/** A target with what this process believes of it. */
export interface TrackedTarget {
  readonly target: RelayTarget
  readonly state: TargetState
  /** Reading of the clock at which the state began. */
  readonly stateSinceMs: number
  /** Reading of the clock until which the target works slowly after its start. */
  readonly slowStartEndMs: number
}

/** Receives a change of a target's state. */
export type TargetListener = (tracked: TrackedTarget, previous: TargetState | undefined) => void

/** Options of a target table. */
export interface TargetTableOptions {
  readonly clock: Clock
  /** Gets the time in milliseconds for which the store has been without trouble. */
  readonly getTimeSinceStoreOutageMs: () => number
}

/** Time for which an entry that lapsed during trouble of the store may come back. */
const EXPIRY_GRACE_MS = 1500

/** Time after trouble of the store in which a removed entry counts as lapsed. */
const EXPIRY_WINDOW_MS = 4000

/** Time after which a target that left is forgotten. */
const GONE_RETENTION_MS = 60_000

/** The published targets by service. */
export class TargetTable {
  /**
   * Creates an empty table.
   * @param options - Options of the table.
   */
  static create (options: TargetTableOptions): TargetTable {
    return new TargetTable(options)
  }

  private readonly tracked = new Map<string, TrackedTarget>()
  /** Targets that said themselves that they leave. */
  private readonly reportedLeaving = new WeakSet<RelayTarget>()
  private readonly listeners = new Set<TargetListener>()

  /** @internal */
  private constructor (private readonly options: TargetTableOptions) {}

  /**
   * Observes what is published of a target.
   * @param target - The target.
   */
  updateTarget (target: RelayTarget): void {
    const tracked = this.tracked.get(target.name)
    const hasReportedLeaving = tracked !== undefined && this.reportedLeaving.has(tracked.target) && tracked.target.startedAt === target.startedAt
    if (!hasReportedLeaving) this.setState(target, target.phase === 'leaving' ? 'leaving' : 'ready')
  }

  /**
   * Observes that a target itself says that it leaves; what is published of it may be older and does not bring it back.
   * @param target - The target as it was known when it was asked.
   */
  markLeaving (target: RelayTarget): void {
    const tracked = this.tracked.get(target.name)
    if (tracked?.target.startedAt !== target.startedAt || tracked.state === 'gone') return
    this.reportedLeaving.add(tracked.target)
    this.setState(tracked.target, 'leaving')
  }

  /**
   * Observes that the entry of a target was removed.
   * @param name - Name of the target.
   */
  handleRemoval (name: string): void {
    const tracked = this.tracked.get(name)
    if (tracked === undefined) return
    const isExpiry = tracked.state === 'ready' && this.options.getTimeSinceStoreOutageMs() < EXPIRY_WINDOW_MS
    this.setState(tracked.target, isExpiry ? 'missing' : 'gone')
  }

  /** Settles entries whose time to come back is over, and forgets targets that left long ago. */
  expireEntries (): void {
    const nowMs = this.options.clock.nowMs()
    for (const { target, state, stateSinceMs } of [...this.tracked.values()]) {
      if (state === 'missing' && nowMs - stateSinceMs >= EXPIRY_GRACE_MS) this.setState(target, 'gone')
      if (state === 'gone' && nowMs - stateSinceMs >= GONE_RETENTION_MS) this.tracked.delete(target.name)
    }
  }

  /**
   * Lists the targets of a service that may get new work: ready ones, or where there are none, missing ones.
   * @param service - Name of the service.
   */
  listUsable (service: string): TrackedTarget[] {
    const usable = [...this.tracked.values()].filter(({ target, state }) => target.service === service && (state === 'ready' || state === 'missing'))
    const ready = usable.filter(({ state }) => state === 'ready')
    return ready.length > 0 ? ready : usable
  }

  /**
   * Gets what is known of a target.
   * @param name - Name of the target.
   */
  getTracked (name: string): TrackedTarget | undefined {
    return this.tracked.get(name)
  }

  /**
   * Adds a listener.
   * @param listener - Receives each later change of a state.
   */
  addListener (listener: TargetListener): void {
    this.listeners.add(listener)
  }

  private setState (target: RelayTarget, state: TargetState): void {
    const previous = this.tracked.get(target.name)
    const nowMs = this.options.clock.nowMs()
    const isSame = previous !== undefined && previous.state === state && previous.target.startedAt === target.startedAt
    const tracked: TrackedTarget = {
      target,
      state,
      stateSinceMs: isSame ? previous.stateSinceMs : nowMs,
      slowStartEndMs: isSame ? previous.slowStartEndMs : nowMs + target.slowForMs
    }
    this.tracked.set(target.name, tracked)
    if (isSame) return
    for (const listener of this.listeners) listener(tracked, previous?.state)
  }
}
