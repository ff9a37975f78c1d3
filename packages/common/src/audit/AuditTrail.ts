import { type AuditEvent, type AuditPage } from '@fescuespoke/schema'

/** A change to be recorded; the trail adds its sequence number, time and instance. */
export type AuditEntry = Omit<AuditEvent, 'sequence' | 'time' | 'instance'>

/** Receives each event once. */
export type AuditListener = (event: AuditEvent) => void

/** Options of an audit trail. */
export interface AuditTrailOptions {
  /** Name of the instance. */
  readonly instance: string
  /** Name of this run of the process. */
  readonly incarnation: string
  /** Number of events held. */
  readonly capacity?: number
  /** Gets the wall clock's time for people. */
  readonly getTime?: () => Date
}

const DEFAULT_CAPACITY = 2000

/** Holds the latest changes seen by one instance. */
export class AuditTrail {
  /**
   * Creates an empty trail.
   * @param options - Options of the trail.
   */
  static create (options: AuditTrailOptions): AuditTrail {
    return new AuditTrail(options)
  }

  private readonly events: AuditEvent[] = []
  private readonly listeners = new Set<AuditListener>()
  private nextSequence = 1

  /** @internal */
  private constructor (private readonly options: AuditTrailOptions) {}

  /**
   * Records a change.
   * @param entry - The change.
   */
  record (entry: AuditEntry): void {
    const time = (this.options.getTime ?? (() => new Date()))()
    const event: AuditEvent = { sequence: this.nextSequence++, time: time.toISOString(), instance: this.options.instance, ...entry }
    this.events.push(event)
    if (this.events.length > (this.options.capacity ?? DEFAULT_CAPACITY)) this.events.shift()
    for (const listener of this.listeners) listener(event)
  }

  /**
   * Gets the events after a sequence number, oldest first.
   * @param after - Sequence number; 0 for all that are held.
   */
  getPage (after: number): AuditPage {
    return {
      instance: this.options.instance,
      incarnation: this.options.incarnation,
      oldest: this.events[0]?.sequence ?? this.nextSequence,
      events: this.events.filter(event => event.sequence > after)
    }
  }

  /**
   * Adds a listener and returns what removes it.
   * @param listener - Receives each later event.
   */
  addListener (listener: AuditListener): () => void {
    this.listeners.add(listener)
    return () => { this.listeners.delete(listener) }
  }
}
