import { type Clock } from '@fescuespoke/common'
import { type TrackedTarget } from '../targets/TargetTable.js'
import { createStreamOrigin, formatOriginKey, type StreamOrigin } from './StreamOrigin.js'

/** Options of a version history. */
export interface VersionHistoryOptions {
  readonly clock: Clock
  /** Returns whether the store may contain changes of targets that this process has not received. */
  readonly isViewStale: () => boolean
}

/** Origins whose targets served in a period. */
export interface ObservedOrigins {
  readonly origins: readonly StreamOrigin[]
  /** Whether the targets were observed without interruption for the whole period. */
  readonly isComplete: boolean
}

/** Targets of one origin. */
interface OriginPresence {
  readonly origin: StreamOrigin
  readonly targets: Set<string>
  /** Clock reading at which a target that accepts new requests last joined. */
  lastJoinedAtMs: number
  /** Clock reading at which a target last changed its state or was removed. */
  lastLostAtMs: number
}

/** Time for which origins without targets are kept, in milliseconds; an observation of a longer period is never complete. */
const MAX_PERIOD_MS = 600_000

/** Time after a change in which a version of a service counts as growing or declining, in milliseconds. */
const TREND_PERIOD_MS = 30_000

/** Records which software versions of each service had targets, and since when this process has observed them. */
export class VersionHistory {
  /**
   * Creates a history that starts now.
   * @param options - Options of the history.
   */
  static create (options: VersionHistoryOptions): VersionHistory {
    return new VersionHistory(options)
  }

  private readonly presences = new Map<string, OriginPresence>()
  private readonly keysByTarget = new Map<string, string>()
  private readonly listeners = new Set<() => void>()
  private observedSinceMs: number

  /** @internal */
  private constructor (private readonly options: VersionHistoryOptions) {
    this.observedSinceMs = options.clock.nowMs()
  }

  /**
   * Adds a listener.
   * @param listener - Called when the first target of an origin has joined, and when the observation starts again.
   */
  addListener (listener: () => void): void {
    this.listeners.add(listener)
  }

  /**
   * Records a change of a target.
   * @param tracked - The target and its state.
   */
  recordTarget ({ target, state }: TrackedTarget): void {
    this.removeTarget(target.name)
    if (state !== 'gone') this.addTarget(target.name, createStreamOrigin(target), state !== 'leaving')
  }

  /** Checks whether the view is current; the observation starts again when it is not. */
  checkView (): void {
    if (this.options.isViewStale()) this.restart()
  }

  /** Starts the observation again, after a time in which changes may have been missed. */
  restart (): void {
    this.observedSinceMs = this.options.clock.nowMs()
    this.notifyListeners()
  }

  /**
   * Returns the origins of services that had targets in the last period.
   * @param services - Names of the services.
   * @param periodMs - Length of the period, in milliseconds.
   */
  getObserved (services: readonly string[], periodMs: number): ObservedOrigins {
    this.checkView()
    const startMs = this.options.clock.nowMs() - periodMs
    const presences = [...this.presences.values()].filter(({ origin, targets, lastLostAtMs }) => services.includes(origin.service) && (targets.size > 0 || lastLostAtMs >= startMs))
    return { origins: presences.map(({ origin }) => origin), isComplete: periodMs <= MAX_PERIOD_MS && this.observedSinceMs <= startMs }
  }

  /**
   * Lists the origins of a service that lately lost targets while another one was the last to gain some, as keys; see
   * `formatOriginKey`.
   * @param service - Name of the service.
   */
  listDeclining (service: string): ReadonlySet<string> {
    const presences = [...this.presences].filter(([, { origin }]) => origin.service === service)
    if (presences.length < 2) return NO_ORIGINS
    const startMs = this.options.clock.nowMs() - TREND_PERIOD_MS
    const newestJoinMs = Math.max(...presences.map(([, { lastJoinedAtMs }]) => lastJoinedAtMs))
    if (newestJoinMs < startMs) return NO_ORIGINS
    return new Set(presences.filter(([, { lastJoinedAtMs, lastLostAtMs }]) => lastLostAtMs >= startMs && lastJoinedAtMs < newestJoinMs).map(([key]) => key))
  }

  private addTarget (name: string, origin: StreamOrigin, isAccepting: boolean): void {
    const key = formatOriginKey(origin)
    const presence = this.presences.get(key) ?? { origin, targets: new Set<string>(), lastJoinedAtMs: -Infinity, lastLostAtMs: -Infinity }
    this.presences.set(key, presence)
    this.keysByTarget.set(name, key)
    presence.targets.add(name)
    if (isAccepting) presence.lastJoinedAtMs = this.options.clock.nowMs()
    if (presence.targets.size === 1) this.notifyListeners()
  }

  private notifyListeners (): void {
    for (const listener of this.listeners) listener()
  }

  private removeTarget (name: string): void {
    const presence = this.presences.get(this.keysByTarget.get(name) ?? '')
    this.keysByTarget.delete(name)
    if (presence === undefined) return
    presence.targets.delete(name)
    presence.lastLostAtMs = this.options.clock.nowMs()
    this.prune()
  }

  private prune (): void {
    const oldestMs = this.options.clock.nowMs() - MAX_PERIOD_MS
    for (const [key, { targets, lastLostAtMs }] of this.presences) {
      if (targets.size === 0 && lastLostAtMs < oldestMs) this.presences.delete(key)
    }
  }
}

const NO_ORIGINS: ReadonlySet<string> = new Set()
