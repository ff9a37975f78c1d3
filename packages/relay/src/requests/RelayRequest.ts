import { type AttemptHead, type RawHeaders } from '../targets/RelayTargetClient.js'

/** Sizes of a generation that a caller stated. */
export interface GenerationSize {
  readonly promptTokens: number
  readonly maxOutputTokens: number
  /** Estimate of the output, often far off; absent when none was given. */
  readonly expectedOutputTokens?: number
}

/** A request that was read completely. */
export interface RelayRequest {
  /** Name of this request; the caller gives each of its attempts one of its own. */
  readonly id: string
  readonly method: string
  readonly host: string
  /** Path with query, as the caller sent it. */
  readonly path: string
  /** Headers that are passed on; those that the system sets are left out. */
  readonly headers: RawHeaders
  readonly body: Buffer
  readonly key?: string
  /** Time in milliseconds that the caller waits, counted from `receivedAtMs`. */
  readonly remainingMs?: number
  /** Reading of the clock when the request's head had arrived. */
  readonly receivedAtMs: number
  readonly size?: GenerationSize
  /** Id of the last event that the caller has; it resumes a stream. */
  readonly lastEventId?: string
}

/** Why a request got an answer that no target gave. */
export type RefusalReason =
  'notConfigured' | 'noRoute' | 'unknownKey' | 'noTarget' | 'overloaded' | 'stopping' | 'timeoutNotRun' | 'timeout' | 'lost' | 'notExecuted'

/** An answer that no target gave. */
export interface RelayRefusal {
  readonly status: 401 | 404 | 502 | 503 | 504
  readonly reason: RefusalReason
  /** When the caller may come back, in milliseconds; absent where the request may have run. */
  readonly retryAfterMs?: number
}

/** Where an answer goes. */
export interface AnswerSink {
  /**
   * Starts a target's answer. One that ends with its connection is passed on in the same way, since nobody can tell
   * whether it is complete.
   * @param head - Beginning of the answer.
   */
  writeHead(head: AttemptHead): void
  /**
   * Writes bytes and waits while the caller reads slowly.
   * @param bytes - The bytes.
   */
  writeBytes(bytes: Buffer): Promise<void>
  /** Ends the answer as complete. */
  end(): void
  /** Breaks the answer off, so that it cannot be taken for a complete one. */
  breakOff(): void
  /**
   * Answers in place of a target.
   * @param refusal - The answer.
   */
  refuse(refusal: RelayRefusal): void
  /** Aborted once the caller has left. */
  readonly gone: AbortSignal
}
