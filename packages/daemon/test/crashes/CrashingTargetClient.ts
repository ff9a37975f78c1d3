import { type Clock, type Target } from '@fescuespoke/common'
import { type CacheEvent, type TargetState } from '@fescuespoke/schema'
import { type Deployment } from '@fescuespoke/standins'
import { Result } from 'true-myth'
import { type CallError, type CallOptions, type CallReply, type GenerationEvents, type GenerationOptions, type TargetClient, type TargetError } from '../../src/index.js'
import { type CrashingTargets } from './CrashingTargets.js'

const LATENCY_MS = 1
const TOKEN_INTERVAL_MS = 40
const CALL_MS = 60

/** Number of tokens of each answer. */
const ANSWER_TOKENS = 10

export interface CrashingTargetClientOptions {
  readonly clock: Clock
  readonly deployment: Deployment
  readonly targets: CrashingTargets
}

/** Sends generations and calls to targets that may crash; a crash closes all their connections, and they refuse new ones until they are back. */
export class CrashingTargetClient implements TargetClient {
  constructor (private readonly options: CrashingTargetClientOptions) {}

  async * openGeneration (target: Target, { generation, spec, signal, canSend }: GenerationOptions): GenerationEvents {
    const { clock, targets } = this.options
    await clock.sleep(LATENCY_MS)
    if (canSend?.() === false) yield Result.err('withheld')
    else if (targets.findIncarnation(target.name) === undefined) yield Result.err('unreachable')
    else if (spec === undefined) yield Result.err('notFound')
    else yield * this.readTokens(target, spec.prompt, generation, signal)
  }

  async cancelGeneration (): Promise<Result<null, TargetError>> {
    return Result.ok(null)
  }

  async sendCall (target: Target, { canSend, body }: CallOptions): Promise<Result<CallReply, CallError>> {
    const { clock, targets } = this.options
    await clock.sleep(LATENCY_MS)
    if (targets.findIncarnation(target.name) === undefined) return Result.err('notSent')
    if (!canSend()) return Result.err('withheld')
    const run = targets.startRun(target.name, String(body ?? ''))
    const end = await Promise.race([run?.crashed ?? 'crashed', clock.sleep(CALL_MS)])
    run?.finish()
    return end === 'crashed' ? Result.err('replyLost') : Result.ok({ status: 200, body: 'done' })
  }

  async fetchState (target: Target): Promise<Result<TargetState, TargetError>> {
    const { clock, deployment: { engines, plainServices }, targets } = this.options
    await clock.sleep(LATENCY_MS)
    const state = engines.get(target.name)?.getState() ?? plainServices.get(target.name)?.getState()
    const incarnation = targets.findIncarnation(target.name)
    return incarnation === undefined || state === undefined ? Result.err('unreachable') : Result.ok({ ...state, incarnation })
  }

  async fetchCacheEvents (): Promise<Result<CacheEvent[], TargetError>> {
    return Result.ok([])
  }

  async close (): Promise<void> {}

  private async * readTokens (target: Target, prompt: string, generation: string, signal: AbortSignal): GenerationEvents {
    const run = this.options.targets.startRun(target.name, prompt)
    try {
      for (let offset = 0; offset < ANSWER_TOKENS; offset++) {
        const end = await Promise.race([run?.crashed ?? 'crashed', this.options.clock.sleep(TOKEN_INTERVAL_MS, signal)])
        if (end === 'crashed' || signal.aborted) {
          yield Result.err(signal.aborted ? 'aborted' : 'cut')
          return
        }
        yield Result.ok({ type: 'tokens', offset, tokens: [`${generation}:${offset}`] })
      }
      yield Result.ok({ type: 'end', reason: 'stop', tokens: ANSWER_TOKENS })
    } finally {
      run?.finish()
    }
  }
}
