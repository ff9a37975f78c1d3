import { type ListedEntry } from '@fescuespoke/schema'
import { isDeepStrictEqual } from 'node:util'

/** Differences between two lists. */
export interface ListDifference {
  /** Added and modified entries, with their new contents. */
  readonly changed: readonly ListedEntry[]
  /** Names of the removed entries. */
  readonly removed: readonly string[]
}

/**
 * Compares two lists.
 * @param before - Entries of the earlier list by name.
 * @param after - Entries of the later list by name.
 */
export function compareLists (before: ReadonlyMap<string, ListedEntry>, after: ReadonlyMap<string, ListedEntry>): ListDifference {
  const changed = [...after.values()].filter(entry => !isDeepStrictEqual(before.get(entry.id), entry))
  const removed = [...before.keys()].filter(id => !after.has(id))
  return { changed, removed }
}
