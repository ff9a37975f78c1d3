import { type Target } from '@fescuespoke/common'
import { type CacheEvent, type EngineEvent, type GenerationSpec, type TargetState } from '@fescuespoke/schema'
import { type Result } from 'true-myth'

/** Why a request to a target failed or its response stream broke off. */
export type TargetError = 'unreachable' | 'notFound' | 'refused' | 'silent' | 'cut' | 'malformed' | 'aborted' | 'withheld'

/** Events of one generation. The last item is an error unless the generation ended. */
export type GenerationEvents = AsyncGenerator<Result<EngineEvent, TargetError>, void, undefined>

/** Reply of a plain (non-engine) target. */
export interface CallReply {
  readonly status: number
  readonly body: unknown
}

/** Why a call has no reply. `notSent` and `withheld` mean that no byte of it was sent. */
export type CallError = 'notSent' | 'withheld' | 'replyLost'

/** Decides right before a request is sent whether it may still be sent. */
export type SendGuard = () => boolean

/** Options of one call. */
export interface CallOptions {
  readonly request: string
  readonly body: unknown
  /** Time until the caller's deadline, in milliseconds. */
  readonly remainingMs: number
  /** Maximum time to wait for the reply, in milliseconds. */
  readonly timeoutMs: number
  /** Called once the connection is established, before the first byte is sent. */
  readonly canSend: SendGuard
}

/** Options of opening the stream of a generation. */
export interface GenerationOptions {
  readonly generation: string
  /** Specification with which the target starts the generation if it does not exist; absent to attach only. */
  readonly spec?: GenerationSpec
  /** Offset of the first token to receive. */
  readonly offset: number
  readonly signal: AbortSignal
  /** Called right before the request is sent. */
  readonly canSend?: SendGuard
}

/** Client for the published protocols of targets. */
export interface TargetClient {
  /**
   * Opens the stream of a generation.
   * @param target - The target.
   * @param options - Options of the stream.
   */
  openGeneration(target: Target, options: GenerationOptions): GenerationEvents
  /**
   * Cancels a generation.
   * @param target - The target.
   * @param generation - Id of the generation.
   */
  cancelGeneration(target: Target, generation: string): Promise<Result<null, TargetError>>
  /**
   * Sends a call on a dedicated connection and never retries it.
   * @param target - The target.
   * @param options - Options of the call.
   */
  sendCall(target: Target, options: CallOptions): Promise<Result<CallReply, CallError>>
  /**
   * Fetches the state that a target reports.
   * @param target - The target.
   */
  fetchState(target: Target): Promise<Result<TargetState, TargetError>>
  /**
   * Fetches the cache events of an engine.
   * @param target - The target.
   * @param after - Sequence number of the last event received; only later events are returned.
   */
  fetchCacheEvents(target: Target, after: number): Promise<Result<CacheEvent[], TargetError>>
  /** Closes all connections. */
  close(): Promise<void>
}
