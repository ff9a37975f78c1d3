import { type Reason } from '@fescuespoke/schema'

/** Counters of one scheduler since it was created. */
export interface SchedulerCounters {
  placed: number
  /** Requests that had to wait for a target. */
  queued: number
  /** Preemptions of generations of this instance. */
  preemptions: number
  /** Refused requests by reason. */
  refused: Partial<Record<Reason, number>>
  /** Credit requests sent to coordinators. */
  creditRequests: number
  /** Credit requests that a coordinator did not answer in time. */
  bypasses: number
}

/** Returns counters that are all zero. */
export function createSchedulerCounters (): SchedulerCounters {
  return { placed: 0, queued: 0, preemptions: 0, refused: {}, creditRequests: 0, bypasses: 0 }
}
