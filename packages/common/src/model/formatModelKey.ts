import { type ModelReference } from './Snapshot.js'

/**
 * Formats a model with its adapter and version as a string that identifies the combination.
 * @param model - Model with its adapter and version.
 */
export function formatModelKey (model: ModelReference): string {
  return [model.model, model.adapter ?? '', model.version ?? ''].join('|')
}
