import { type Clock, type Random } from '@fescuespoke/common'
import { type CacheEvent } from '@fescuespoke/schema'

/** Options of a log of cache events. */
export interface CacheEventLogOptions {
  readonly clock: Clock
  readonly random: Random
  /** Delay until an event can be read. */
  readonly lagMs: number
  /** Share of events that are lost. */
  readonly lossRate: number
}

interface LoggedEvent extends CacheEvent {
  readonly visibleAtMs: number
}

const MAX_EVENTS = 1000

/** Holds the latest cache events and shows them late and with gaps. */
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
   * @param event - What happened.
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
   * Lists the events that can be read by now.
   * @param after - Sequence number of the last event already read.
   */
  listEventsAfter (after: number): CacheEvent[] {
    const nowMs = this.options.clock.nowMs()
    return this.events
      .filter(event => event.sequence > after && event.visibleAtMs <= nowMs)
      .map(({ sequence, event, prefix }) => ({ sequence, event, prefix }))
  }
}
