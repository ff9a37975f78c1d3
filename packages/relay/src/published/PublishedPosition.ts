/** Position in the history of the store. Revisions are comparable within one era only. */
export interface PublishedPosition {
  /** Number of times that the store has returned from an older copy; 0 when the store does not state it. */
  readonly era: number
  readonly revision: number
}

/** What an instance has of the published keys, as it reports to its peers. */
export interface PublishedSummary extends PublishedPosition {
  /** Highest version that the value of a key carries; 0 when none does. */
  readonly version: number
}

/** Position before the first complete read. */
export const START_POSITION: PublishedPosition = { era: 0, revision: 0 }

/**
 * Compares two positions in the history of the store.
 * @param a - First position.
 * @param b - Second position.
 * @returns A negative number when the first position is earlier, a positive one when it is later, and 0 when they are equal.
 */
export function comparePositions (a: PublishedPosition, b: PublishedPosition): number {
  return a.era - b.era || a.revision - b.revision
}

/** Fields of a message that state what an instance has of the published keys. */
export interface SummaryFields {
  readonly era?: number
  readonly revision: number
  readonly version?: number
}

/**
 * Formats a position as fields of a message. The revision tells all while the store states no era; instances of an earlier release
 * accept no other field.
 * @param position - The position.
 */
export function formatPosition ({ era, revision }: PublishedPosition): SummaryFields {
  return era === 0 ? { revision } : { era, revision }
}

/**
 * Formats what an instance has as fields of a message; see `formatPosition`.
 * @param summary - What the instance has.
 */
export function formatSummary ({ era, revision, version }: PublishedSummary): SummaryFields {
  return era === 0 ? { revision } : { era, revision, version }
}

/**
 * Parses what a peer reported in a message; a peer that states no era or version counts as having the lowest ones.
 * @param message - Fields of the message.
 */
export function parseSummary ({ era = 0, revision, version = 0 }: SummaryFields): PublishedSummary {
  return { era, revision, version }
}
