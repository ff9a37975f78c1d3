/** A run that a target lost when it crashed. */
export interface CrashSuspect {
  /** Fingerprint of the request. */
  readonly fingerprint: string
  /** Time from the start of the run to the crash, in milliseconds. */
  readonly runMs: number
}

/** The crash of one incarnation of a target. */
export interface TargetCrash {
  readonly target: string
  readonly incarnation: string
  /** Clock time of the crash, in milliseconds. */
  readonly atMs: number
  readonly suspects: readonly CrashSuspect[]
}
