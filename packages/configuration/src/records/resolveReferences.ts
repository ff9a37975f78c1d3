import { formatProblem, type RefusedRecord } from '@fescuespoke/schema'
import { type AcceptedRecord, type AcceptedRecords } from './AcceptedRecords.js'
import { formatRecordId, type RecordKind, type TargetReference } from './RecordContent.js'

/** Options of the resolution of references. */
export interface ResolveOptions {
  /** Valid records and kept records, by record id. Their references have not been resolved. */
  readonly records: ReadonlyMap<string, AcceptedRecord>
  /** Records that were in force before. */
  readonly previous: AcceptedRecords
  readonly revision: number
  /** Ids of the records that were refused before the resolution, for reasons other than references. */
  readonly refusedIds: ReadonlySet<string>
}

/** Records whose references are all resolved, and records that were refused because of unresolved references. */
export interface ResolvedRecords {
  readonly records: ReadonlyMap<string, AcceptedRecord>
  readonly refused: readonly RefusedRecord[]
}

/**
 * Resolves the references from services to targets, then those from workspaces to services. A record with an unresolved
 * reference is refused, and its predecessor is kept together with the records that the predecessor refers to.
 * @param options - Options of the resolution.
 */
export function resolveReferences (options: ResolveOptions): ResolvedRecords {
  const resolution: Resolution = { ...options, records: new Map(options.records), refused: [] }
  const pools = computePools(resolution.records)
  const services = listRecordsOfKind(resolution.records, 'service')
  const unresolved = services
    .filter(([id, record]) => !resolveService(resolution, pools, id, record))
    .map(([id, record]) => ({ id, record, problems: listServiceProblems(resolution, record) }))
  for (const { id, record, problems } of unresolved) refuseService(resolution, id, record, problems)
  for (const [id, record] of listRecordsOfKind(resolution.records, 'workspace')) resolveWorkspace(resolution, id, record)
  return { records: resolution.records, refused: resolution.refused }
}

/** Names of targets by the pool that they belong to. The names of each pool are sorted. */
export type TargetPools = ReadonlyMap<string, readonly string[]>

/**
 * Groups the targets of all records by pool.
 * @param records - Records by record id.
 */
export function computePools (records: ReadonlyMap<string, AcceptedRecord>): TargetPools {
  const pools = new Map<string, string[]>()
  for (const { content } of records.values()) {
    if (content.kind !== 'target' || content.pool === undefined) continue
    const names = pools.get(content.pool)
    if (names === undefined) pools.set(content.pool, [content.name])
    else names.push(content.name)
  }
  for (const names of pools.values()) names.sort()
  return pools
}

/**
 * Finds the sorted names of the targets that a reference refers to. Targets that are referenced by name may have no record.
 * @param reference - The reference.
 * @param pools - Targets by pool.
 */
export function findReferencedTargets (reference: TargetReference, pools: TargetPools): readonly string[] {
  return reference.by === 'names' ? reference.targets : pools.get(reference.pool) ?? []
}

interface Resolution extends ResolveOptions {
  readonly records: Map<string, AcceptedRecord>
  readonly refused: RefusedRecord[]
}

function listRecordsOfKind (records: ReadonlyMap<string, AcceptedRecord>, kind: RecordKind): Array<[string, AcceptedRecord]> {
  return [...records].filter(([, record]) => record.content.kind === kind).sort(([a], [b]) => a < b ? -1 : 1)
}

function resolveService (resolution: Resolution, pools: TargetPools, id: string, record: AcceptedRecord): boolean {
  if (record.content.kind !== 'service') return false
  const names = findReferencedTargets(record.content.reference, pools)
  const isResolved = names.length > 0 && names.every(name => resolution.records.has(formatRecordId('target', name)))
  if (isResolved) resolution.records.set(id, { ...record, resolvedTargets: names })
  return isResolved
}

function refuseService (resolution: Resolution, id: string, record: AcceptedRecord, problems: string[]): void {
  const kept = resolution.previous.records.get(id)
  resolution.records.delete(id)
  if (kept !== undefined) keepService(resolution, id, kept)
  recordRefusal(resolution, id, record, problems)
}

function listServiceProblems (resolution: Resolution, record: AcceptedRecord): string[] {
  if (record.content.kind !== 'service') return []
  const { reference } = record.content
  if (reference.by === 'pool') {
    return [formatProblem({ field: 'pool', value: reference.pool, allowed: 'a pool that at least one target record belongs to' })]
  }
  return reference.targets
    .filter(name => !resolution.records.has(formatRecordId('target', name)))
    .map(name => formatProblem({ field: 'targets', value: name, allowed: 'the name of a target record' }))
}

function keepService (resolution: Resolution, id: string, kept: AcceptedRecord): void {
  const names = kept.resolvedTargets ?? []
  for (const name of names) keepRecord(resolution, formatRecordId('target', name))
  const resolvedTargets = names.filter(name => resolution.records.has(formatRecordId('target', name)))
  if (resolvedTargets.length > 0) resolution.records.set(id, { ...kept, resolvedTargets })
}

function keepRecord (resolution: Resolution, id: string): void {
  const kept = resolution.previous.records.get(id)
  if (kept !== undefined && !resolution.records.has(id)) resolution.records.set(id, kept)
}

function resolveWorkspace (resolution: Resolution, id: string, record: AcceptedRecord): void {
  const missing = listMissingServices(resolution, record)
  if (missing.length === 0) return
  const kept = resolution.previous.records.get(id)
  resolution.records.delete(id)
  const problems = missing.map(name => formatProblem({ field: 'services', value: name, allowed: 'the name of a service record' }))
  if (kept !== undefined) keepWorkspace(resolution, id, kept)
  recordRefusal(resolution, id, record, problems)
}

function listMissingServices (resolution: Resolution, record: AcceptedRecord): string[] {
  if (record.content.kind !== 'workspace') return []
  const services = record.content.workspace.services ?? []
  return services.filter(name => !resolution.records.has(formatRecordId('service', name)))
}

function keepWorkspace (resolution: Resolution, id: string, kept: AcceptedRecord): void {
  for (const name of listMissingServices(resolution, kept)) {
    const serviceId = formatRecordId('service', name)
    const service = resolution.previous.records.get(serviceId)
    if (service !== undefined) keepService(resolution, serviceId, service)
  }
  if (listMissingServices(resolution, kept).length === 0) resolution.records.set(id, kept)
}

function recordRefusal (resolution: Resolution, id: string, record: AcceptedRecord, problems: string[]): void {
  if (resolution.refusedIds.has(id)) return
  const keptRevision = resolution.records.get(id)?.revision ?? 0
  resolution.refused.push({ key: record.key, record: id, problems, revision: resolution.revision, keptRevision })
}
