import { type AuditEvent, type AuditPage } from '@fescuespoke/schema'

/** A change to record. The audit trail adds the sequence number, time and instance. */
export type AuditEntry = Omit<AuditEvent, 'sequence' | 'time' | 'instance'>

/** Receives each recorded event once. */
export type AuditListener = (event: AuditEvent) => void

/** Options of an audit trail. */
export interface AuditTrailOptions {
  /** Name of the instance. */
  readonly instance: string
  /** Identifier of this run of the process; it changes at every restart. */
  readonly incarnation: string
  /** Maximum number of events kept. */
  readonly capacity?: number
  /** Returns the wall clock time, which is for display only. */
  readonly getTime?: () => Date
}

const DEFAULT_CAPACITY = 2000

/** Keeps the most recent changes that one instance observed. */
export class AuditTrail {
  /**
   * Creates an empty audit trail.
   * @param options - Options of the audit trail.
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
   * Records a change and notifies the listeners.
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
   * Returns the events after a sequence number, oldest first.
   * @param after - Sequence number; 0 returns all events that are kept.
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
   * Adds a listener and returns a function that removes it.
   * @param listener - Receives each event recorded from now on.
   */
  addListener (listener: AuditListener): () => void {
    this.listeners.add(listener)
    return () => { this.listeners.delete(listener) }
  }
}
