import { type Delivery, type Priority } from '@fescuespoke/schema'

/** Kind of a service: generations of a model or calls of plain targets. */
export type ServiceKind = 'generation' | 'call'

/** A model with its adapter and version; the unit that an engine loads. */
export interface ModelReference {
  readonly model: string
  readonly adapter?: string
  readonly version?: string
}

/** A service in force, independent of the schema version of its record. */
export interface Service {
  readonly name: string
  readonly kind: ServiceKind
  /** Model of the service; present for generations only. */
  readonly runs?: ModelReference
  /** Whether a request may be retried after any byte of it was sent. */
  readonly idempotent: boolean
  readonly delivery: Delivery
  readonly priority: Priority
  readonly deadlineMs: number
  /** Names of the targets that can serve it, sorted. */
  readonly targets: readonly string[]
  /** Number of targets that should load the model. */
  readonly copies: number
  /** Overrides by the name of the workspace. */
  readonly overrides: ReadonlyMap<string, ServiceOverride>
}

/** Settings of a service that differ for one workspace. */
export interface ServiceOverride {
  readonly adapter?: string
  readonly version?: string
  readonly priority?: Priority
}

/** Whether a target rejects orders with an outdated fencing token. */
export type FencingMode = 'enforced' | 'ignored'

/** A target in force. Its state, such as active or leaving, is not part of its record. */
export interface Target {
  readonly name: string
  readonly url: string
  readonly availabilityZone: string
  readonly region: string
  readonly fencing: FencingMode
}

/** A workspace in force. */
export interface Workspace {
  readonly name: string
  /** Weight in fair queueing. */
  readonly weight: number
  /** Names of the services that it may use; absent when it may use all. */
  readonly services?: readonly string[]
}

/** All records in force at one accepted revision. A request uses one snapshot from its start to its end. */
export interface Snapshot {
  readonly revision: number
  readonly services: ReadonlyMap<string, Service>
  readonly targets: ReadonlyMap<string, Target>
  readonly workspaces: ReadonlyMap<string, Workspace>
}

/** A snapshot without any records. */
export const EMPTY_SNAPSHOT: Snapshot = { revision: 0, services: new Map(), targets: new Map(), workspaces: new Map() }
