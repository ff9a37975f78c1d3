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

  private readonly considered = new WeakMap<Service, { readonly snapshot: Snapshot, readonly targets: readonly Target[] }>()

  /** @internal */
  private constructor (private readonly options: TargetSubsetsOptions) {}

  /**
   * Lists the targets of a service that this instance considers, those of its region first.
   * @param service - The service.
   * @param snapshot - Snapshot that the service belongs to.
   */
  listConsidered (service: Service, snapshot: Snapshot): readonly Target[] {
    const known = this.considered.get(service)
    if (known !== undefined && known.snapshot === snapshot) return known.targets
    const targets = this.pickTargets(service, snapshot)
    this.considered.set(service, { snapshot, targets })
    return targets
  }

  /**
   * Lists the targets whose state this instance has to know.
   * @param snapshot - Snapshot in force.
   * @param isCoordinated - Tells whether this instance coordinates a target.
   */
  listObserved (snapshot: Snapshot, isCoordinated: (target: Target) => boolean): Target[] {
    const observed = new Map<string, Target>()
    for (const service of snapshot.services.values()) {
      for (const target of this.listConsidered(service, snapshot)) observed.set(target.name, target)
    }
    for (const target of snapshot.targets.values()) {
      if (isCoordinated(target)) observed.set(target.name, target)
    }
    return [...observed.values()].sort((a, b) => a.name < b.name ? -1 : 1)
  }

  private pickTargets (service: Service, snapshot: Snapshot): Target[] {
    const targets = service.targets.flatMap(name => snapshot.targets.get(name) ?? [])
    if (targets.length <= this.options.targetsPerInstance) return targets
    const near = targets.filter(({ region }) => region === this.options.region)
    const pool = near.length >= this.options.targetsPerInstance ? near : targets
    const names = rankByRendezvous(this.options.instance, pool.map(({ name }) => name)).slice(0, this.options.targetsPerInstance)
    return names.flatMap(name => snapshot.targets.get(name) ?? [])
  }
}
