import { type Service, type Target, type Workspace } from '@fescuespoke/common'

/** Kind of a record. */
export type RecordKind = 'service' | 'target' | 'workspace'

/** How a service refers to its targets: by their names, or by the pool that they belong to. */
export type TargetReference =
  | { readonly by: 'names', readonly targets: readonly string[] }
  | { readonly by: 'pool', readonly pool: string }

/** A service record in the internal form, before its target reference is resolved. */
export interface ServiceContent {
  readonly kind: 'service'
  readonly name: string
  readonly service: Omit<Service, 'targets' | 'copies'>
  readonly reference: TargetReference
  /** Number of targets that run the service; absent when all targets do. */
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

/**
 * Formats the id of a record, which is unique over all published values.
 * @param kind - Kind of the record.
 * @param name - Name of the record.
 */
export function formatRecordId (kind: RecordKind, name: string): string {
  return `${kind} ${name}`
}
