import { rankByRendezvous, type Service, type Snapshot, type Target } from '@fescuespoke/common'

/** Options of the target subsets. */
export interface TargetSubsetsOptions {
  readonly instance: string
  readonly region: string
  readonly targetsPerInstance: number
}

/** Selects the subset of each service's targets that one instance uses, so that each target of a large fleet receives requests from few instances only. */
export class TargetSubsets {
  /**
   * Creates the subsets.
   * @param options - Options.
   */
  static create (options: TargetSubsetsOptions): TargetSubsets {
    return new TargetSubsets(options)
  }

  private readonly subsets = new WeakMap<Service, { readonly snapshot: Snapshot, readonly targets: readonly Target[] }>()

  /** @internal */
  private constructor (private readonly options: TargetSubsetsOptions) {}

  /**
   * Returns the subset of a service's targets that this instance uses, taken from its region if that has enough targets.
   * @param service - The service.
   * @param snapshot - Snapshot that the service belongs to.
   */
  listSubset (service: Service, snapshot: Snapshot): readonly Target[] {
    const existing = this.subsets.get(service)
    if (existing !== undefined && existing.snapshot === snapshot) return existing.targets
    const targets = this.selectSubset(service, snapshot)
    this.subsets.set(service, { snapshot, targets })
    return targets
  }

  /**
   * Returns the targets whose state this instance polls, sorted by name.
   * @param snapshot - Current configuration snapshot.
   * @param isCoordinated - Returns whether this instance coordinates a target.
   */
  listTargetsToPoll (snapshot: Snapshot, isCoordinated: (target: Target) => boolean): Target[] {
    const targetsToPoll = new Map<string, Target>()
    for (const service of snapshot.services.values()) {
      for (const target of this.listSubset(service, snapshot)) targetsToPoll.set(target.name, target)
    }
    for (const target of snapshot.targets.values()) {
      if (isCoordinated(target)) targetsToPoll.set(target.name, target)
    }
    return [...targetsToPoll.values()].sort((a, b) => a.name < b.name ? -1 : 1)
  }

  private selectSubset (service: Service, snapshot: Snapshot): Target[] {
    const targets = service.targets.flatMap(name => snapshot.targets.get(name) ?? [])
    if (targets.length <= this.options.targetsPerInstance) return targets
    const inSameRegion = targets.filter(({ region }) => region === this.options.region)
    const candidates = inSameRegion.length >= this.options.targetsPerInstance ? inSameRegion : targets
    const names = rankByRendezvous(this.options.instance, candidates.map(({ name }) => name)).slice(0, this.options.targetsPerInstance)
    return names.flatMap(name => snapshot.targets.get(name) ?? [])
  }
}
