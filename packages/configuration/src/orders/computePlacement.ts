import { formatModel, type ModelReference, rankByRendezvous, type Service, type Snapshot } from '@fescuespoke/common'

/** Models that each target should hold, by the target's name; sorted and without repetition. */
export type ModelPlacement = ReadonlyMap<string, readonly ModelReference[]>

/**
 * Computes which targets hold which models, adapters and versions. The result depends on nothing but the arguments,
 * and another version or adapter of a model stays on the same targets.
 * @param snapshot - Records in force.
 * @param liveTargets - Names of the targets that take work.
 */
export function computePlacement (snapshot: Snapshot, liveTargets: ReadonlySet<string>): ModelPlacement {
  const modelsByTarget = new Map<string, Map<string, ModelReference>>()
  for (const service of snapshot.services.values()) {
    for (const target of rankTargets(service, liveTargets)) {
      const models = modelsByTarget.get(target) ?? new Map<string, ModelReference>()
      for (const model of listModels(service)) models.set(formatModel(model), model)
      modelsByTarget.set(target, models)
    }
  }
  return new Map([...modelsByTarget].map(([target, models]) => [target, sortModels(models)]))
}

/**
 * Lists the models that a service runs: its own and those of single workspaces.
 * @param service - The service.
 */
export function listModels (service: Service): ModelReference[] {
  const { runs } = service
  if (runs === undefined) return []
  const models = [runs, ...[...service.overrides.values()].map(override => applyOverride(runs, override))]
  return [...new Map(models.map(model => [formatModel(model), model])).values()]
}

/**
 * Ranks the live targets of a service and takes as many as hold its model.
 * @param service - The service.
 * @param liveTargets - Names of the targets that take work.
 */
export function rankTargets (service: Service, liveTargets: ReadonlySet<string>): string[] {
  if (service.runs === undefined) return []
  const live = rankAllTargets(service, service.runs).filter(name => liveTargets.has(name))
  return live.slice(0, service.copies)
}

/** Rankings of whole services; leaving targets out of one does not change the order of the others. */
const rankings = new WeakMap<Service, readonly string[]>()

function rankAllTargets (service: Service, runs: ModelReference): readonly string[] {
  const cached = rankings.get(service)
  if (cached !== undefined) return cached
  const ranked = rankByRendezvous(runs.model, service.targets)
  rankings.set(service, ranked)
  return ranked
}

function applyOverride (runs: ModelReference, { adapter, version }: { readonly adapter?: string, readonly version?: string }): ModelReference {
  return { ...runs, ...(adapter === undefined ? {} : { adapter }), ...(version === undefined ? {} : { version }) }
}

function sortModels (models: ReadonlyMap<string, ModelReference>): ModelReference[] {
  return [...models.keys()].sort().map(key => models.get(key) as ModelReference)
}
