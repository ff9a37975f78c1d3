import { type Clock } from '@fescuespoke/common'
import { type EndEvent, type EngineEvent, type StreamEvent } from '@fescuespoke/schema'
import { type GenerationEvents, type TargetClient, type TargetError } from '../targets/TargetClient.js'
import { type ResumeName, type ResumeTokens } from './ResumeTokens.js'
import { MAX_REOPENS, REOPEN_PAUSE_MS } from '../targets/streamRetries.js'

/** Options of a resume service. */
export interface ResumeServiceOptions {
  readonly clock: Clock
  readonly targetClient: TargetClient
  readonly resumeTokens: ResumeTokens
}

/** Options of reading one resumed generation. */
export interface ResumeOptions {
  readonly name: ResumeName
  readonly resumeToken: string
  /** Number of tokens that the reader has already. */
  readonly offset: number
  readonly signal: AbortSignal
}

/** Reads generations of other owners straight from their targets. It never starts one. */
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
  async * readResumed (options: ResumeOptions): AsyncGenerator<StreamEvent, void, undefined> {
    const { name, resumeToken } = options
    yield { type: 'accepted', request: name.request, delivery: name.delivery }
    yield { type: 'generation', generation: name.generation, resumeToken }
    const progress: Progress = { offset: options.offset, held: [] }
    for (let reopened = 0; reopened <= MAX_REOPENS; reopened++) {
      const before = progress.offset
      const end = yield * this.readStream(options, progress)
      if (end !== undefined) {
        yield end
        return
      }
      if (progress.offset > before) reopened = 0
      await this.options.clock.sleep(REOPEN_PAUSE_MS, options.signal)
    }
    yield { type: 'end', outcome: 'failed', reason: 'targetLost', retryAfterMs: 0 }
  }

  /**
   * Cancels a generation whose owner is gone or whose caller has given it up.
   * @param resumeToken - Token of the generation.
   * @returns Whether the token is one of this fleet.
   */
  async cancelGeneration (resumeToken: string): Promise<boolean> {
    const name = this.options.resumeTokens.decodeToken(resumeToken).unwrapOr(undefined)
    if (name !== undefined) await this.options.targetClient.cancelGeneration(name.target, name.generation)
    return name !== undefined
  }

  /** Passes one stream on; returns the end, or nothing when the stream was lost and may be opened again. */
  private async * readStream (options: ResumeOptions, progress: Progress): AsyncGenerator<StreamEvent, EndEvent | undefined, undefined> {
    for await (const event of this.openStream(options, progress.offset)) {
      if (event.isErr) return TARGET_ERROR_ENDS[event.error]
      const answer = handleEngineEvent(event.value, options.name, progress)
      if (answer?.type === 'end' && answer.outcome === 'complete' && progress.held.length > 0) yield takeHeld(options.name, progress)
      if (answer?.type === 'end') return answer
      if (answer !== undefined) yield answer
    }
    return undefined
  }

  private openStream (options: ResumeOptions, offset: number): GenerationEvents {
    const { name, signal } = options
    return this.options.targetClient.openGeneration(name.target, { generation: name.generation, offset, signal })
  }
}

interface Progress {
  offset: number
  /** Tokens that are held back until the answer is complete. */
  held: string[]
}

/** Ends for errors that cannot be mended by opening the stream again. */
const TARGET_ERROR_ENDS: Partial<Record<TargetError, EndEvent>> = {
  notFound: { type: 'end', outcome: 'failed', reason: 'generationLost', retryAfterMs: 0 },
  unreachable: { type: 'end', outcome: 'failed', reason: 'targetLost', retryAfterMs: 0 },
  refused: { type: 'end', outcome: 'failed', reason: 'rejectedByTarget', retryAfterMs: 0 },
  malformed: { type: 'end', outcome: 'failed', reason: 'targetLost', retryAfterMs: 0 },
  aborted: { type: 'end', outcome: 'cancelled', reason: 'cancelledByCaller' }
}

function handleEngineEvent (event: EngineEvent, name: ResumeName, progress: Progress): StreamEvent | undefined {
  if (event.type === 'tokens') return addTokens(event.offset, event.tokens, name, progress)
  if (event.type === 'end') return convertEnd(event)
  return { type: 'heartbeat' }
}

function addTokens (offset: number, tokens: readonly string[], name: ResumeName, progress: Progress): StreamEvent {
  const fresh = tokens.slice(Math.max(0, progress.offset - offset))
  const start = progress.offset
  progress.offset += fresh.length
  if (name.delivery === 'stream') return { type: 'tokens', generation: name.generation, offset: start, tokens: fresh }
  for (const token of fresh) progress.held.push(token)
  return { type: 'heartbeat' }
}

function takeHeld (name: ResumeName, progress: Progress): StreamEvent {
  return { type: 'tokens', generation: name.generation, offset: progress.offset - progress.held.length, tokens: progress.held }
}

function convertEnd (event: Extract<EngineEvent, { type: 'end' }>): EndEvent {
  if (event.reason === 'cancelled') return { type: 'end', outcome: 'cancelled', reason: 'cancelledByCaller' }
  if (event.reason === 'failed') return { type: 'end', outcome: 'failed', reason: 'targetLost', retryAfterMs: 0 }
  return { type: 'end', outcome: 'complete', reason: 'finished', tokens: event.tokens }
}
