import { rankByRendezvous, type Snapshot, type Target } from '@fescuespoke/common'
import { type FleetMember } from '../sync/FleetMember.js'

/** Options of the assignment of targets to controllers. */
export interface TargetAssignmentsOptions {
  /** This instance. */
  readonly self: FleetMember
  /** Lists the other instances that are considered alive. */
  readonly listPeers: () => readonly FleetMember[]
  readonly getSnapshot: () => Snapshot
}

/**
 * Finds the targets that are assigned to this instance. Each target is assigned by rendezvous hashing over the live
 * instances in its availability zone, or over all live instances when its zone has none.
 */
export class TargetAssignments {
  /**
   * Creates assignments.
   * @param options - Options of the assignments.
   */
  static create (options: TargetAssignmentsOptions): TargetAssignments {
    return new TargetAssignments(options)
  }

  private snapshot: Snapshot | undefined
  private membersKey = ''
  private assigned: ReadonlyMap<string, Target> = new Map()

  /** @internal */
  private constructor (private readonly options: TargetAssignmentsOptions) {}

  /** Returns the engines that are assigned to this instance, by name. Recomputes them only after a change of the records or the fleet. */
  listAssigned (): ReadonlyMap<string, Target> {
    const snapshot = this.options.getSnapshot()
    const members = [this.options.self, ...this.options.listPeers()]
    const membersKey = members.map(member => `${member.instance} ${member.availabilityZone}`).sort().join('\n')
    if (snapshot !== this.snapshot || membersKey !== this.membersKey) {
      this.assigned = this.computeAssigned(snapshot, members)
      this.snapshot = snapshot
      this.membersKey = membersKey
    }
    return this.assigned
  }

  private computeAssigned (snapshot: Snapshot, members: readonly FleetMember[]): Map<string, Target> {
    const assigned = listEngines(snapshot).filter(target => this.isAssigned(target, members))
    return new Map(assigned.map(target => [target.name, target]))
  }

  private isAssigned (target: Target, members: readonly FleetMember[]): boolean {
    const { self } = this.options
    const isSameZone = self.availabilityZone === target.availabilityZone
    if (!isSameZone && members.some(member => member.availabilityZone === target.availabilityZone)) return false
    const candidates = isSameZone ? members.filter(member => member.availabilityZone === target.availabilityZone) : members
    return rankByRendezvous(`orders/${target.name}`, candidates.map(member => member.instance))[0] === self.instance
  }
}

function listEngines (snapshot: Snapshot): Target[] {
  const generations = [...snapshot.services.values()].filter(service => service.runs !== undefined)
  const names = new Set(generations.flatMap(service => service.targets))
  return [...names].sort().flatMap(name => snapshot.targets.get(name) ?? [])
}
