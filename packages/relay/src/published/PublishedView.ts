import { type PublishedItem } from './PublishedItem.js'

/** Receives the keys that changed, in the order of their revisions. */
export type ItemsListener = (items: readonly PublishedItem[]) => void

/** Revisions of deletions that are kept, so that an older answer cannot bring a key back. */
const MAX_TOMBSTONES = 4096

/** What this process knows of the published keys. Each key goes forward by its own revision, never back. */
export class PublishedView {
  /** Creates an empty view. */
  static create (): PublishedView {
    return new PublishedView()
  }

  private readonly items = new Map<string, PublishedItem>()
  private readonly tombstones = new Map<string, PublishedItem>()
  private readonly listeners = new Set<ItemsListener>()
  private revision = 0

  /** @internal */
  private constructor () {}

  /** Gets the revision up to which every change is known; 0 before the first complete reading. */
  getRevision (): number {
    return this.revision
  }

  /** Lists the keys that are present. */
  listItems (): PublishedItem[] {
    return [...this.items.values()]
  }

  /**
   * Lists what changed after a revision, deletions included, as far as they are remembered.
   * @param after - The revision.
   */
  listChanges (after: number): PublishedItem[] {
    return [...this.items.values(), ...this.tombstones.values()].filter(item => item.revision > after)
  }

  /**
   * Applies changes; what is older than what is known of its key is dropped.
   * @param items - The changes.
   * @param revision - Revision up to which these changes are complete.
   */
  applyChanges (items: readonly PublishedItem[], revision: number): void {
    const changed = items.filter(item => this.applyItem(item)).sort((a, b) => a.revision - b.revision)
    this.revision = Math.max(this.revision, revision)
    this.notifyListeners(changed)
  }

  /**
   * Applies a complete reading: keys that are absent from it and were not written since it began are deleted.
   * @param items - All keys.
   * @param revision - Revision of the store when the reading began.
   */
  applyFullRead (items: readonly PublishedItem[], revision: number): void {
    const present = new Set(items.map(({ key }) => key))
    const absent = this.listItems().filter(item => !present.has(item.key) && item.revision <= revision)
    this.applyChanges([...items, ...absent.map(({ key }) => ({ key, revision }))], revision)
  }

  /**
   * Adds a listener.
   * @param listener - Receives each later change.
   */
  addListener (listener: ItemsListener): void {
    this.listeners.add(listener)
  }

  private applyItem (item: PublishedItem): boolean {
    const current = this.items.get(item.key) ?? this.tombstones.get(item.key)
    const isTombstone = item.value === undefined
    // A deletion that a reading inferred carries the reading's revision, which may be that of the last write.
    const isOlder = current !== undefined && (item.revision < current.revision || (item.revision === current.revision && (current.value === undefined || !isTombstone)))
    if (isOlder) return false
    this.items.delete(item.key)
    this.tombstones.delete(item.key)
    if (isTombstone) this.addTombstone(item)
    else this.items.set(item.key, item)
    return true
  }

  private addTombstone (item: PublishedItem): void {
    this.tombstones.set(item.key, item)
    const [oldest] = this.tombstones.keys()
    if (this.tombstones.size > MAX_TOMBSTONES && oldest !== undefined) this.tombstones.delete(oldest)
  }

  private notifyListeners (changed: readonly PublishedItem[]): void {
    if (changed.length === 0) return
    for (const listener of this.listeners) listener(changed)
  }
}
