import { type Clock } from '@fescuespoke/common'
import { type CacheEvent } from '@fescuespoke/schema'

/** How long a prefix is thought to be cached after it was last sent to a target. */
const HISTORY_MS = 30_000

/** Most prefixes remembered for one target. */
const MAX_PREFIXES = 256

interface PrefixView {
  /** Sequence number of the last event read; undefined before the first. */
  lastSequence: number | undefined
  readonly stored: Set<string>
  /** When each prefix was last sent to the target by this instance. */
  readonly sentMs: Map<string, number>
}

/** Holds what is thought to be in the prefix cache of each target. */
export class PrefixViews {
  /**
   * Creates empty views.
   * @param clock - Clock of the instance.
   */
  static create (clock: Clock): PrefixViews {
    return new PrefixViews(clock)
  }

  private readonly views = new Map<string, PrefixView>()

  /** @internal */
  private constructor (private readonly clock: Clock) {}

  /**
   * Observes cache events; a gap in their numbers voids what earlier ones told.
   * @param target - Name of the target.
   * @param events - Events in the order in which they were read.
   */
  observeEvents (target: string, events: readonly CacheEvent[]): void {
    const view = this.getView(target)
    for (const event of events) {
      if (view.lastSequence !== undefined && event.sequence <= view.lastSequence) continue
      if (view.lastSequence !== undefined && event.sequence !== view.lastSequence + 1) view.stored.clear()
      view.lastSequence = event.sequence
      EVENT_HANDLERS[event.event](view, event.prefix)
    }
  }

  /**
   * Observes that a request with a prefix was sent to a target.
   * @param target - Name of the target.
   * @param prefix - Name of the prefix.
   */
  observeSent (target: string, prefix: string): void {
    const { sentMs } = this.getView(target)
    sentMs.delete(prefix)
    sentMs.set(prefix, this.clock.nowMs())
    const oldest = sentMs.keys().next().value
    if (sentMs.size > MAX_PREFIXES && oldest !== undefined) sentMs.delete(oldest)
  }

  /**
   * Removes all that is thought of a target, as after its restart.
   * @param target - Name of the target.
   */
  remove (target: string): void {
    this.views.delete(target)
  }

  /**
   * Checks whether a prefix is thought to be cached at a target.
   * @param target - Name of the target.
   * @param prefix - Name of the prefix.
   */
  hasPrefix (target: string, prefix: string): boolean {
    const view = this.views.get(target)
    if (view === undefined) return false
    const sentMs = view.sentMs.get(prefix)
    return view.stored.has(prefix) || (sentMs !== undefined && this.clock.nowMs() - sentMs < HISTORY_MS)
  }

  private getView (target: string): PrefixView {
    const known = this.views.get(target)
    if (known !== undefined) return known
    const view: PrefixView = { lastSequence: undefined, stored: new Set(), sentMs: new Map() }
    this.views.set(target, view)
    return view
  }
}

const EVENT_HANDLERS: Record<CacheEvent['event'], (view: PrefixView, prefix: string) => void> = {
  stored: (view, prefix) => { view.stored.add(prefix) },
  evicted: (view, prefix) => {
    view.stored.delete(prefix)
    view.sentMs.delete(prefix)
  }
}
