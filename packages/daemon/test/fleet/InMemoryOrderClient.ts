import { type Clock, type Target } from '@fescuespoke/common'
import { type OrderClient, type OrderError } from '@fescuespoke/configuration'
import { type Order, type OrderAnswer, type TargetState } from '@fescuespoke/schema'
import { type Deployment } from '@fescuespoke/standins'
import { Result } from 'true-myth'
import { type Links } from './Links.js'

const LATENCY_MS = 1
const TIMEOUT_MS = 1000

export interface InMemoryOrderClientOptions {
  readonly instance: string
  /** Clock of the instance's process. */
  readonly clock: Clock
  readonly links: Links
  readonly deployment: Deployment
  readonly deadTargets: ReadonlySet<string>
}

/** Sends orders to the target stand-ins in memory, over simulated links that can be cut. */
export class InMemoryOrderClient implements OrderClient {
  constructor (private readonly options: InMemoryOrderClientOptions) {}

  async sendOrder (target: Target, order: Order): Promise<Result<OrderAnswer, OrderError>> {
    return await this.exchange(target, name => this.options.deployment.engines.get(name)?.applyOrder(order))
  }

  async fetchState (target: Target): Promise<Result<TargetState, OrderError>> {
    return await this.exchange(target, name => this.options.deployment.engines.get(name)?.getState())
  }

  private async exchange<T> ({ name }: Target, run: (target: string) => T | undefined): Promise<Result<T, OrderError>> {
    const { links, instance, clock, deadTargets } = this.options
    const connection = links.connect(instance, name)
    await clock.sleep(LATENCY_MS)
    const answer = connection.canDeliver() && !deadTargets.has(name) ? run(name) : undefined
    await clock.sleep(answer === undefined ? TIMEOUT_MS : LATENCY_MS)
    return answer === undefined || !connection.canDeliver() ? Result.err('unreachable') : Result.ok(answer)
  }
}
