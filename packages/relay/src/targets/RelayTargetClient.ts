import { type Result } from 'true-myth'
import { type RelayRequest } from '../requests/RelayRequest.js'
import { type RelayTarget } from '../model/RelayTarget.js'

/** Raw header names and values, by turns. */
export type RawHeaders = readonly string[]

/**
 * Why an attempt has no answer, or no more of it. `notSent`: no byte of it left. `notExecuted`: the target states that
 * it did not run the request. `notHere`: another target has the address and did not run it. `lost`: it may have run.
 * `aborted`: this side ended it.
 */
export type AttemptError = 'notSent' | 'notExecuted' | 'notHere' | 'lost' | 'aborted'

/** Beginning of a target's answer. */
export interface AttemptHead {
  readonly status: number
  /** Headers that are passed on. */
  readonly headers: RawHeaders
  /** Whether the target's signature was among them. */
  readonly isSigned: boolean
  /** Whether the answer states where it ends; one that does not ends with its connection. */
  readonly isFramed: boolean
}

/** Lowest status by which a target says that it failed. */
export const MIN_FAILURE_STATUS = 500

/** Where a request goes on that ran at another target before. */
export interface Continuation {
  /** Host and port of the target that holds or held the run's memory. */
  readonly address: string
  /** Name of the copy. */
  readonly handle: string
}

/** Options of one attempt. */
export interface AttemptOptions {
  readonly request: RelayRequest
  /** Workspace of the caller; absent where requests carry no keys. */
  readonly workspace?: string
  /** Time in milliseconds that is left until the answer is of no more use. */
  readonly remainingMs: number
  /** Whether only a connection that has not been used before may be taken. */
  readonly needsFreshConnection: boolean
  /** From 0, the most urgent, to 9. */
  readonly urgency?: number
  /** Id of the last event that the caller was sent. */
  readonly lastEventId?: string
  readonly continuation?: Continuation
  readonly signal: AbortSignal
}

/** An answer as it arrives. */
export interface Attempt {
  /** The beginning of the answer, or why there is none. */
  readonly head: Promise<Result<AttemptHead, AttemptError>>
  /** Reads the next bytes; nothing at the complete end, an error where the answer broke off. */
  readBytes(): Promise<Result<Buffer | undefined, AttemptError>>
  /** Whether the request's first byte has left. */
  isSent(): boolean
  /** Gets what the connection reported when the answer failed, for the log. */
  getCause(): string | undefined
  /** Ends the attempt as lost: nothing came for too long. */
  giveUp(): void
}

/** A copy of a run's memory. */
export interface RunCopy {
  readonly handle: string
  /** Events that the run had produced when the copy was complete. */
  readonly createdEvents: number
}

/** Why a run was not copied; `noRoom` with a handle left the run's memory at its source after the run was stopped. */
export interface CopyError {
  readonly reason: 'noRun' | 'busy' | 'noRoom' | 'unreachable'
  readonly handle?: string
  /** What the connection reported, for the log. */
  readonly cause?: string
}

/** Options of copying a run. */
export interface CopyOptions {
  readonly request: string
  readonly from: RelayTarget
  readonly to: RelayTarget
  /** Whether the run stops, so that nothing is left to copy. */
  readonly isLast: boolean
  readonly timeoutMs: number
}

/** What a target says of itself. */
export interface TargetReport {
  /** Whether it takes no new work because it is about to end. */
  readonly isLeaving: boolean
  /** Time in milliseconds until it ends; absent where it does not know. */
  readonly leavesInMs?: number
}

/** Speaks the protocol of targets. */
export interface RelayTargetClient {
  /**
   * Sends a request once; never repeats it.
   * @param target - The target.
   * @param options - Options of the attempt.
   */
  sendRequest(target: RelayTarget, options: AttemptOptions): Attempt
  /**
   * Copies the memory of a running generation to another engine.
   * @param options - Options of the copy.
   */
  copyRun(options: CopyOptions): Promise<Result<RunCopy, CopyError>>
  /**
   * Frees a copy that is not used.
   * @param source - Engine at which the copy was made.
   * @param handle - Name of the copy.
   */
  dropCopy(source: RelayTarget, handle: string): Promise<void>
  /**
   * Fetches what a target says of itself.
   * @param target - The target.
   * @param timeoutMs - Longest wait in milliseconds.
   * @returns The report, or what the connection reported.
   */
  fetchReport(target: RelayTarget, timeoutMs: number): Promise<Result<TargetReport, string>>
  /**
   * Forgets the connections to a target that is gone.
   * @param target - The target.
   */
  forgetTarget(target: RelayTarget): void
  /** Closes all connections. */
  close(): Promise<void>
}
