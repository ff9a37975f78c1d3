import { type Service, type Snapshot, type Target, type Workspace } from '@fescuespoke/common'
import { type KeptRecord, type RefusedRecord } from '@fescuespoke/schema'
import { type AcceptedRecord, type AcceptedRecords, NO_ACCEPTED_RECORDS } from './AcceptedRecords.js'
import { convertRecord } from './convertRecord.js'
import { type PublishedRecord, type ParsedValues, readValues } from './readValues.js'
import { computePools, findReferencedTargets, resolveReferences } from './resolveReferences.js'
import { formatRecordId, type RecordContent, type RecordKind, type ServiceContent } from './RecordContent.js'

/**
 * Converts the published values of one revision. A record that cannot be accepted is refused without affecting other
 * records. Its predecessor stays in force, together with the records that the predecessor refers to.
 * @param values - All published values of the revision, as JSON text by key.
 * @param revision - The revision.
 * @param previous - Records that were in force before.
 */
export function convertRecords (
  values: Readonly<Record<string, string>>,
  revision: number,
  previous: AcceptedRecords = NO_ACCEPTED_RECORDS
): AcceptedRecords {
  const published = readValues(values, previous.published)
  const records = new Map<string, AcceptedRecord>()
  const refused: RefusedRecord[] = []
  for (const record of published.records) {
    const outcome = acceptRecord(record, revision, previous)
    if (outcome.accepted !== undefined) records.set(record.id as string, outcome.accepted)
    if (outcome.refused !== undefined) refused.push(outcome.refused)
  }
  keepRecordsOfUnreadableKeys(records, published, previous)
  const resolved = resolveReferences({ records, previous, revision, refusedIds: new Set(refused.map(entry => entry.record)) })
  return {
    revision,
    records: resolved.records,
    refused: [...refused, ...resolved.refused],
    kept: listKeptRecords(resolved.records, published),
    snapshot: createSnapshot(revision, resolved.records),
    published: published.values
  }
}

/**
 * Merges records that a peer keeps in force into the local records. The record of the higher revision takes precedence.
 * @param accepted - Local records in force.
 * @param kept - Records that the peer keeps in place of refused ones.
 */
export function mergeKeptRecords (accepted: AcceptedRecords, kept: readonly KeptRecord[]): AcceptedRecords {
  if (kept.length === 0) return accepted
  const records = new Map(accepted.records)
  for (const record of kept) {
    const content = parseKeptRecord(record)
    if (content === undefined) continue
    const id = formatRecordId(content.kind, content.name)
    const existing = records.get(id)
    if (existing === undefined || existing.revision < record.revision) records.set(id, { ...record, content })
  }
  return { ...accepted, records: resolveServiceTargets(records) }
}

function acceptRecord (
  record: PublishedRecord,
  revision: number,
  previous: AcceptedRecords
): { accepted?: AcceptedRecord, refused?: RefusedRecord } {
  const { key, label, id, text, content } = record
  const predecessor = id === undefined ? undefined : previous.records.get(id)
  if (content.isOk) {
    return { accepted: { key, revision, text, content: content.value } }
  }
  const keptRevision = predecessor?.revision ?? (id === undefined ? findLatestRevision(key, previous) : 0)
  return {
    ...(predecessor === undefined ? {} : { accepted: predecessor }),
    refused: { key, record: label, problems: content.error, revision, keptRevision }
  }
}

function findLatestRevision (key: string, previous: AcceptedRecords): number {
  const revisions = [...previous.records.values()].filter(record => record.key === key).map(record => record.revision)
  return Math.max(0, ...revisions)
}

function keepRecordsOfUnreadableKeys (records: Map<string, AcceptedRecord>, published: ParsedValues, previous: AcceptedRecords): void {
  for (const [id, record] of previous.records) {
    if (published.unreadableKeys.has(record.key) && !records.has(id)) records.set(id, record)
  }
}

function listKeptRecords (records: ReadonlyMap<string, AcceptedRecord>, published: ParsedValues): KeptRecord[] {
  const acceptable = new Map(published.records.filter(record => record.content.isOk).map(record => [record.id, record.text]))
  return [...records]
    .filter(([id, record]) => acceptable.get(id) !== record.text)
    .map(([, { key, revision, text }]) => ({ key, revision, text }))
}

function parseKeptRecord (record: KeptRecord): RecordContent | undefined {
  try {
    return convertRecord(JSON.parse(record.text)).unwrapOr(undefined)
  } catch {
    return undefined
  }
}

function resolveServiceTargets (records: ReadonlyMap<string, AcceptedRecord>): Map<string, AcceptedRecord> {
  const pools = computePools(records)
  const entries = [...records].map(([id, record]): [string, AcceptedRecord] => {
    if (record.content.kind !== 'service' || record.resolvedTargets !== undefined) return [id, record]
    return [id, { ...record, resolvedTargets: findReferencedTargets(record.content.reference, pools) }]
  })
  return new Map(entries)
}

function createSnapshot (revision: number, records: ReadonlyMap<string, AcceptedRecord>): Snapshot {
  const services = new Map<string, Service>()
  const targets = new Map<string, Target>()
  const workspaces = new Map<string, Workspace>()
  const insert: { [K in RecordKind]: (content: Extract<RecordContent, { kind: K }>, record: AcceptedRecord) => unknown } = {
    service: (content, record) => services.set(content.name, createService(content, record.resolvedTargets ?? [])),
    target: content => targets.set(content.name, content.target),
    workspace: content => workspaces.set(content.name, content.workspace)
  }
  for (const id of [...records.keys()].sort()) {
    const record = records.get(id) as AcceptedRecord
    insert[record.content.kind](record.content as never, record)
  }
  return { revision, services, targets, workspaces }
}

function createService (content: ServiceContent, targets: readonly string[]): Service {
  return { ...content.service, targets, copies: Math.min(content.copies ?? targets.length, targets.length) }
}
