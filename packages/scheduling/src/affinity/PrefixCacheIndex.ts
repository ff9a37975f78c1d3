import { type Clock } from '@fescuespoke/common'
import { type CacheEvent } from '@fescuespoke/schema'

/** Time for which a prefix is assumed to be cached after it was last sent to a target. */
const SENT_PREFIX_TTL_MS = 30_000

/** Maximum number of sent prefixes that are tracked per target. */
const MAX_SENT_PREFIXES = 256

interface TargetPrefixes {
  /** Sequence number of the last event read; undefined before the first event. */
  lastSequence: number | undefined
  readonly storedPrefixes: Set<string>
  /** Time at which this instance last sent each prefix to the target. */
  readonly sentAtMs: Map<string, number>
}

/** Index of the prefixes that each target is expected to have in its prefix cache. */
export class PrefixCacheIndex {
  /**
   * Creates an empty index.
   * @param clock - Clock of the instance.
   */
  static create (clock: Clock): PrefixCacheIndex {
    return new PrefixCacheIndex(clock)
  }

  private readonly prefixesByTarget = new Map<string, TargetPrefixes>()

  /** @internal */
  private constructor (private readonly clock: Clock) {}

  /**
   * Records cache events. A gap in their sequence numbers discards the prefixes from earlier events.
   * @param target - Name of the target.
   * @param events - Events in the order in which they were read.
   */
  observeEvents (target: string, events: readonly CacheEvent[]): void {
    const targetPrefixes = this.getTargetPrefixes(target)
    for (const event of events) {
      if (targetPrefixes.lastSequence !== undefined && event.sequence <= targetPrefixes.lastSequence) continue
      if (targetPrefixes.lastSequence !== undefined && event.sequence !== targetPrefixes.lastSequence + 1) targetPrefixes.storedPrefixes.clear()
      targetPrefixes.lastSequence = event.sequence
      EVENT_HANDLERS[event.event](targetPrefixes, event.prefix)
    }
  }

  /**
   * Records that a request with a prefix was sent to a target.
   * @param target - Name of the target.
   * @param prefix - Name of the prefix.
   */
  observeSent (target: string, prefix: string): void {
    const { sentAtMs } = this.getTargetPrefixes(target)
    sentAtMs.delete(prefix)
    sentAtMs.set(prefix, this.clock.nowMs())
    const oldest = sentAtMs.keys().next().value
    if (sentAtMs.size > MAX_SENT_PREFIXES && oldest !== undefined) sentAtMs.delete(oldest)
  }

  /**
   * Removes all prefixes of a target, for example after its restart.
   * @param target - Name of the target.
   */
  remove (target: string): void {
    this.prefixesByTarget.delete(target)
  }

  /**
   * Checks whether a prefix is expected to be cached at a target.
   * @param target - Name of the target.
   * @param prefix - Name of the prefix.
   */
  hasPrefix (target: string, prefix: string): boolean {
    const targetPrefixes = this.prefixesByTarget.get(target)
    if (targetPrefixes === undefined) return false
    const sentAtMs = targetPrefixes.sentAtMs.get(prefix)
    return targetPrefixes.storedPrefixes.has(prefix) || (sentAtMs !== undefined && this.clock.nowMs() - sentAtMs < SENT_PREFIX_TTL_MS)
  }

  private getTargetPrefixes (target: string): TargetPrefixes {
    const existing = this.prefixesByTarget.get(target)
    if (existing !== undefined) return existing
    const targetPrefixes: TargetPrefixes = { lastSequence: undefined, storedPrefixes: new Set(), sentAtMs: new Map() }
    this.prefixesByTarget.set(target, targetPrefixes)
    return targetPrefixes
  }
}

const EVENT_HANDLERS: Record<CacheEvent['event'], (targetPrefixes: TargetPrefixes, prefix: string) => void> = {
  stored: (targetPrefixes, prefix) => { targetPrefixes.storedPrefixes.add(prefix) },
  evicted: (targetPrefixes, prefix) => {
    targetPrefixes.storedPrefixes.delete(prefix)
    targetPrefixes.sentAtMs.delete(prefix)
  }
}
