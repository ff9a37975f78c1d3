/** Whether a target takes new work, as it says itself. */
export type TargetPhase = 'ready' | 'leaving'

/** One incarnation of a target as it was published. */
export interface RelayTarget {
  /** Name of the target; together with `startedAt` it names one incarnation. */
  readonly name: string
  /** Wall-clock start of the incarnation in milliseconds, as the target states it; 0 when it states none. */
  readonly startedAt: number
  readonly service: string
  /** Host and port. */
  readonly address: string
  readonly availabilityZone: string
  /** Requests that it runs at once; 0 when not stated. */
  readonly slots: number
  readonly phase: TargetPhase
  /** Time in milliseconds for which it still was slow after its start, when it was published. */
  readonly slowForMs: number
}
