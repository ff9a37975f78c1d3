import { type Clock } from '@fescuespoke/common'
import { type EndEvent, type EngineEvent, type StreamEvent } from '@fescuespoke/schema'
import { type GenerationEvents, type TargetClient, type TargetError } from '../targets/TargetClient.js'
import { type ResumeTokenPayload, type ResumeTokenCodec } from './ResumeTokenCodec.js'
import { MAX_CONSECUTIVE_REOPENS, REOPEN_DELAY_MS } from '../targets/streamRetries.js'

/** Options of a resume service. */
export interface ResumeServiceOptions {
  readonly clock: Clock
  readonly targetClient: TargetClient
  readonly resumeTokenCodec: ResumeTokenCodec
}

/** Options of resuming one generation. */
export interface ResumeOptions {
  readonly tokenPayload: ResumeTokenPayload
  readonly resumeToken: string
  /** Number of tokens that the reader has already received. */
  readonly offset: number
  readonly signal: AbortSignal
}

/** Reads generations of other owners directly from their targets. It never starts a generation. */
export class ResumeService {
  /**
   * Creates a service.
   * @param options - Options of the service.
   */
  static create (options: ResumeServiceOptions): ResumeService {
    return new ResumeService(options)
  }

  /** @internal */
  private constructor (private readonly options: ResumeServiceOptions) {}

  /**
   * Reads a generation from a token offset to its end.
   * @param options - Options of the reader.
   */
  async * resumeGeneration (options: ResumeOptions): AsyncGenerator<StreamEvent, void, undefined> {
    const { tokenPayload: payload, resumeToken } = options
    yield { type: 'accepted', request: payload.request, delivery: payload.delivery }
    yield { type: 'generation', generation: payload.generation, resumeToken }
    const progress: ResumeProgress = { offset: options.offset, bufferedTokens: [] }
    for (let reopenCount = 0; reopenCount <= MAX_CONSECUTIVE_REOPENS; reopenCount++) {
      const previousOffset = progress.offset
      const end = yield * this.readStream(options, progress)
      if (end !== undefined) {
        yield end
        return
      }
      if (progress.offset > previousOffset) reopenCount = 0
      await this.options.clock.sleep(REOPEN_DELAY_MS, options.signal)
    }
    yield { type: 'end', outcome: 'failed', reason: 'targetLost', retryAfterMs: 0 }
  }

  /**
   * Cancels a generation whose owner is lost or that its caller no longer needs.
   * @param resumeToken - Resume token of the generation.
   * @returns Whether the token was issued by this fleet.
   */
  async cancelGeneration (resumeToken: string): Promise<boolean> {
    const payload = this.options.resumeTokenCodec.decodeToken(resumeToken).unwrapOr(undefined)
    if (payload !== undefined) await this.options.targetClient.cancelGeneration(payload.target, payload.generation)
    return payload !== undefined
  }

  /** Forwards one stream. Returns the end event, or `undefined` when the stream was lost and can be reopened. */
  private async * readStream (options: ResumeOptions, progress: ResumeProgress): AsyncGenerator<StreamEvent, EndEvent | undefined, undefined> {
    for await (const event of this.openStream(options, progress.offset)) {
      if (event.isErr) return TARGET_ERROR_ENDS[event.error]
      if (!followsProgress(event.value, progress)) return TARGET_ERROR_ENDS.malformed
      const streamEvent = handleEngineEvent(event.value, options.tokenPayload, progress)
      if (streamEvent?.type === 'end' && streamEvent.outcome === 'complete' && progress.bufferedTokens.length > 0) yield createBufferedTokensEvent(options.tokenPayload, progress)
      if (streamEvent?.type === 'end') return streamEvent
      if (streamEvent !== undefined) yield streamEvent
    }
    return undefined
  }

  private openStream (options: ResumeOptions, offset: number): GenerationEvents {
    const { tokenPayload: payload, signal } = options
    return this.options.targetClient.openGeneration(payload.target, { generation: payload.generation, offset, signal })
  }
}

interface ResumeProgress {
  offset: number
  /** Tokens withheld until the answer is complete, when it is delivered as a whole. */
  bufferedTokens: string[]
}

/** End events of the errors that reopening the stream cannot fix. */
const TARGET_ERROR_ENDS: Partial<Record<TargetError, EndEvent>> = {
  notFound: { type: 'end', outcome: 'failed', reason: 'generationLost', retryAfterMs: 0 },
  unreachable: { type: 'end', outcome: 'failed', reason: 'targetLost', retryAfterMs: 0 },
  refused: { type: 'end', outcome: 'failed', reason: 'rejectedByTarget', retryAfterMs: 0 },
  malformed: { type: 'end', outcome: 'failed', reason: 'targetLost', retryAfterMs: 0 },
  aborted: { type: 'end', outcome: 'cancelled', reason: 'cancelledByCaller' }
}

function handleEngineEvent (event: EngineEvent, payload: ResumeTokenPayload, progress: ResumeProgress): StreamEvent | undefined {
  if (event.type === 'tokens') return addTokens(event.offset, event.tokens, payload, progress)
  if (event.type === 'end') return convertEnd(event)
  return { type: 'heartbeat' }
}

/** Returns whether no token is missing between the progress and an event: tokens begin at it or before, and a complete generation ends at it. */
function followsProgress (event: EngineEvent, { offset }: ResumeProgress): boolean {
  if (event.type === 'tokens') return event.offset <= offset
  const isCompleteEnd = event.type === 'end' && event.reason !== 'cancelled' && event.reason !== 'failed'
  return !isCompleteEnd || event.tokens === offset
}

function addTokens (offset: number, tokens: readonly string[], payload: ResumeTokenPayload, progress: ResumeProgress): StreamEvent {
  const newTokens = tokens.slice(Math.max(0, progress.offset - offset))
  const firstOffset = progress.offset
  progress.offset += newTokens.length
  if (payload.delivery === 'stream') return { type: 'tokens', generation: payload.generation, offset: firstOffset, tokens: newTokens }
  for (const token of newTokens) progress.bufferedTokens.push(token)
  return { type: 'heartbeat' }
}

function createBufferedTokensEvent (payload: ResumeTokenPayload, progress: ResumeProgress): StreamEvent {
  return { type: 'tokens', generation: payload.generation, offset: progress.offset - progress.bufferedTokens.length, tokens: progress.bufferedTokens }
}

function convertEnd (event: Extract<EngineEvent, { type: 'end' }>): EndEvent {
  if (event.reason === 'cancelled') return { type: 'end', outcome: 'cancelled', reason: 'cancelledByCaller' }
  if (event.reason === 'failed') return { type: 'end', outcome: 'failed', reason: 'targetLost', retryAfterMs: 0 }
  return { type: 'end', outcome: 'complete', reason: 'finished', tokens: event.tokens }
}
