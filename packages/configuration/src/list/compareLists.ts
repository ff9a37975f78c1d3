import { type ListedEntry } from '@fescuespoke/schema'
import { isDeepStrictEqual } from 'node:util'

/** What changed from one list to another. */
export interface ListDifference {
  /** Entries that are new or have other contents, as they are afterwards. */
  readonly changed: readonly ListedEntry[]
  /** Names of the entries that are gone. */
  readonly removed: readonly string[]
}

/**
 * Compares two lists.
 * @param before - Entries by name until now.
 * @param after - Entries by name from now on.
 */
export function compareLists (before: ReadonlyMap<string, ListedEntry>, after: ReadonlyMap<string, ListedEntry>): ListDifference {
  const changed = [...after.values()].filter(entry => !isDeepStrictEqual(before.get(entry.id), entry))
  const removed = [...before.keys()].filter(id => !after.has(id))
  return { changed, removed }
}
