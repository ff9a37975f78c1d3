import { formatModel, type ModelReference } from '@fescuespoke/common'
import { type LoadedModel } from '@fescuespoke/schema'

/** An order that would bring a target nearer to its placement. */
export interface PlannedOrder {
  readonly action: 'load' | 'unload'
  readonly model: ModelReference
}

/** What the next order of a target depends on. */
export interface PlanOptions {
  /** Models that the target should hold. */
  readonly wanted: readonly ModelReference[]
  /** Models that it holds or loads. */
  readonly held: readonly LoadedModel[]
  /** Gets for how long a model has been wanted, or not wanted, there. */
  readonly getUnchangedMs: (model: ModelReference) => number
  /** Gets the time since a load of the model was last ordered there; infinite when none was. */
  readonly getOrderedMs: (model: ModelReference) => number
  /** Time for which a model has to be wanted before it is loaded. */
  readonly loadSettleMs: number
  /** Time for which a model has to be unwanted before it is unloaded. */
  readonly unloadHoldMs: number
}

/** Time after which an ordered load that has not begun is ordered again, in milliseconds. */
const LOAD_RETRY_MS = 10_000

/**
 * Plans the next order of a target: loads come before unloads, and nothing is unloaded while a wanted model is not ready.
 * @param options - What the order depends on.
 */
export function planOrder (options: PlanOptions): PlannedOrder | undefined {
  const { wanted, held, getUnchangedMs, getOrderedMs, loadSettleMs, unloadHoldMs } = options
  const heldKeys = new Set(held.map(formatModel))
  const missing = wanted.filter(model => !heldKeys.has(formatModel(model)))
  const due = missing.find(model => getUnchangedMs(model) >= loadSettleMs && getOrderedMs(model) >= LOAD_RETRY_MS)
  if (due !== undefined) return { action: 'load', model: due }
  const wantedKeys = new Set(wanted.map(formatModel))
  const isLoading = held.some(model => model.state === 'loading' && wantedKeys.has(formatModel(model)))
  if (missing.length > 0 || isLoading) return undefined
  const surplus = held.find(model => !wantedKeys.has(formatModel(model)) && getUnchangedMs(model) >= unloadHoldMs)
  return surplus === undefined ? undefined : { action: 'unload', model: getReference(surplus) }
}

function getReference ({ model, adapter, version }: LoadedModel): ModelReference {
  return { model, ...(adapter === undefined ? {} : { adapter }), ...(version === undefined ? {} : { version }) }
}
