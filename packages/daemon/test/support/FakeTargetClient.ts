import { type Clock, type Target } from '@fescuespoke/common'
import { type CacheEvent, type EngineEvent, type TargetState } from '@fescuespoke/schema'
import { Result } from 'true-myth'
import {
  type CallError, type CallOptions, type CallReply, type GenerationEvents, type GenerationOptions, type TargetClient,
  type TargetError
} from '../../src/index.js'

/** One step of a scripted stream: an event, an error, a delay in milliseconds, or `hang`, which waits for the abort. */
export type ScriptStep = EngineEvent | TargetError | number | 'hang'

/** Target client that follows scripts and logs the requests that reach a target. */
export class FakeTargetClient implements TargetClient {
  readonly log: string[] = []
  /** Scripts of streams by target, one per opened stream. */
  readonly streams = new Map<string, ScriptStep[][]>()
  /** Results of calls by target, one per call. A function runs after connecting and before sending. */
  readonly calls = new Map<string, Array<Result<CallReply, CallError> | 'hang' | (() => void)>>()

  constructor (private readonly clock: Clock) {}

  async * openGeneration (target: Target, options: GenerationOptions): GenerationEvents {
    this.log.push(`${options.spec === undefined ? 'attach' : 'start'} ${options.generation} at ${target.name} from ${options.offset}`)
    for (const step of this.streams.get(target.name)?.shift() ?? ['unreachable']) {
      if (options.signal.aborted) {
        yield Result.err('aborted')
        return
      }
      if (step === 'hang') await new Promise<void>(resolve => options.signal.addEventListener('abort', () => resolve()))
      else if (typeof step === 'number') await this.clock.sleep(step, options.signal)
      else yield typeof step === 'string' ? Result.err(step) : Result.ok(step)
    }
    if (options.signal.aborted) yield Result.err('aborted')
  }

  async cancelGeneration (target: Target, generation: string): Promise<Result<null, TargetError>> {
    this.log.push(`cancel ${generation} at ${target.name}`)
    return Result.ok(null)
  }

  async sendCall (target: Target, options: CallOptions): Promise<Result<CallReply, CallError>> {
    const step = this.calls.get(target.name)?.shift() ?? Result.err<CallReply, CallError>('notSent')
    if (step !== 'hang' && typeof step !== 'function' && step.isErr && step.error === 'notSent') return step
    if (typeof step === 'function') step()
    if (!options.canSend()) return Result.err('withheld')
    this.log.push(`call ${options.request} at ${target.name}`)
    if (step !== 'hang') return typeof step === 'function' ? Result.ok({ status: 200, body: 'done' }) : step
    await this.clock.sleep(options.timeoutMs)
    return Result.err('replyLost')
  }

  async fetchState (target: Target): Promise<Result<TargetState, TargetError>> {
    return Result.ok({ target: target.name, incarnation: '1', state: 'active' })
  }

  async fetchCacheEvents (): Promise<Result<CacheEvent[], TargetError>> {
    return Result.ok([])
  }

  async close (): Promise<void> {}
}

/** Creates a tokens event whose tokens contain their offsets. */
export function createTokens (offset: number, count: number): EngineEvent {
  return { type: 'tokens', offset, tokens: Array.from({ length: count }, (_, index) => `t${offset + index}`) }
}

/** Creates the end event of a generation. */
export function createEnd (tokens: number, reason: 'stop' | 'failed' = 'stop'): EngineEvent {
  return { type: 'end', reason, tokens }
}
