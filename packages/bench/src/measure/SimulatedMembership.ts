import { type Clock } from '@fescuespoke/common'
import { type AliveInstance, type RankedMember } from '@fescuespoke/scheduling'

/** Time until the others notice that an instance does not answer. */
const DETECTION_DELAY_MS = 3000

/** What the instances believe of one another: each sees the changes some seconds late. */
export class SimulatedMembership {
  /**
   * Creates a view in which all are alive.
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
   * Lists the instances that one instance thinks alive.
   * @param observer - Name of that instance.
   */
  listAliveInstances (observer: string): readonly AliveInstance[] {
    return this.aliveByObserver.get(observer) ?? this.instances
  }

  /** Lists the instances as an address answer sees them. */
  listMembers (): RankedMember[] {
    return this.instances.map(({ instance, availabilityZone, region }) => ({
      instance, availabilityZone, region, url: `http://${instance}`, state: this.downInstances.has(instance) ? 'dead' : 'alive'
    }))
  }

  /**
   * Lets an instance be noticed as gone or back, after a while.
   * @param instance - Name of the instance.
   * @param isDown - Whether it is gone.
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
   * Lets two groups lose sight of each other, after a while, or see each other again.
   * @param groups - The groups.
   * @param isPartitioned - Whether they are apart.
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
