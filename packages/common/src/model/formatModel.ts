import { type ModelReference } from './Snapshot.js'

/**
 * Formats a model with its adapter and version as one text that identifies it.
 * @param model - The model.
 */
export function formatModel (model: ModelReference): string {
  return [model.model, model.adapter ?? '', model.version ?? ''].join('|')
}
