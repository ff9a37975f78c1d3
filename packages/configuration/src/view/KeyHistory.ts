/** Number of deletions that are remembered by key. */
const MAX_DELETIONS = 10_000

/** Keys that changed after some revision. */
export interface KeyChanges {
  readonly changed: readonly string[]
  readonly deleted: readonly string[]
}

/**
 * Remembers for each key the revision at which this instance saw it change. A revision may be later than that of the
 * change itself when revisions were skipped, never earlier, so that a list of changes is never short of one.
 */
export class KeyHistory {
  /** Creates an empty history. */
  static create (): KeyHistory {
    return new KeyHistory()
  }

  private readonly changeRevisions = new Map<string, number>()
  private readonly deletionRevisions = new Map<string, number>()
  /** Changes after a lower revision than this are not known in full. */
  private oldestComparableRevision = 0

  /** @internal */
  private constructor () {}

  /**
   * Records the difference between two states.
   * @param before - Values until now.
   * @param after - Values from now on.
   * @param revision - Revision of the later state.
   */
  recordChange (before: Readonly<Record<string, string>>, after: Readonly<Record<string, string>>, revision: number): void {
    if (this.changeRevisions.size === 0) this.oldestComparableRevision = revision
    for (const [key, text] of Object.entries(after)) {
      if (before[key] === text) continue
      this.changeRevisions.set(key, revision)
      this.deletionRevisions.delete(key)
    }
    for (const key of Object.keys(before)) {
      if (Object.hasOwn(after, key)) continue
      this.changeRevisions.delete(key)
      this.deletionRevisions.set(key, revision)
    }
    this.pruneDeletions()
  }

  /**
   * Finds what changed after a revision; undefined when it is too old to tell.
   * @param revision - The revision.
   */
  findChanges (revision: number): KeyChanges | undefined {
    if (revision < this.oldestComparableRevision) return undefined
    return { changed: listKeysAfter(this.changeRevisions, revision), deleted: listKeysAfter(this.deletionRevisions, revision) }
  }

  private pruneDeletions (): void {
    for (const [key, revision] of this.deletionRevisions) {
      if (this.deletionRevisions.size <= MAX_DELETIONS) return
      this.deletionRevisions.delete(key)
      this.oldestComparableRevision = Math.max(this.oldestComparableRevision, revision)
    }
  }
}

function listKeysAfter (revisions: ReadonlyMap<string, number>, revision: number): string[] {
  return [...revisions].filter(([, at]) => at > revision).map(([key]) => key).sort()
}
