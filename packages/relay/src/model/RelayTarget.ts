/** Whether a target accepts new requests, as reported by the target. */
export type TargetPhase = 'ready' | 'leaving'

/** One incarnation of a target, as published. */
export interface RelayTarget {
  /** Name of the target; the name and `startedAtMs` together identify one incarnation. */
  readonly name: string
  /** Wall-clock start time of the incarnation in milliseconds, as reported by the target; 0 when it reports none. */
  readonly startedAtMs: number
  /** Number that rises with each entry that the incarnation publishes; 0 when it publishes none. */
  readonly sequence: number
  readonly service: string
  /** Version of its software; absent when it reports none. */
  readonly softwareVersion?: string
  /** Host and port. */
  readonly address: string
  readonly availabilityZone: string
  /** Maximum number of requests that it runs at the same time; 0 when not reported. */
  readonly slots: number
  readonly phase: TargetPhase
  /** Remaining time of the slow start at the time of publication, in milliseconds. */
  readonly slowStartRemainingMs: number
}
