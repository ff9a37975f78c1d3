import { formatProblem, type Problem } from '@fescuespoke/schema'
import { Result } from 'true-myth'
import { formatRecordId, type RecordContent } from './RecordContent.js'
import { convertRecord, isRecordKind } from './convertRecord.js'

/** Largest published value, in bytes. */
export const MAX_VALUE_BYTES = 1_048_576

/** Longest name of a record, in characters. */
const MAX_NAME_CHARACTERS = 200

/** One record as it was published, checked by itself. */
export interface PublishedRecord {
  readonly key: string
  /** Kind and name when the record has both; its place in the value otherwise. */
  readonly label: string
  /** Absent when kind or name cannot be read. */
  readonly id?: string
  readonly text: string
  readonly content: Result<RecordContent, string[]>
}

/** One published value as it was read. */
export interface PublishedValue {
  readonly text: string
  readonly records: readonly PublishedRecord[]
}

/** All records of the published values, and the keys whose values cannot be read in full. */
export interface ReadValues {
  /** Each value by its key. */
  readonly values: ReadonlyMap<string, PublishedValue>
  readonly records: readonly PublishedRecord[]
  readonly unreadableKeys: ReadonlySet<string>
}

/**
 * Reads every record of the published values, each checked by itself.
 * @param values - JSON text by key.
 * @param known - Values that have been read before; those with the same text are not read again.
 */
export function readValues (values: Readonly<Record<string, string>>, previous: ReadonlyMap<string, PublishedValue>): ReadValues {
  const read = new Map<string, PublishedValue>()
  for (const key of Object.keys(values).sort()) {
    const text = values[key] as string
    const cached = previous.get(key)
    read.set(key, cached?.text === text ? cached : { text, records: readValue(key, text) })
  }
  const records = rejectDuplicates([...read.values()].flatMap(value => value.records))
  const unreadableKeys = new Set(records.filter(record => record.id === undefined).map(record => record.key))
  return { values: read, records, unreadableKeys }
}

function readValue (key: string, text: string): PublishedRecord[] {
  const parsed = parseValue(text)
  if (parsed.isErr) {
    return [{ key, label: 'value', text: '', content: Result.err(parsed.error) }]
  }
  const items = Array.isArray(parsed.value) ? parsed.value : [parsed.value]
  return items.map((item: unknown, index) => readItem(key, item, index))
}

function parseValue (text: string): Result<unknown, string[]> {
  const bytes = Buffer.byteLength(text)
  if (bytes > MAX_VALUE_BYTES) {
    return rejectValue(`${bytes} bytes`, `at most ${MAX_VALUE_BYTES} bytes; split the value over several keys`)
  }
  try {
    return Result.ok(JSON.parse(text) as unknown)
  } catch (error) {
    return rejectValue(JSON.stringify(text.slice(0, 40)), `JSON (${(error as Error).message})`)
  }
}

function rejectValue (value: string, allowed: string): Result<unknown, string[]> {
  return Result.err([formatProblem({ field: 'value', value, allowed })])
}

function readItem (key: string, item: unknown, index: number): PublishedRecord {
  const id = findRecordId(item)
  const content = convertRecord(item).mapErr((problems: Problem[]) => problems.map(formatProblem))
  return {
    key,
    label: id ?? `#${index + 1}`,
    ...(id === undefined ? {} : { id }),
    text: JSON.stringify(item),
    content
  }
}

function findRecordId (item: unknown): string | undefined {
  if (typeof item !== 'object' || item === null) return undefined
  const { kind, name } = item as Record<string, unknown>
  if (!isRecordKind(kind) || typeof name !== 'string') return undefined
  if (name === '' || name.length > MAX_NAME_CHARACTERS) return undefined
  return formatRecordId(kind, name)
}

function rejectDuplicates (records: readonly PublishedRecord[]): PublishedRecord[] {
  const byId = new Map<string, PublishedRecord[]>()
  for (const record of records) {
    if (record.id === undefined) continue
    const duplicates = byId.get(record.id)
    if (duplicates === undefined) byId.set(record.id, [record])
    else duplicates.push(record)
  }
  return records.flatMap(record => {
    const duplicates = record.id === undefined ? [record] : byId.get(record.id) ?? [record]
    if (duplicates.length === 1) return [record]
    if (duplicates.every(other => other.text === record.text)) return duplicates[0] === record ? [record] : []
    return [rejectDuplicate(record, duplicates)]
  })
}

function rejectDuplicate (record: PublishedRecord, duplicates: readonly PublishedRecord[]): PublishedRecord {
  const keys = duplicates.map(other => other.key).join(', ')
  const problem = formatProblem({ field: 'name', value: record.label, allowed: `one record of this kind and name; found in ${keys}` })
  const others = record.content.isErr ? record.content.error : []
  return { ...record, content: Result.err([...others, problem]) }
}
