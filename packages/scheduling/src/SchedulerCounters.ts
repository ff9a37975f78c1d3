import { type Reason } from '@fescuespoke/schema'

/** Counters of one scheduler since its start. */
export interface SchedulerCounters {
  placed: number
  /** Requests that had to wait. */
  queued: number
  /** Preemptions of this instance's generations. */
  preemptions: number
  /** Refusals by reason. */
  refused: Partial<Record<Reason, number>>
  /** Questions to coordinators. */
  creditRequests: number
  /** Questions that a coordinator did not answer in time. */
  bypasses: number
}

/** Creates counters that are all zero. */
export function createSchedulerCounters (): SchedulerCounters {
  return { placed: 0, queued: 0, preemptions: 0, refused: {}, creditRequests: 0, bypasses: 0 }
}
