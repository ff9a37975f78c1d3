import { type LoadedModel } from '@fescuespoke/schema'
import { type ModelReference } from './Snapshot.js'

/** Loaded and loading models by target name; undefined for a target that does not list its models and serves all of them. */
export type ModelsByTarget = ReadonlyMap<string, readonly LoadedModel[] | undefined>

/**
 * Computes which targets can serve a model now, and with which version. While less than half of the copies have the
 * desired version ready, targets with another ready version of the same model and adapter serve as well. Otherwise a
 * service whose version was changed would have no copies until the weights are loaded.
 * @param desired - Model, adapter and version according to the record in force.
 * @param copies - Number of targets that should load the model.
 * @param modelsByTarget - Models of each target.
 * @returns The model to serve by target name; targets that cannot serve are absent.
 */
export function computeServingModels (desired: ModelReference, copies: number, modelsByTarget: ModelsByTarget): ReadonlyMap<string, ModelReference> {
  const exactMatches = new Map<string, ModelReference>()
  const fallbacks = new Map<string, ModelReference>()
  for (const [target, models] of modelsByTarget) {
    if (models === undefined || models.some(model => isReadyMatch(model, desired) && model.version === desired.version)) {
      exactMatches.set(target, desired)
      continue
    }
    const fallback = models.find(model => isReadyMatch(model, desired))
    if (fallback !== undefined) fallbacks.set(target, { ...desired, version: fallback.version })
  }
  return exactMatches.size >= Math.ceil(copies / 2) ? exactMatches : new Map([...exactMatches, ...fallbacks])
}

function isReadyMatch (loadedModel: LoadedModel, desired: ModelReference): boolean {
  return loadedModel.state === 'ready' && loadedModel.model === desired.model && loadedModel.adapter === desired.adapter
}
