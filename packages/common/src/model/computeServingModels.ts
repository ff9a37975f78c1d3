import { type LoadedModel } from '@fescuespoke/schema'
import { type ModelReference } from './Snapshot.js'

/** Models that targets hold, by the target's name; undefined for a target that does not list them and has all. */
export type HeldModels = ReadonlyMap<string, readonly LoadedModel[] | undefined>

/**
 * Computes which targets can serve a model now, and with which version. While less than half of the copies have the
 * wanted version ready, targets that have another version of the same model and adapter ready serve as well, so that
 * an amended version does not leave its service without copies until the weights are loaded.
 * @param wanted - Model, adapter and version of the record in force.
 * @param copies - Number of targets that should hold it.
 * @param held - Models that the targets hold.
 * @returns The model to run by the target's name; targets that cannot serve are absent.
 */
export function computeServingModels (wanted: ModelReference, copies: number, held: HeldModels): ReadonlyMap<string, ModelReference> {
  const exact = new Map<string, ModelReference>()
  const others = new Map<string, ModelReference>()
  for (const [target, models] of held) {
    if (models === undefined || models.some(model => isReady(model, wanted) && model.version === wanted.version)) {
      exact.set(target, wanted)
      continue
    }
    const other = models.find(model => isReady(model, wanted))
    if (other !== undefined) others.set(target, { ...wanted, version: other.version })
  }
  return exact.size >= Math.ceil(copies / 2) ? exact : new Map([...exact, ...others])
}

function isReady (held: LoadedModel, wanted: ModelReference): boolean {
  return held.state === 'ready' && held.model === wanted.model && held.adapter === wanted.adapter
}
