import { formatModelKey, type ModelReference, rankByRendezvous, type Service, type Snapshot } from '@fescuespoke/common'

/** Models that each target should have, by name of the target; sorted and without duplicates. */
export type ModelPlacement = ReadonlyMap<string, readonly ModelReference[]>

/**
 * Computes which models, adapters and versions each target should have. The result depends only on the arguments.
 * Another version or adapter of a model is placed on the same targets.
 * @param snapshot - Records in force.
 * @param liveTargets - Names of the active targets.
 */
export function computePlacement (snapshot: Snapshot, liveTargets: ReadonlySet<string>): ModelPlacement {
  const modelsByTarget = new Map<string, Map<string, ModelReference>>()
  for (const service of snapshot.services.values()) {
    for (const target of rankTargets(service, liveTargets)) {
      const models = modelsByTarget.get(target) ?? new Map<string, ModelReference>()
      for (const model of listModels(service)) models.set(formatModelKey(model), model)
      modelsByTarget.set(target, models)
    }
  }
  return new Map([...modelsByTarget].map(([target, models]) => [target, sortModels(models)]))
}

/**
 * Lists the models that a service runs: its own and those that workspaces override.
 * @param service - The service.
 */
export function listModels (service: Service): ModelReference[] {
  const { runs } = service
  if (runs === undefined) return []
  const models = [runs, ...[...service.overrides.values()].map(override => applyOverride(runs, override))]
  return [...new Map(models.map(model => [formatModelKey(model), model])).values()]
}

/**
 * Ranks the live targets of a service and selects as many as the service has copies.
 * @param service - The service.
 * @param liveTargets - Names of the active targets.
 * @returns Names of the selected targets, highest rank first; empty for a service that runs no model.
 */
export function rankTargets (service: Service, liveTargets: ReadonlySet<string>): string[] {
  if (service.runs === undefined) return []
  const live = rankAllTargets(service, service.runs).filter(name => liveTargets.has(name))
  return live.slice(0, service.copies)
}

/** Cached rankings of all targets of a service. Removing targets from a ranking does not change the order of the rest. */
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
