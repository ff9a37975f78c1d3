import { type Clock } from '@fescuespoke/common'
import { type AliveInstance, type RankedMember } from '@fescuespoke/scheduling'

/** Time until the others notice that an instance does not answer. */
const NOTICE_MS = 3000

/** What the instances believe of one another: each sees the changes some seconds late. */
export class FleetView {
  /**
   * Creates a view in which all are alive.
   * @param clock - Clock of the run.
   * @param instances - All instances.
   */
  static create (clock: Clock, instances: readonly AliveInstance[]): FleetView {
    return new FleetView(clock, instances)
  }

  private readonly views = new Map<string, readonly AliveInstance[]>()
  private readonly down = new Set<string>()

  /** @internal */
  private constructor (private readonly clock: Clock, private readonly instances: readonly AliveInstance[]) {
    for (const { instance } of instances) this.views.set(instance, instances)
  }

  /**
   * Lists the instances that one instance thinks alive.
   * @param observer - Name of that instance.
   */
  listAlive (observer: string): readonly AliveInstance[] {
    return this.views.get(observer) ?? this.instances
  }

  /** Lists the instances as an address answer sees them. */
  listMembers (): RankedMember[] {
    return this.instances.map(({ instance, availabilityZone, region }) => ({
      instance, availabilityZone, region, url: `http://${instance}`, state: this.down.has(instance) ? 'dead' : 'alive'
    }))
  }

  /**
   * Lets an instance be noticed as gone or back, after a while.
   * @param instance - Name of the instance.
   * @param isDown - Whether it is gone.
   */
  setDown (instance: string, isDown: boolean): void {
    this.clock.startTimer(NOTICE_MS, () => {
      if (isDown) this.down.add(instance)
      else this.down.delete(instance)
      const alive = this.instances.filter(other => !this.down.has(other.instance))
      for (const observer of this.views.keys()) this.views.set(observer, alive)
    })
  }

  /**
   * Lets two groups lose sight of each other, after a while, or see each other again.
   * @param groups - The groups.
   * @param isSplit - Whether they are apart.
   */
  setSplit (groups: ReadonlyArray<readonly string[]>, isSplit: boolean): void {
    this.clock.startTimer(NOTICE_MS, () => {
      for (const group of groups) {
        const seen = isSplit ? this.instances.filter(({ instance }) => group.includes(instance)) : this.instances
        for (const observer of group) this.views.set(observer, seen)
      }
    })
  }
}
