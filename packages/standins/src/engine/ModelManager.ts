import { type ModelReference } from '@fescuespoke/common'
import { type LoadedModel, type Order, type OrderAnswer } from '@fescuespoke/schema'
import { type EngineSettings } from './EngineOptions.js'

/** What a shelf works with. */
export interface ModelManagerOptions {
  readonly settings: EngineSettings
  /** Is told of a model that is no longer loaded. */
  readonly handleUnload: (model: ModelReference) => void
}

type OrderHandler = (order: Order) => void

/** Holds the models of an engine and carries out orders. */
export class ModelManager {
  /**
   * Creates a shelf with the engine's first models.
   * @param options - What it works with.
   */
  static create (options: ModelManagerOptions): ModelManager {
    return new ModelManager(options)
  }

  private readonly models = new Map<string, LoadedModel>()
  private readonly orders: Order[] = []
  private role: string | undefined
  private fencingToken: number | undefined
  private isStopped = false

  private readonly handlers: Record<Order['action'], OrderHandler> = {
    load: order => this.startLoad(order),
    unload: order => this.unload(order),
    role: order => { this.role = order.role }
  }

  /** @internal */
  private constructor (private readonly options: ModelManagerOptions) {
    for (const model of options.settings.models ?? []) this.models.set(formatModelKey(model), { ...model, state: 'ready' })
  }

  /** Gets the role last ordered. */
  getRole (): string | undefined {
    return this.role
  }

  /** Gets the highest fencing number accepted; none when fences are ignored. */
  getFencingToken (): number | undefined {
    return this.fencingToken
  }

  /** Lists the loaded models and those being loaded. */
  listModels (): LoadedModel[] {
    return [...this.models.values()]
  }

  /** Lists the orders carried out so far. */
  listOrders (): readonly Order[] {
    return this.orders
  }

  /**
   * Tells whether a model can generate.
   * @param model - The model.
   */
  isReady (model: ModelReference): boolean {
    return this.options.settings.models === undefined || this.models.get(formatModelKey(model))?.state === 'ready'
  }

  /**
   * Carries out an order, or refuses it because of its fencing number.
   * @param order - The order.
   */
  applyOrder (order: Order): OrderAnswer {
    if (this.options.settings.enforcesFences) {
      if (order.fence < (this.fencingToken ?? 0)) return { accepted: false, fence: this.fencingToken ?? 0 }
      this.fencingToken = order.fence
    }
    this.orders.push(order)
    this.handlers[order.action](order)
    return { accepted: true, fence: order.fence }
  }

  /** Stops all loads. */
  stop (): void {
    this.isStopped = true
  }

  private startLoad (order: Order): void {
    if (order.model === undefined) return
    const model: ModelReference = { model: order.model, adapter: order.adapter, version: order.version }
    const key = formatModelKey(model)
    if (this.models.has(key)) return
    const entry: LoadedModel = { ...model, state: 'loading' }
    this.models.set(key, entry)
    this.load(key, entry)
  }

  private async load (key: string, entry: LoadedModel): Promise<void> {
    const { clock, weightSource, loadMs, loadRetryMs } = this.options.settings
    while (this.isLoading(key, entry)) {
      const fetchResult = await weightSource?.fetchWeights(entry.model)
      if (fetchResult === undefined || fetchResult.isOk) break
      await clock.sleep(loadRetryMs)
    }
    await clock.sleep(loadMs)
    if (this.isLoading(key, entry)) entry.state = 'ready'
  }

  private isLoading (key: string, entry: LoadedModel): boolean {
    return !this.isStopped && this.models.get(key) === entry
  }

  private unload (order: Order): void {
    if (order.model === undefined) return
    const model: ModelReference = { model: order.model, adapter: order.adapter, version: order.version }
    if (this.models.delete(formatModelKey(model))) this.options.handleUnload(model)
  }
}

/**
 * Formats a model with its adapter and version as one text.
 * @param model - The model.
 */
export function formatModelKey (model: ModelReference): string {
  return [model.model, model.adapter ?? '', model.version ?? ''].join('|')
}
