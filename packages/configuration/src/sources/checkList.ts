import { createValidator, type ListedEntry, type Problem, type PublishedList } from '@fescuespoke/schema'
import { Result } from 'true-myth'
import { rejectField } from '../records/rejectField.js'

/** Fraction of readable entries below which the whole list is rejected. */
const MIN_READABLE_FRACTION = 0.5

const validateEntry = createValidator<ListedEntry>('platform', 'ListedEntry')

/**
 * Validates each entry of a published list. Unreadable entries are omitted, unless they are the majority.
 * @param value - The list as parsed from JSON.
 * @returns The list with its readable entries, or the problems for which the whole list is rejected.
 */
export function checkList (value: unknown): Result<PublishedList, Problem[]> {
  const { version, entries } = (value ?? {}) as Record<string, unknown>
  if (!Number.isSafeInteger(version)) return rejectField('version', version, 'a whole number')
  if (!Array.isArray(entries)) return rejectField('entries', entries, 'a list of entries')
  const readable = new Map<string, ListedEntry>()
  for (const entry of entries) {
    const checked = validateEntry(entry)
    if (checked.isOk) readable.set(checked.value.id, checked.value)
  }
  if (readable.size < entries.length * MIN_READABLE_FRACTION) {
    return rejectField('entries', `${readable.size} readable of ${entries.length}`, 'a majority of readable entries')
  }
  return Result.ok({ version: version as number, entries: [...readable.values()] })
}
