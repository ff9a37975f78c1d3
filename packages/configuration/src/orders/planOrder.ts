import { formatModelKey, type ModelReference } from '@fescuespoke/common'
import { type LoadedModel } from '@fescuespoke/schema'

/** An order that brings a target closer to its placement. */
export interface PlannedOrder {
  readonly action: 'load' | 'unload'
  readonly model: ModelReference
}

/** Options of the planning of an order. */
export interface PlanOrderOptions {
  /** Models that the target should have. */
  readonly desired: readonly ModelReference[]
  /** Models that the target has loaded or is loading. */
  readonly actual: readonly LoadedModel[]
  /** Returns for how long a model has been desired or undesired at the target, in milliseconds. */
  readonly getUnchangedMs: (model: ModelReference) => number
  /** Returns the time since a load of the model was last ordered at the target, in milliseconds; infinite when none was. */
  readonly getLoadOrderAgeMs: (model: ModelReference) => number
  /** Time for which a model has to be desired before it is loaded. */
  readonly loadDelayMs: number
  /** Time for which a model has to be undesired before it is unloaded. */
  readonly unloadDelayMs: number
}

/** Time after which a load that the target has not begun is ordered again, in milliseconds. */
const LOAD_RETRY_MS = 10_000

/**
 * Plans the next order of a target. Loads come before unloads, and no model is unloaded while a desired model is missing
 * or loading.
 * @param options - Options of the planning.
 * @returns The order; undefined when none is due.
 */
export function planOrder (options: PlanOrderOptions): PlannedOrder | undefined {
  const { desired, actual, getUnchangedMs, getLoadOrderAgeMs, loadDelayMs, unloadDelayMs } = options
  const actualKeys = new Set(actual.map(formatModelKey))
  const missing = desired.filter(model => !actualKeys.has(formatModelKey(model)))
  const dueLoad = missing.find(model => getUnchangedMs(model) >= loadDelayMs && getLoadOrderAgeMs(model) >= LOAD_RETRY_MS)
  if (dueLoad !== undefined) return { action: 'load', model: dueLoad }
  const desiredKeys = new Set(desired.map(formatModelKey))
  const isLoading = actual.some(model => model.state === 'loading' && desiredKeys.has(formatModelKey(model)))
  if (missing.length > 0 || isLoading) return undefined
  const surplus = actual.find(model => !desiredKeys.has(formatModelKey(model)) && getUnchangedMs(model) >= unloadDelayMs)
  return surplus === undefined ? undefined : { action: 'unload', model: getReference(surplus) }
}

function getReference ({ model, adapter, version }: LoadedModel): ModelReference {
  return { model, ...(adapter === undefined ? {} : { adapter }), ...(version === undefined ? {} : { version }) }
}
