import { type CrashSuspect } from './EngineCrash.js'

/** A request that may crash targets, as its watch sees it. Its parts are the shared parts of its prompt and its fingerprint. */
export interface SuspectRequest {
  /** Returns whether requests with these parts may crash targets. */
  isSuspected(): boolean
  /** Returns the fingerprint of the request. */
  getFingerprint(): string
  /** Returns whether a crash implicates the request by its fingerprint. */
  isImplicated(): boolean
  /** Lists the parts of which it is remembered that they proved sound; without the fingerprint where no crash implicates any. */
  listProvableParts(): readonly string[]
  /**
   * Describes the request as one that was at a target when it crashed.
   * @param hasBegun - Whether its answer had begun.
   */
  describeSuspect(hasBegun: boolean): CrashSuspect
}
