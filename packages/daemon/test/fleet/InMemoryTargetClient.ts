import { type Clock, type Target } from '@fescuespoke/common'
import { type CacheEvent, type EngineEvent, type TargetState } from '@fescuespoke/schema'
import { type Deployment } from '@fescuespoke/standins'
import { Result } from 'true-myth'
import {
  type CallError, type CallOptions, type CallReply, type GenerationEvents, type GenerationOptions, type TargetClient, type TargetError
} from '../../src/index.js'
import { type Connection, type Links } from './Links.js'

const LATENCY_MS = 1
const CONNECT_TIMEOUT_MS = 500
const SILENCE_TIMEOUT_MS = 1500

export interface InMemoryTargetClientOptions {
  readonly instance: string
  /** Clock of the instance's process. */
  readonly clock: Clock
  /** Clock that is not affected by pauses of the instance's process. */
  readonly globalClock: Clock
  readonly links: Links
  readonly deployment: Deployment
  /** Targets whose processes have ended. */
  readonly deadTargets: ReadonlySet<string>
  /** Targets that run calls without ever replying. */
  readonly replyLosingTargets: ReadonlySet<string>
  /** Targets that run calls and reset the connection instead of replying. */
  readonly resettingTargets: ReadonlySet<string>
}

/** Connects to the target stand-ins in memory, over simulated links that can be cut. */
export class InMemoryTargetClient implements TargetClient {
  constructor (private readonly options: InMemoryTargetClientOptions) {}

  async * openGeneration (target: Target, options: GenerationOptions): GenerationEvents {
    const connection = await this.connect(target)
    const refusal = connection === undefined ? 'unreachable' : this.startGeneration(target, options)
    if (connection === undefined || refusal !== undefined) yield Result.err(refusal ?? 'unreachable')
    else yield * this.readGeneration(target, options, connection)
  }

  async cancelGeneration (target: Target, generation: string): Promise<Result<null, TargetError>> {
    if (await this.connect(target) === undefined) return Result.err('unreachable')
    this.options.deployment.engines.get(target.name)?.cancel(generation)
    return Result.ok(null)
  }

  async sendCall (target: Target, options: CallOptions): Promise<Result<CallReply, CallError>> {
    const connection = await this.connect(target)
    if (connection === undefined) return Result.err('notSent')
    if (!options.canSend()) return Result.err('withheld')
    const plainService = this.options.deployment.plainServices.get(target.name)
    const reply = new Promise<Result<CallReply, CallError>>(resolve => {
      this.options.globalClock.startTimer(LATENCY_MS, async () => {
        if (plainService === undefined || !connection.canDeliver() || this.options.deadTargets.has(target.name)) return
        const result = await plainService.runCall(options.request, options.body)
        const { replyLosingTargets, resettingTargets } = this.options
        const answer = resettingTargets.has(target.name) ? Result.err<CallReply, CallError>('replyLost') : Result.ok<CallReply, CallError>(result)
        if (!replyLosingTargets.has(target.name)) this.deliverAfterLatency(connection, () => resolve(answer))
      })
    })
    const timeout = this.options.clock.sleep(options.timeoutMs).then(() => Result.err<CallReply, CallError>('replyLost'))
    return await Promise.race([reply, timeout])
  }

  async fetchState (target: Target): Promise<Result<TargetState, TargetError>> {
    const connection = await this.connect(target)
    const { engines, plainServices } = this.options.deployment
    const state = engines.get(target.name)?.getState() ?? plainServices.get(target.name)?.getState()
    await this.options.clock.sleep(LATENCY_MS)
    return connection?.canDeliver() !== true || state === undefined ? Result.err('unreachable') : Result.ok(state)
  }

  async fetchCacheEvents (): Promise<Result<CacheEvent[], TargetError>> {
    return Result.ok([])
  }

  async close (): Promise<void> {}

  private startGeneration (target: Target, options: GenerationOptions): TargetError | undefined {
    if (options.canSend?.() === false) return 'withheld'
    const engine = this.options.deployment.engines.get(target.name)
    if (options.spec !== undefined && engine?.startGeneration(options.generation, options.spec).isErr === true) return 'refused'
    return engine?.hasGeneration(options.generation) === true ? undefined : 'notFound'
  }

  private async * readGeneration (target: Target, options: GenerationOptions, connection: Connection): GenerationEvents {
    const engine = this.options.deployment.engines.get(target.name)
    const queue: EngineEvent[] = []
    let wake = (): void => undefined
    const unsubscribe = engine?.subscribe(options.generation, options.offset, event => this.deliverAfterLatency(connection, () => {
      queue.push(event)
      wake()
    })).unwrapOr(undefined)
    try {
      while (!options.signal.aborted) {
        const event = queue.shift()
        if (event !== undefined) yield Result.ok(event)
        if (event?.type === 'end') return
        if (queue.length === 0 && !await this.waitForEvent(options.signal, run => { wake = run })) {
          yield Result.err('silent')
          return
        }
      }
      yield Result.err('aborted')
    } finally {
      unsubscribe?.()
    }
  }

  private async connect (target: Target): Promise<Connection | undefined> {
    const { links, instance, clock, deadTargets } = this.options
    await clock.sleep(LATENCY_MS)
    if (deadTargets.has(target.name)) return undefined
    if (links.isOpen(instance, target.name)) {
      const connection = links.connect(instance, target.name)
      await clock.sleep(LATENCY_MS)
      return connection
    }
    await clock.sleep(CONNECT_TIMEOUT_MS)
    return undefined
  }

  private deliverAfterLatency (connection: Connection, deliver: () => void): void {
    this.options.clock.startTimer(LATENCY_MS, () => {
      if (connection.canDeliver()) deliver()
    })
  }

  /** Waits for an event or an abort. Returns whether one occurred before the silence timeout. */
  private async waitForEvent (signal: AbortSignal, setWake: (wake: () => void) => void): Promise<boolean> {
    return await new Promise(resolve => {
      const finish = (hasEvent: boolean): void => {
        cancel()
        signal.removeEventListener('abort', onWake)
        resolve(hasEvent)
      }
      const onWake = (): void => finish(true)
      const cancel = this.options.clock.startTimer(SILENCE_TIMEOUT_MS, () => finish(false))
      signal.addEventListener('abort', onWake)
      setWake(onWake)
    })
  }
}
