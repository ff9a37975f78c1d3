import { type ServiceOverride } from '@fescuespoke/common'
import {
  createValidator,
  type Problem,
  type ServiceV1,
  type ServiceV2,
  type TargetV1,
  type TargetV2,
  type Validator,
  type WorkspaceV1,
  type WorkspaceV2
} from '@fescuespoke/schema'
import { Result } from 'true-myth'
import { type RecordContent, type RecordKind } from './RecordContent.js'
import { rejectField } from './rejectField.js'

const MS_PER_SECOND = 1000

/** Schema versions that this program supports. */
export const SUPPORTED_SCHEMA_VERSIONS: readonly number[] = [1, 2]

/** Kinds of records. */
export const RECORD_KINDS: readonly RecordKind[] = ['service', 'target', 'workspace']

type Converter = (item: unknown) => Result<RecordContent, Problem[]>

const CONVERTERS: Record<string, Record<RecordKind, Converter>> = {
  1: {
    service: createConverter(createValidator<ServiceV1>('records1', 'ServiceV1'), convertServiceV1),
    target: createConverter(createValidator<TargetV1>('records1', 'TargetV1'), convertTargetV1),
    workspace: createConverter(createValidator<WorkspaceV1>('records1', 'WorkspaceV1'), convertWorkspaceV1)
  },
  2: {
    service: createConverter(createValidator<ServiceV2>('records2', 'ServiceV2'), convertServiceV2),
    target: createConverter(createValidator<TargetV2>('records2', 'TargetV2'), convertTargetV2),
    workspace: createConverter(createValidator<WorkspaceV2>('records2', 'WorkspaceV2'), convertWorkspaceV2)
  }
}

/**
 * Validates a published record against the schema version that it states and converts it to the internal form.
 * @param item - The record as parsed from JSON.
 * @returns The internal form, or all problems of the record.
 */
export function convertRecord (item: unknown): Result<RecordContent, Problem[]> {
  if (typeof item !== 'object' || item === null || Array.isArray(item)) {
    return rejectField('', item, 'an object with schemaVersion, kind and name')
  }
  const { schemaVersion, kind } = item as Record<string, unknown>
  const converters = typeof schemaVersion === 'number' ? CONVERTERS[schemaVersion] : undefined
  if (converters === undefined) return rejectField('schemaVersion', schemaVersion, describeVersions(schemaVersion))
  if (!isRecordKind(kind)) return rejectField('kind', kind, RECORD_KINDS.join(', '))
  return converters[kind](structuredClone(item))
}

/**
 * Returns whether a value is a kind of record.
 * @param kind - Value to check.
 */
export function isRecordKind (kind: unknown): kind is RecordKind {
  return RECORD_KINDS.includes(kind as RecordKind)
}

function describeVersions (version: unknown): string {
  const supported = SUPPORTED_SCHEMA_VERSIONS.join(', ')
  const isNewer = typeof version === 'number' && version > Math.max(...SUPPORTED_SCHEMA_VERSIONS)
  return isNewer ? `${supported}; this program is older than the record's schema version` : supported
}

function createConverter<T> (validate: Validator<T>, convert: (record: T) => RecordContent): Converter {
  return item => validate(item).map(convert)
}

function convertServiceV1 (record: ServiceV1): RecordContent {
  const { name, model, adapter, version } = record
  const isGeneration = model !== undefined
  return {
    kind: 'service',
    name,
    service: {
      name,
      kind: isGeneration ? 'generation' : 'call',
      ...(isGeneration ? { runs: { model, ...omitUndefined({ adapter, version }) } } : {}),
      idempotent: isGeneration || record.repeatable === true,
      delivery: record.delivery ?? 'whole',
      priority: record.priority ?? 'normal',
      deadlineMs: Math.max(1, Math.round((record.deadlineSeconds ?? 120) * MS_PER_SECOND)),
      overrides: new Map()
    },
    reference: { by: 'names', targets: [...new Set(record.targets)].sort() }
  }
}

function convertServiceV2 (record: ServiceV2): RecordContent {
  const { name, runs } = record
  return {
    kind: 'service',
    name,
    service: {
      name,
      kind: runs === undefined ? 'call' : 'generation',
      ...omitUndefined({ runs }),
      idempotent: runs !== undefined || record.idempotent === true,
      delivery: record.delivery ?? 'whole',
      priority: record.priority ?? 'normal',
      deadlineMs: record.deadlineMs ?? 120_000,
      overrides: convertOverrides(record.workspaces ?? [])
    },
    reference: { by: 'pool', pool: record.pool },
    ...omitUndefined({ copies: record.copies })
  }
}

function convertOverrides (workspaces: NonNullable<ServiceV2['workspaces']>): Map<string, ServiceOverride> {
  return new Map(workspaces.map(({ workspace, ...override }) => [workspace, override]))
}

function convertTargetV1 (record: TargetV1): RecordContent {
  const { name, url, availabilityZone, region } = record
  const fencing = record.checksOrders === true ? 'enforced' : 'ignored'
  return { kind: 'target', name, target: { name, url, availabilityZone, region, fencing } }
}

function convertTargetV2 (record: TargetV2): RecordContent {
  const { name, url, pool, availabilityZone, region } = record
  const fencing = record.fencing ?? 'ignored'
  return { kind: 'target', name, pool, target: { name, url, availabilityZone, region, fencing } }
}

function convertWorkspaceV1 (record: WorkspaceV1): RecordContent {
  const { name, services } = record
  return { kind: 'workspace', name, workspace: { name, weight: record.share ?? 1, ...omitUndefined({ services }) } }
}

function convertWorkspaceV2 (record: WorkspaceV2): RecordContent {
  const { name, services } = record
  return { kind: 'workspace', name, workspace: { name, weight: record.weight ?? 1, ...omitUndefined({ services }) } }
}

function omitUndefined<T extends object> (fields: T): T {
  return Object.fromEntries(Object.entries(fields).filter(([, value]) => value !== undefined)) as T
}
