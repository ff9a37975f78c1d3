import { type Clock } from '@fescuespoke/common'
import { type AliveInstance, type RankedMember } from '@fescuespoke/scheduling'

/** Time until the other instances detect that an instance does not respond. */
const DETECTION_DELAY_MS = 3000

/** Membership of the simulated fleet as each instance sees it; changes become visible after the detection delay. */
export class SimulatedMembership {
  /**
   * Creates a membership in which all instances are alive.
   * @param clock - Clock of the run.
   * @param instances - All instances.
   */
  static create (clock: Clock, instances: readonly AliveInstance[]): SimulatedMembership {
    return new SimulatedMembership(clock, instances)
  }

  private readonly aliveByObserver = new Map<string, readonly AliveInstance[]>()
  private readonly downInstances = new Set<string>()

  /** @internal */
  private constructor (private readonly clock: Clock, private readonly instances: readonly AliveInstance[]) {
    for (const { instance } of instances) this.aliveByObserver.set(instance, instances)
  }

  /**
   * Returns the instances that are alive in the view of one instance.
   * @param observer - Name of that instance.
   */
  listAliveInstances (observer: string): readonly AliveInstance[] {
    return this.aliveByObserver.get(observer) ?? this.instances
  }

  /** Returns all instances with their states, for ranking addresses. */
  listMembers (): RankedMember[] {
    return this.instances.map(({ instance, availabilityZone, region }) => ({
      instance, availabilityZone, region, url: `http://${instance}`, state: this.downInstances.has(instance) ? 'dead' : 'alive'
    }))
  }

  /**
   * Marks an instance as dead or alive for all instances after the detection delay.
   * @param instance - Name of the instance.
   * @param isDown - Whether the instance is dead.
   */
  setDown (instance: string, isDown: boolean): void {
    this.clock.startTimer(DETECTION_DELAY_MS, () => {
      if (isDown) this.downInstances.add(instance)
      else this.downInstances.delete(instance)
      const alive = this.instances.filter(other => !this.downInstances.has(other.instance))
      for (const observer of this.aliveByObserver.keys()) this.aliveByObserver.set(observer, alive)
    })
  }

  /**
   * Separates groups of instances from each other, or joins them again, after the detection delay.
   * @param groups - Names of the instances of each group.
   * @param isPartitioned - Whether the groups are separated.
   */
  setPartitioned (groups: ReadonlyArray<readonly string[]>, isPartitioned: boolean): void {
    this.clock.startTimer(DETECTION_DELAY_MS, () => {
      for (const group of groups) {
        const visible = isPartitioned ? this.instances.filter(({ instance }) => group.includes(instance)) : this.instances
        for (const observer of group) this.aliveByObserver.set(observer, visible)
      }
    })
  }
}
