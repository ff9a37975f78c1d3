import { type Delivery, type Priority } from '@fescuespoke/schema'

/** What a service is made of: a model that generates, or plain targets that are called. */
export type ServiceKind = 'generation' | 'call'

/** A model with its adapter and version, as one engine loads it. */
export interface ModelReference {
  readonly model: string
  readonly adapter?: string
  readonly version?: string
}

/** A service in force, whichever schema version its record has. */
export interface Service {
  readonly name: string
  readonly kind: ServiceKind
  /** Present for generations. */
  readonly runs?: ModelReference
  /** Whether a request may be repeated after a byte of it was sent. */
  readonly idempotent: boolean
  readonly delivery: Delivery
  readonly priority: Priority
  readonly deadlineMs: number
  /** Names of the targets that may serve it, sorted. */
  readonly targets: readonly string[]
  /** Number of targets that hold the model. */
  readonly copies: number
  /** Settings of single workspaces. */
  readonly overrides: ReadonlyMap<string, ServiceOverride>
}

/** What one workspace gets otherwise than the rest. */
export interface ServiceOverride {
  readonly adapter?: string
  readonly version?: string
  readonly priority?: Priority
}

/** Whether a target refuses orders with an old fencing number. */
export type Fencing = 'enforced' | 'ignored'

/** A target in force. */
export interface Target {
  readonly name: string
  readonly url: string
  readonly availabilityZone: string
  readonly region: string
  readonly fencing: Fencing
}

/** A workspace in force. */
export interface Workspace {
  readonly name: string
  /** Weight in fair queues. */
  readonly weight: number
  /** Services that it may use; absent for all. */
  readonly services?: readonly string[]
}

/** All records of one accepted revision. A request keeps the snapshot that it started with. */
export interface Snapshot {
  readonly revision: number
  readonly services: ReadonlyMap<string, Service>
  readonly targets: ReadonlyMap<string, Target>
  readonly workspaces: ReadonlyMap<string, Workspace>
}

/** A snapshot without any records. */
export const EMPTY_SNAPSHOT: Snapshot = { revision: 0, services: new Map(), targets: new Map(), workspaces: new Map() }
