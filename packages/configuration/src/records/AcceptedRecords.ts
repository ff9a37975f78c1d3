import { EMPTY_SNAPSHOT, type Service, type Snapshot, type Target, type Workspace } from '@fescuespoke/common'
import { type KeptRecord, type RefusedRecord } from '@fescuespoke/schema'
import { type PublishedValue } from './readValues.js'

/** Kind of a record. */
export type RecordKind = 'service' | 'target' | 'workspace'

/** How a service names its targets: one by one, or by the pool that they belong to. */
export type TargetReference =
  | { readonly by: 'names', readonly targets: readonly string[] }
  | { readonly by: 'pool', readonly pool: string }

/** A service record in the internal form, before its reference is resolved. */
export interface ServiceContent {
  readonly kind: 'service'
  readonly name: string
  readonly service: Omit<Service, 'targets' | 'copies'>
  readonly reference: TargetReference
  /** Absent for all targets. */
  readonly copies?: number
}

/** A target record in the internal form. */
export interface TargetContent {
  readonly kind: 'target'
  readonly name: string
  readonly target: Target
  /** Absent for records of schema version 1. */
  readonly pool?: string
}

/** A workspace record in the internal form. */
export interface WorkspaceContent {
  readonly kind: 'workspace'
  readonly name: string
  readonly workspace: Workspace
}

/** A record of any kind in the internal form. */
export type RecordContent = ServiceContent | TargetContent | WorkspaceContent

/** A record in force. */
export interface AcceptedRecord {
  /** Key of the published value that holds it. */
  readonly key: string
  /** Latest revision whose published values held this form of the record. */
  readonly revision: number
  /** The record as it was published, as JSON text. */
  readonly text: string
  readonly content: RecordContent
  /** Names of the targets that a service was last resolved to. */
  readonly resolvedTargets?: readonly string[]
}

/** Everything in force at one revision, with what was refused and what was kept instead. */
export interface AcceptedRecords {
  readonly revision: number
  /** Records in force by kind and name. */
  readonly records: ReadonlyMap<string, AcceptedRecord>
  readonly refused: readonly RefusedRecord[]
  readonly kept: readonly KeptRecord[]
  readonly snapshot: Snapshot
  /** Each published value of the revision as it was read. */
  readonly published: ReadonlyMap<string, PublishedValue>
}

/** Nothing in force. */
export const NO_ACCEPTED_RECORDS: AcceptedRecords = {
  revision: 0,
  records: new Map(),
  refused: [],
  kept: [],
  snapshot: EMPTY_SNAPSHOT,
  published: new Map()
}

/**
 * Formats what identifies a record over all published values.
 * @param kind - Kind of the record.
 * @param name - Name of the record.
 */
export function formatRecordId (kind: RecordKind, name: string): string {
  return `${kind} ${name}`
}
