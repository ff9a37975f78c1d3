import { formatModel, type ModelReference } from '@fescuespoke/common'
import { type LoadedModel } from '@fescuespoke/schema'

/** An order that would bring a target nearer to its placement. */
export interface PlannedOrder {
  readonly action: 'load' | 'unload'
  readonly model: ModelReference
}

/** What the next order of a target depends on. */
export interface PlanOrderOptions {
  /** Models that the target should hold. */
  readonly desired: readonly ModelReference[]
  /** Models that it holds or loads. */
  readonly actual: readonly LoadedModel[]
  /** Gets for how long a model has been wanted, or not wanted, there. */
  readonly getUnchangedMs: (model: ModelReference) => number
  /** Gets the time since a load of the model was last ordered there; infinite when none was. */
  readonly getLoadOrderAgeMs: (model: ModelReference) => number
  /** Time for which a model has to be wanted before it is loaded. */
  readonly loadDelayMs: number
  /** Time for which a model has to be unwanted before it is unloaded. */
  readonly unloadDelayMs: number
}

/** Time after which an ordered load that has not begun is ordered again, in milliseconds. */
const LOAD_RETRY_MS = 10_000

/**
 * Plans the next order of a target: loads come before unloads, and nothing is unloaded while a wanted model is not ready.
 * @param options - What the order depends on.
 */
export function planOrder (options: PlanOrderOptions): PlannedOrder | undefined {
  const { desired, actual, getUnchangedMs, getLoadOrderAgeMs, loadDelayMs, unloadDelayMs } = options
  const actualKeys = new Set(actual.map(formatModel))
  const missing = desired.filter(model => !actualKeys.has(formatModel(model)))
  const dueLoad = missing.find(model => getUnchangedMs(model) >= loadDelayMs && getLoadOrderAgeMs(model) >= LOAD_RETRY_MS)
  if (dueLoad !== undefined) return { action: 'load', model: dueLoad }
  const desiredKeys = new Set(desired.map(formatModel))
  const isLoading = actual.some(model => model.state === 'loading' && desiredKeys.has(formatModel(model)))
  if (missing.length > 0 || isLoading) return undefined
  const surplus = actual.find(model => !desiredKeys.has(formatModel(model)) && getUnchangedMs(model) >= unloadDelayMs)
  return surplus === undefined ? undefined : { action: 'unload', model: getReference(surplus) }
}

function getReference ({ model, adapter, version }: LoadedModel): ModelReference {
  return { model, ...(adapter === undefined ? {} : { adapter }), ...(version === undefined ? {} : { version }) }
}
