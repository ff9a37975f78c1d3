/** A request whose answer may have crashed an engine. */
export interface CrashSuspect {
  readonly requestId: string
  /** Ids of the shared parts of its prompt. */
  readonly parts: readonly string[]
  /** Whether its answer had begun. */
  readonly hasBegun: boolean
}

/** The crash of one incarnation of an engine. */
export interface EngineCrash {
  readonly target: string
  /** Start of the incarnation. */
  readonly startedAtMs: number
  /** Clock reading of the crash. */
  readonly atMs: number
  /** Requests at the engine that had not proved sound when it crashed. */
  readonly suspects: readonly CrashSuspect[]
}
