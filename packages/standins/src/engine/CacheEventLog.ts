import { type Clock, type Random } from '@fescuespoke/common'
import { type CacheEvent } from '@fescuespoke/schema'

/** Options of a log of cache events. */
export interface CacheEventLogOptions {
  readonly clock: Clock
  readonly random: Random
  /** Delay in milliseconds until an event becomes readable. */
  readonly lagMs: number
  /** Fraction of events that are dropped, between 0 and 1. */
  readonly lossRate: number
}

interface LoggedEvent extends CacheEvent {
  readonly visibleAtMs: number
}

const MAX_EVENTS = 1000

/**
 * Stores the latest cache events. Events become readable after a delay, and dropped events leave gaps in the sequence
 * numbers.
 */
export class CacheEventLog {
  /**
   * Creates an empty log.
   * @param options - Options of the log.
   */
  static create (options: CacheEventLogOptions): CacheEventLog {
    return new CacheEventLog(options)
  }

  private readonly events: LoggedEvent[] = []
  private nextSequence = 1

  /** @internal */
  private constructor (private readonly options: CacheEventLogOptions) {}

  /**
   * Records an event.
   * @param event - Type of the event.
   * @param prefix - Name of the prefix.
   */
  record (event: CacheEvent['event'], prefix: string): void {
    const { clock, random, lagMs, lossRate } = this.options
    const sequence = this.nextSequence++
    if (random.nextFloat() < lossRate) return
    this.events.push({ sequence, event, prefix, visibleAtMs: clock.nowMs() + lagMs })
    if (this.events.length > MAX_EVENTS) this.events.shift()
  }

  /**
   * Returns the events that are readable now.
   * @param after - Sequence number of the last event already read; only later events are returned.
   */
  listEventsAfter (after: number): CacheEvent[] {
    const nowMs = this.options.clock.nowMs()
    return this.events
      .filter(event => event.sequence > after && event.visibleAtMs <= nowMs)
      .map(({ sequence, event, prefix }) => ({ sequence, event, prefix }))
  }
}
