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
  readonly visibleMs: number
}

const CAPACITY_EVENTS = 1000

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
    this.events.push({ sequence, event, prefix, visibleMs: clock.nowMs() + lagMs })
    if (this.events.length > CAPACITY_EVENTS) this.events.shift()
  }

  /**
   * Lists the events that can be read by now.
   * @param after - Sequence number of the last event already read.
   */
  listAfter (after: number): CacheEvent[] {
    const nowMs = this.options.clock.nowMs()
    return this.events
      .filter(event => event.sequence > after && event.visibleMs <= nowMs)
      .map(({ sequence, event, prefix }) => ({ sequence, event, prefix }))
  }
}
