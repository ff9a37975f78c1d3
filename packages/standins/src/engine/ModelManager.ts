import { type ModelReference } from '@fescuespoke/common'
import { type LoadedModel, type Order, type OrderAnswer } from '@fescuespoke/schema'
import { type EngineSettings } from './EngineOptions.js'

/** Options of a model manager. */
export interface ModelManagerOptions {
  readonly settings: EngineSettings
  /** Called when a model has been unloaded. */
  readonly handleUnload: (model: ModelReference) => void
}

type OrderHandler = (order: Order) => void

/** Manages the loaded models of an engine and executes orders. */
export class ModelManager {
  /**
   * Creates a manager with the initial models of the engine.
   * @param options - Options of the manager.
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

  /** Returns the role set by the latest order, or `undefined` if there was none. */
  getRole (): string | undefined {
    return this.role
  }

  /** Returns the highest accepted fencing token, or `undefined` before the first one or if fencing is not enforced. */
  getFencingToken (): number | undefined {
    return this.fencingToken
  }

  /** Returns the models that are loaded or being loaded. */
  listModels (): LoadedModel[] {
    return [...this.models.values()]
  }

  /** Returns the orders executed so far. */
  listOrders (): readonly Order[] {
    return this.orders
  }

  /**
   * Returns whether a model is ready to run generations.
   * @param model - The model.
   */
  isReady (model: ModelReference): boolean {
    return this.options.settings.models === undefined || this.models.get(formatModelKey(model))?.state === 'ready'
  }

  /**
   * Executes an order, or rejects it if its fencing token is outdated.
   * @param order - The order.
   */
  applyOrder (order: Order): OrderAnswer {
    if (this.options.settings.isFencingEnforced) {
      if (order.fence < (this.fencingToken ?? 0)) return { accepted: false, fence: this.fencingToken ?? 0 }
      this.fencingToken = order.fence
    }
    this.orders.push(order)
    this.handlers[order.action](order)
    return { accepted: true, fence: order.fence }
  }

  /** Stops all loads in progress. */
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
 * Formats the name, adapter and version of a model as a unique key.
 * @param model - The model.
 */
export function formatModelKey (model: ModelReference): string {
  return [model.model, model.adapter ?? '', model.version ?? ''].join('|')
}
