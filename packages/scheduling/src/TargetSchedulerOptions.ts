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
  /** Returns the instances that the membership reports as alive, including this one. Returns the same array until the list changes. */
  readonly listAliveInstances: () => readonly AliveInstance[]
  readonly settings?: Partial<SchedulingSettings>
  /** Maximum number of concurrent requests at one target over all instances, for policies with a fixed limit. */
  readonly fixedSequences?: number
  /** Returns the accepted revision of the configuration, for the audit trail. */
  readonly getRevision?: () => number
  /** Appends an entry to the audit trail. */
  readonly recordAudit?: (entry: AuditEntry) => void
}
