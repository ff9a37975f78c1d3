import { type AuditEntry, type Clock, type PeerTransport, type Random } from '@fescuespoke/common'
import { type SchedulingSettings } from '@fescuespoke/schema'
import { type AliveInstance } from './credits/findCoordinator.js'

/** Options of a scheduler. */
export interface TargetSchedulerOptions {
  /** Name of this instance. */
  readonly instance: string
  readonly availabilityZone: string
  readonly region: string
  readonly clock: Clock
  readonly random: Random
  readonly transport: PeerTransport
  /** Lists the instances that are thought to be alive, this one included; the same array while nothing changes. */
  readonly listAliveInstances: () => readonly AliveInstance[]
  readonly settings?: Partial<SchedulingSettings>
  /** Requests of one target that policies with a fixed division allow for all instances together. */
  readonly fixedSequences?: number
  /** Gets the accepted revision, for the audit trail. */
  readonly getRevision?: () => number
  /** Records a change in the audit trail. */
  readonly recordAudit?: (entry: AuditEntry) => void
}
