import { formatProblem, type Problem } from '@fescuespoke/schema'
import { Result } from 'true-myth'
import { formatRecordId, type RecordContent } from './RecordContent.js'
import { convertRecord, isRecordKind } from './convertRecord.js'

/** Maximum size of a published value, in bytes. */
export const MAX_VALUE_BYTES = 1_048_576

/** Maximum length of the name of a record, in characters. */
const MAX_NAME_CHARACTERS = 200

/** A published record, validated independently of other records. */
export interface PublishedRecord {
  readonly key: string
  /** Id of the record when it has a valid kind and name; otherwise its position in the value. */
  readonly label: string
  /** Absent when the kind or the name is invalid. */
  readonly id?: string
  readonly text: string
  readonly content: Result<RecordContent, string[]>
}

/** A published value with its parsed records. */
export interface PublishedValue {
  readonly text: string
  readonly records: readonly PublishedRecord[]
}

/** Records of all published values, and the keys of values that cannot be read completely. */
export interface ParsedValues {
  /** Values by key. */
  readonly values: ReadonlyMap<string, PublishedValue>
  readonly records: readonly PublishedRecord[]
  readonly unreadableKeys: ReadonlySet<string>
}

/**
 * Reads all records of the published values and validates each independently. Different records with the same id are
 * refused.
 * @param values - Published values, as JSON text by key.
 * @param previous - Values that were read before, by key. Values with unchanged text are not parsed again.
 */
export function readValues (values: Readonly<Record<string, string>>, previous: ReadonlyMap<string, PublishedValue>): ParsedValues {
  const parsedValues = new Map<string, PublishedValue>()
  for (const key of Object.keys(values).sort()) {
    const text = values[key] as string
    const cached = previous.get(key)
    parsedValues.set(key, cached?.text === text ? cached : { text, records: readValue(key, text) })
  }
  const records = rejectDuplicates([...parsedValues.values()].flatMap(value => value.records))
  const unreadableKeys = new Set(records.filter(record => record.id === undefined).map(record => record.key))
  return { values: parsedValues, records, unreadableKeys }
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
