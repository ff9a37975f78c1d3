import { type Result } from 'true-myth'
import { type RawHeaders } from '../model/RawHeaders.js'
import { type RelayRequest } from '../requests/RelayRequest.js'
import { type RelayTarget } from '../model/RelayTarget.js'
import { type TargetNoticeListener } from './TargetNotice.js'

/**
 * Reason for which an attempt has no complete answer. `notSent`: no byte was sent. `notExecuted`: the target states that it
 * did not run the request. `notHere`: another target uses the address and did not run the request. `lost`: the request may have
 * run. `aborted`: this side ended the attempt.
 */
export type AttemptError = 'notSent' | 'notExecuted' | 'notHere' | 'lost' | 'aborted'

/** Requests a second that a target accepts from all instances together, or `none` when its answer names no limit. */
export type NamedLimit = number | 'none'

/** Status and headers of a target's answer. */
export interface AttemptHead {
  readonly status: number
  /** Headers that are forwarded to the caller. */
  readonly headers: RawHeaders
  /** Whether the answer carried the signature of the target. */
  readonly isSigned: boolean
  /** Whether the answer delimits its own end; otherwise it ends when the connection closes. */
  readonly isFramed: boolean
  /** Whether the body is a series of events. */
  readonly isEventStream: boolean
}

/** Lowest status that is not a success. */
export const MIN_NON_SUCCESS_STATUS = 300

/** Lowest status that reports a failure of the target. */
export const MIN_FAILURE_STATUS = 500

/** Memory copy with which a request continues after it ran at another target. */
export interface Continuation {
  /** Host and port of the target that holds or held the memory of the run. */
  readonly address: string
  /** Identifier of the copy. */
  readonly handle: string
}

/** Options of one attempt. */
export interface AttemptOptions {
  readonly request: RelayRequest
  /** Workspace of the caller; absent where requests carry no keys. */
  readonly workspace?: string
  /** Time until the request reaches its deadline, in milliseconds. */
  readonly remainingMs: number
  /** Whether the request must use a new connection. */
  readonly needsFreshConnection: boolean
  /** Urgency from 0, the highest, to 9. */
  readonly urgency?: number
  /** Id of the last event that was sent to the caller. */
  readonly lastEventId?: string
  readonly continuation?: Continuation
  /** Id of the reservation of the engine's capacity that the request uses. */
  readonly hold?: string
  /** Returns whether the request may still be sent; asked when a connection is ready for it. By default it may. */
  readonly mayStart?: () => boolean
  readonly signal: AbortSignal
}

/** An answer while it arrives. */
export interface Attempt {
  /** Status and headers of the answer, or the reason for which there are none. */
  readonly head: Promise<Result<AttemptHead, AttemptError>>
  /** Reads the next bytes; returns undefined at the end of a complete answer and an error when the answer was interrupted. */
  readBytes(): Promise<Result<Buffer | undefined, AttemptError>>
  /** Returns whether the first byte of the request was sent. */
  isSent(): boolean
  /** Returns whether the answer ended because its connection broke, and not by this side. */
  isBrokenOff(): boolean
  /** Returns the error that the connection reported when the answer failed, for the log. */
  getCause(): string | undefined
  /** Returns the limit that the answer names; undefined when the answer does not tell, or before `head` has resolved. */
  getNamedLimit(): NamedLimit | undefined
  /**
   * Ends the attempt as lost, because no data arrived for too long or because of a cause that is stated.
   * @param cause - The cause, for the log.
   */
  markLost(cause?: string): void
}

/** A copy of a run's memory. */
export interface RunCopy {
  readonly handle: string
  /** Number of events that the run had produced when the copy was complete. */
  readonly producedEvents: number
}

/** Reason for which a run was not copied. `closed`: nothing was sent, because one of the engines wants no requests. `noRoom` with a handle means that the run was stopped and its source keeps its memory. */
export interface CopyError {
  readonly reason: 'noRun' | 'busy' | 'noRoom' | 'unreachable' | 'closed'
  readonly handle?: string
  /** Error that the connection reported, for the log. */
  readonly cause?: string
}

/** Options of copying a run. */
export interface CopyOptions {
  readonly requestId: string
  readonly from: RelayTarget
  readonly to: RelayTarget
  /** Whether the run is stopped, so that this copy is complete. */
  readonly isLast: boolean
  readonly timeoutMs: number
}

/**
 * Reason for which an engine made no reservation. `full`: it has no capacity. `unreachable`: no connection to it could be opened.
 * `closed`: nothing was sent, because it wants no requests. `unanswered`: there was no readable answer, and a reservation may exist.
 * `mismatched`: there was an answer to another request, and a reservation may exist.
 */
export type HoldError = 'full' | 'unreachable' | 'closed' | 'unanswered' | 'mismatched'

/** Options of a reservation at an engine. */
export interface TakeHoldOptions {
  readonly target: RelayTarget
  /** Memory to reserve, in tokens. */
  readonly tokens: number
  /** Time after which the engine releases an unused reservation, in milliseconds. */
  readonly ttlMs: number
  readonly timeoutMs: number
  /** Ends the call; a reservation that the engine has made then lasts until it expires. */
  readonly signal?: AbortSignal
}

/** Status that a target reports about itself. */
export interface TargetReport {
  /** Whether it accepts no new requests because it is about to shut down. */
  readonly isLeaving: boolean
  /** Time until it shuts down, in milliseconds; absent when it is not known. */
  readonly leavesInMs?: number
}

/** Whether something accepts new connections at the address of a target; `refusing`: the machine answers that nothing does. */
export type TargetReachability = 'accepting' | 'refusing' | 'unknown'

/** Client of the protocol of targets. */
export interface RelayTargetClient {
  /**
   * Adds a listener.
   * @param listener - Receives the notices in all later answers to requests, copies and reports, before their sender gets the answer.
   */
  addNoticeListener(listener: TargetNoticeListener): void
  /**
   * Sends a request once, without retries.
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
   * Frees a copy that is not needed.
   * @param source - Engine at which the copy was made.
   * @param handle - Identifier of the copy.
   * @param timeoutMs - Maximum time to wait, in milliseconds; the engine frees the copy by itself some seconds later.
   */
  dropCopy(source: RelayTarget, handle: string, timeoutMs: number): Promise<void>
  /**
   * Reserves capacity for one generation at an engine.
   * @param options - Options of the reservation.
   * @returns The id of the reservation, or the reason for which there is none.
   */
  takeHold(options: TakeHoldOptions): Promise<Result<string, HoldError>>
  /**
   * Releases a reservation that no request uses.
   * @param target - Engine that made the reservation.
   * @param hold - Id of the reservation.
   * @param timeoutMs - Maximum time to wait, in milliseconds; the engine releases it by itself when it expires.
   */
  dropHold(target: RelayTarget, hold: string, timeoutMs: number): Promise<void>
  /**
   * Fetches the status that a target reports about itself.
   * @param target - The target.
   * @param timeoutMs - Maximum time to wait, in milliseconds.
   * @returns The report, or the error that the connection reported.
   */
  fetchReport(target: RelayTarget, timeoutMs: number): Promise<Result<TargetReport, string>>
  /**
   * Opens a connection to a target and closes it again, to learn whether the target still runs.
   * @param target - The target.
   * @param timeoutMs - Maximum time to wait, in milliseconds.
   */
  fetchReachability(target: RelayTarget, timeoutMs: number): Promise<TargetReachability>
  /**
   * Closes the connections to a target that no longer exists.
   * @param target - The target.
   */
  closeConnections(target: RelayTarget): void
  /** Closes all connections. */
  close(): Promise<void>
}
