import { type PublishedItem } from './PublishedItem.js'

/** Receives changed keys in the order of their revisions. */
export type ItemsListener = (items: readonly PublishedItem[]) => void

/** Maximum number of deletions that are kept so that an older answer cannot restore a deleted key. */
const MAX_TOMBSTONES = 4096

/** Local view of the published keys. The revision of each key only increases. */
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

  /** Returns the revision up to which all changes are included; 0 before the first complete read. */
  getRevision (): number {
    return this.revision
  }

  /** Lists the existing keys. */
  listItems (): PublishedItem[] {
    return [...this.items.values()]
  }

  /**
   * Lists changes after a revision, including those deletions that are still kept.
   * @param after - The revision.
   */
  listChanges (after: number): PublishedItem[] {
    return [...this.items.values(), ...this.tombstones.values()].filter(item => item.revision > after)
  }

  /**
   * Applies changes; a change that is older than the current state of its key is ignored.
   * @param items - The changes.
   * @param revision - Revision up to which these changes are complete.
   */
  applyChanges (items: readonly PublishedItem[], revision: number): void {
    const changed = items.filter(item => this.applyItem(item)).sort((a, b) => a.revision - b.revision)
    this.revision = Math.max(this.revision, revision)
    this.notifyListeners(changed)
  }

  /**
   * Applies a complete read: deletes keys that it does not contain and that were not written after it started.
   * @param items - All keys of the store.
   * @param revision - Revision of the store when the read started.
   */
  applyFullRead (items: readonly PublishedItem[], revision: number): void {
    const present = new Set(items.map(({ key }) => key))
    const absent = this.listItems().filter(item => !present.has(item.key) && item.revision <= revision)
    this.applyChanges([...items, ...absent.map(({ key }) => ({ key, revision }))], revision)
  }

  /**
   * Counts items that are older than what this view holds for their keys.
   * @param items - The items.
   */
  countOlder (items: readonly PublishedItem[]): number {
    return items.filter(({ key, revision }) => revision < (this.items.get(key)?.revision ?? 0)).length
  }

  /**
   * Adds a listener.
   * @param listener - Receives all later changes.
   */
  addListener (listener: ItemsListener): void {
    this.listeners.add(listener)
  }

  private applyItem (item: PublishedItem): boolean {
    const current = this.items.get(item.key) ?? this.tombstones.get(item.key)
    const isTombstone = item.value === undefined
    // A deletion that was inferred from a complete read carries the revision of the read, which may equal that of the last write.
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
