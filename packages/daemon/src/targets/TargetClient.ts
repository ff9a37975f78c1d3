import { type Target } from '@fescuespoke/common'
import { type CacheEvent, type EngineEvent, type GenerationSpec, type TargetState } from '@fescuespoke/schema'
import { type Result } from 'true-myth'

/** Why a target gave no answer, or no more of it. */
export type TargetError = 'unreachable' | 'notFound' | 'refused' | 'silent' | 'cut' | 'malformed' | 'aborted' | 'withheld'

/** Events of one generation; the last one is an error unless the generation ended. */
export type GenerationEvents = AsyncGenerator<Result<EngineEvent, TargetError>, void, undefined>

/** Reply of a plain service. */
export interface CallReply {
  readonly status: number
  readonly body: unknown
}

/** Why a call has no reply: only `notSent` says that no byte of it has left. */
export type CallError = 'notSent' | 'withheld' | 'replyLost'

/** Decides at the last moment whether a request may leave. */
export type SendGuard = () => boolean

/** Options of one call. */
export interface CallOptions {
  readonly request: string
  readonly body: unknown
  /** Time in milliseconds until the reply is of no more use to the caller. */
  readonly remainingMs: number
  /** Longest wait for the reply in milliseconds. */
  readonly timeoutMs: number
  /** Asked when the connection stands, before the first byte is sent. */
  readonly canSend: SendGuard
}

/** Options of opening a generation's stream. */
export interface GenerationOptions {
  readonly generation: string
  /** Starts the generation when the target does not know it; absent to attach only. */
  readonly spec?: GenerationSpec
  /** Offset of the first token wanted. */
  readonly offset: number
  readonly signal: AbortSignal
  /** Asked right before the request is sent. */
  readonly canSend?: SendGuard
}

/** Speaks the published protocols of targets. */
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
   * Sends a call on a connection of its own; never repeats it.
   * @param target - The target.
   * @param options - Options of the call.
   */
  sendCall(target: Target, options: CallOptions): Promise<Result<CallReply, CallError>>
  /**
   * Fetches what a target reports of itself.
   * @param target - The target.
   */
  fetchState(target: Target): Promise<Result<TargetState, TargetError>>
  /**
   * Fetches cache events of an engine.
   * @param target - The target.
   * @param after - Sequence number of the last event that is known.
   */
  fetchCacheEvents(target: Target, after: number): Promise<Result<CacheEvent[], TargetError>>
  /** Closes all connections. */
  close(): Promise<void>
}
