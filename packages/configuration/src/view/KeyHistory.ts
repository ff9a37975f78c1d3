/** Maximum number of deletions that are retained. */
const MAX_DELETIONS = 10_000

/** Keys that were changed or deleted after a revision. */
export interface KeyChanges {
  readonly changed: readonly string[]
  readonly deleted: readonly string[]
}

/**
 * Records for each key the revision at which this instance received its last change. When revisions were skipped, the
 * recorded revision may be higher than that of the change itself. It is never lower, so that a list of changes is always
 * complete.
 */
export class KeyHistory {
  /** Creates an empty history. */
  static create (): KeyHistory {
    return new KeyHistory()
  }

  private readonly changeRevisions = new Map<string, number>()
  private readonly deletionRevisions = new Map<string, number>()
  /** Lowest revision for which the later changes are completely recorded. */
  private oldestComparableRevision = 0

  /** @internal */
  private constructor () {}

  /**
   * Records the differences between two states.
   * @param before - Values of the earlier state.
   * @param after - Values of the later state.
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
   * Finds the changes after a revision.
   * @param revision - The revision.
   * @returns The sorted keys; undefined when the revision is too old to have complete changes.
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
  return [...revisions].filter(([, changeRevision]) => changeRevision > revision).map(([key]) => key).sort()
}
