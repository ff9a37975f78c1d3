import { type Clock } from '@fescuespoke/common'
import { type RelayTarget } from '../model/RelayTarget.js'

/** Where a target is in its life, as this process believes. `missing`: its entry lapsed while the store was in trouble. */
export type TargetState = 'ready' | 'missing' | 'leaving' | 'gone'

/** A target with what this process believes of it. */
export interface KnownTarget {
  readonly target: RelayTarget
  readonly state: TargetState
  /** Reading of the clock at which the state began. */
  readonly sinceMs: number
  /** Reading of the clock until which the target works slowly after its start. */
  readonly slowUntilMs: number
}

/** Receives a change of a target's state. */
export type TargetListener = (known: KnownTarget, before: TargetState | undefined) => void

/** Options of a target table. */
export interface TargetTableOptions {
  readonly clock: Clock
  /** Gets the time in milliseconds for which the store has been without trouble. */
  readonly getStoreCalmMs: () => number
}

/** Time for which an entry that lapsed during trouble of the store may come back. */
const LAPSE_GRACE_MS = 1500

/** Time after trouble of the store in which a removed entry counts as lapsed. */
const LAPSE_WINDOW_MS = 4000

/** Time after which a target that left is forgotten. */
const FORGET_MS = 60_000

/** The published targets by service. */
export class TargetTable {
  /**
   * Creates an empty table.
   * @param options - Options of the table.
   */
  static create (options: TargetTableOptions): TargetTable {
    return new TargetTable(options)
  }

  private readonly known = new Map<string, KnownTarget>()
  /** Targets that said themselves that they leave. */
  private readonly reportedLeaving = new WeakSet<RelayTarget>()
  private readonly listeners = new Set<TargetListener>()

  /** @internal */
  private constructor (private readonly options: TargetTableOptions) {}

  /**
   * Observes what is published of a target.
   * @param target - The target.
   */
  observeTarget (target: RelayTarget): void {
    const known = this.known.get(target.name)
    const hasReported = known !== undefined && this.reportedLeaving.has(known.target) && known.target.startedAt === target.startedAt
    if (!hasReported) this.setState(target, target.phase === 'leaving' ? 'leaving' : 'ready')
  }

  /**
   * Observes that a target itself says that it leaves; what is published of it may be older and does not bring it back.
   * @param target - The target as it was known when it was asked.
   */
  observeLeaving (target: RelayTarget): void {
    const known = this.known.get(target.name)
    if (known?.target.startedAt !== target.startedAt || known.state === 'gone') return
    this.reportedLeaving.add(known.target)
    this.setState(known.target, 'leaving')
  }

  /**
   * Observes that the entry of a target was removed.
   * @param name - Name of the target.
   */
  observeRemoval (name: string): void {
    const known = this.known.get(name)
    if (known === undefined) return
    const isLapse = known.state === 'ready' && this.options.getStoreCalmMs() < LAPSE_WINDOW_MS
    this.setState(known.target, isLapse ? 'missing' : 'gone')
  }

  /** Settles entries whose time to come back is over, and forgets targets that left long ago. */
  settle (): void {
    const nowMs = this.options.clock.nowMs()
    for (const { target, state, sinceMs } of [...this.known.values()]) {
      if (state === 'missing' && nowMs - sinceMs >= LAPSE_GRACE_MS) this.setState(target, 'gone')
      if (state === 'gone' && nowMs - sinceMs >= FORGET_MS) this.known.delete(target.name)
    }
  }

  /**
   * Lists the targets of a service that may get new work: ready ones, or where there are none, missing ones.
   * @param service - Name of the service.
   */
  listUsable (service: string): KnownTarget[] {
    const usable = [...this.known.values()].filter(({ target, state }) => target.service === service && (state === 'ready' || state === 'missing'))
    const ready = usable.filter(({ state }) => state === 'ready')
    return ready.length > 0 ? ready : usable
  }

  /**
   * Gets what is known of a target.
   * @param name - Name of the target.
   */
  getKnown (name: string): KnownTarget | undefined {
    return this.known.get(name)
  }

  /**
   * Adds a listener.
   * @param listener - Receives each later change of a state.
   */
  addListener (listener: TargetListener): void {
    this.listeners.add(listener)
  }

  private setState (target: RelayTarget, state: TargetState): void {
    const before = this.known.get(target.name)
    const nowMs = this.options.clock.nowMs()
    const isSame = before !== undefined && before.state === state && before.target.startedAt === target.startedAt
    const known: KnownTarget = {
      target,
      state,
      sinceMs: isSame ? before.sinceMs : nowMs,
      slowUntilMs: isSame ? before.slowUntilMs : nowMs + target.slowForMs
    }
    this.known.set(target.name, known)
    if (isSame) return
    for (const listener of this.listeners) listener(known, before?.state)
  }
}
