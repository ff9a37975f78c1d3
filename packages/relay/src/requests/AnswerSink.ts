import { type AttemptHead } from '../targets/RelayTargetClient.js'
import { type RelayRefusal } from './RelayRequest.js'

/** Destination of an answer. */
export interface AnswerSink {
  /**
   * Starts the answer of a target. However the target delimits its answer, the caller can tell a complete one from an interrupted one.
   * @param head - Status and headers of the answer.
   */
  writeHead(head: AttemptHead): void
  /**
   * Writes bytes.
   * @param bytes - The bytes.
   * @returns Resolves when more can be written; undefined unless the caller reads slowly.
   */
  writeBytes(bytes: Buffer): Promise<void> | undefined
  /** Returns whether bytes of the answer wait for the caller to read. */
  isWaitingForCaller(): boolean
  /** Returns whether nothing of an answer has been passed on, so that the request may still be refused. */
  mayRefuse(): boolean
  /** Ends the answer as complete. */
  end(): void
  /** Aborts the answer in such a way that the caller cannot mistake it for a complete one. */
  abort(): void
  /**
   * Answers without a target.
   * @param refusal - The answer.
   */
  refuse(refusal: RelayRefusal): void
  /** Aborted when the caller has left. */
  readonly callerSignal: AbortSignal
}
