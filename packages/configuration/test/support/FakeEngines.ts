import { type Clock, type Target } from '@fescuespoke/common'
import { type LoadedModel, type Order, type OrderAnswer, type TargetState } from '@fescuespoke/schema'
import { Result } from 'true-myth'
import { type OrderClient, type OrderError } from '../../src/index.js'

const LOAD_MS = 5000
const LATENCY_MS = 2

/** An order that an engine has executed. */
export interface ExecutedOrder extends Order {
  readonly target: string
  readonly atMs: number
}

/** Simulated engines that execute orders and enforce or ignore fencing tokens. */
export class FakeEngines {
  static create (clock: Clock): FakeEngines {
    return new FakeEngines(clock)
  }

  readonly orders: ExecutedOrder[] = []
  readonly fencingTokens = new Map<string, number>()
  readonly models = new Map<string, Map<string, LoadedModel>>()

  private constructor (private readonly clock: Clock) {}

  /** Creates a client. It calls `beforeAnswer` before it returns a state; the target is unreachable when the result is false. */
  createClient (beforeAnswer: (target: Target) => Promise<boolean> = async () => true): OrderClient {
    return {
      fetchState: async target => {
        await this.clock.sleep(LATENCY_MS)
        return await beforeAnswer(target) ? Result.ok(this.getState(target)) : Result.err('unreachable')
      },
      sendOrder: async (target, order): Promise<Result<OrderAnswer, OrderError>> => {
        await this.clock.sleep(LATENCY_MS)
        return Result.ok(this.executeOrder(target, order))
      }
    }
  }

  executeOrder (target: Target, order: Order): OrderAnswer {
    const fence = this.fencingTokens.get(target.name) ?? 0
    if (target.fencing === 'enforced') {
      if (order.fence < fence) return { accepted: false, fence }
      this.fencingTokens.set(target.name, order.fence)
    }
    this.orders.push({ ...order, target: target.name, atMs: this.clock.nowMs() })
    const engineModels = this.getModels(target.name)
    const { model = '', adapter, version } = order
    const key = `${model}|${adapter ?? ''}|${version ?? ''}`
    if (order.action === 'unload') engineModels.delete(key)
    else if (!engineModels.has(key)) this.startLoad(engineModels, key, { model, adapter, version, state: 'loading' })
    return { accepted: true, fence: order.fence }
  }

  /** Describes the models of each engine, with loading models in parentheses. */
  describeModels (): Record<string, string> {
    return Object.fromEntries([...this.models].sort(([a], [b]) => a < b ? -1 : 1).map(([name, engineModels]) =>
      [name, [...engineModels].map(([key, { state }]) => state === 'ready' ? key : `(${key})`).sort().join(' ')]))
  }

  listReady (key: string): string[] {
    return [...this.models].filter(([, engineModels]) => engineModels.get(key)?.state === 'ready').map(([name]) => name)
  }

  private getModels (name: string): Map<string, LoadedModel> {
    const engineModels = this.models.get(name) ?? new Map<string, LoadedModel>()
    this.models.set(name, engineModels)
    return engineModels
  }

  private startLoad (engineModels: Map<string, LoadedModel>, key: string, entry: LoadedModel): void {
    engineModels.set(key, entry)
    this.clock.startTimer(LOAD_MS, () => {
      if (engineModels.get(key) === entry) entry.state = 'ready'
    })
  }

  private getState (target: Target): TargetState {
    const fence = this.fencingTokens.get(target.name)
    const models = [...this.getModels(target.name).values()].map(model => ({ ...model }))
    return { target: target.name, incarnation: '1', state: 'active', models, ...(fence === undefined ? {} : { fence }) }
  }
}
