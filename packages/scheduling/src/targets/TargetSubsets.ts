import { rankByRendezvous, type Service, type Snapshot, type Target } from '@fescuespoke/common'

/** Options of subsets. */
export interface TargetSubsetsOptions {
  readonly instance: string
  readonly region: string
  readonly targetsPerInstance: number
}

/** Decides which targets of each service one instance considers, so that few instances feed each target of a large fleet. */
export class TargetSubsets {
  /**
   * Creates subsets.
   * @param options - Options.
   */
  static create (options: TargetSubsetsOptions): TargetSubsets {
    return new TargetSubsets(options)
  }

  private readonly subsets = new WeakMap<Service, { readonly snapshot: Snapshot, readonly targets: readonly Target[] }>()

  /** @internal */
  private constructor (private readonly options: TargetSubsetsOptions) {}

  /**
   * Lists the targets of a service that this instance considers, those of its region first.
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
   * Lists the targets whose state this instance has to know.
   * @param snapshot - Snapshot in force.
   * @param isCoordinated - Tells whether this instance coordinates a target.
   */
  listTargetsToPoll (snapshot: Snapshot, isCoordinated: (target: Target) => boolean): Target[] {
    const targets = new Map<string, Target>()
    for (const service of snapshot.services.values()) {
      for (const target of this.listSubset(service, snapshot)) targets.set(target.name, target)
    }
    for (const target of snapshot.targets.values()) {
      if (isCoordinated(target)) targets.set(target.name, target)
    }
    return [...targets.values()].sort((a, b) => a.name < b.name ? -1 : 1)
  }

  private selectSubset (service: Service, snapshot: Snapshot): Target[] {
    const targets = service.targets.flatMap(name => snapshot.targets.get(name) ?? [])
    if (targets.length <= this.options.targetsPerInstance) return targets
    const inRegion = targets.filter(({ region }) => region === this.options.region)
    const candidates = inRegion.length >= this.options.targetsPerInstance ? inRegion : targets
    const names = rankByRendezvous(this.options.instance, candidates.map(({ name }) => name)).slice(0, this.options.targetsPerInstance)
    return names.flatMap(name => snapshot.targets.get(name) ?? [])
  }
}
