import { type PublishedItem } from './PublishedItem.js'
import { comparePositions, type PublishedPosition, type PublishedSummary, START_POSITION } from './PublishedPosition.js'

/** Receives changed keys in the order of their positions. */
export type ItemsListener = (items: readonly PublishedItem[]) => void

/**
 * Called when the store has returned from an older copy, before the changes that follow from it.
 * @param before - Last position of the view in the previous era.
 * @param position - First position of the view in the new era.
 */
export type RestoreListener = (before: PublishedPosition, position: PublishedPosition) => void

/** Called when keys may have been written and deleted without a trace in the changes that this view got. */
export type GapListener = () => void

/** Options of a published view. */
export interface PublishedViewOptions {
  /** Returns the version that the value of a key carries; undefined when it carries none. */
  readonly getVersion?: (item: PublishedItem) => number | undefined
  /**
   * Called when an item is ignored, although its position is later, because the held value carries a higher version.
   * @param item - The item.
   * @param held - The item in this view.
   */
  readonly onIgnored?: (item: PublishedItem, held: PublishedItem) => void
}

/** Maximum number of deletions that are kept so that an older answer cannot restore a deleted key. */
const MAX_TOMBSTONES = 4096

/**
 * Local view of the published keys. Each key only moves forward: by the version that its value carries, otherwise by its position.
 * A value with a version is never deleted, and outlives the return of the store from a copy that has a lower version.
 */
export class PublishedView {
  /**
   * Creates an empty view.
   * @param options - Options of the view.
   */
  static create (options: PublishedViewOptions = {}): PublishedView {
    return new PublishedView(options)
  }

  private readonly items = new Map<string, PublishedItem>()
  private readonly tombstones = new Map<string, PublishedItem>()
  private readonly listeners = new Set<ItemsListener>()
  private readonly restoreListeners = new Set<RestoreListener>()
  private readonly gapListeners = new Set<GapListener>()
  private position = START_POSITION
  /** Position after which this view knows all deletions. */
  private deletionsKnownAfter = START_POSITION
  private version = 0
  /** Whether changes that are being applied follow others that this view did not get. */
  private hasGap = false

  /** @internal */
  private constructor (private readonly options: PublishedViewOptions) {}

  /** Returns the position up to which all changes are included; `START_POSITION` before the first complete read. */
  getPosition (): PublishedPosition {
    return this.position
  }

  /** Returns what this instance reports to its peers. */
  getSummary (): PublishedSummary {
    return { ...this.position, version: this.version }
  }

  /** Lists the existing keys. */
  listItems (): PublishedItem[] {
    return [...this.items.values()]
  }

  /**
   * Returns whether `listChanges` has all deletions that a peer may not have.
   * @param peer - Position of the peer, in the era of this view.
   */
  hasAllDeletions (peer: PublishedPosition): boolean {
    return comparePositions(peer, this.deletionsKnownAfter) >= 0
  }

  /**
   * Lists what a peer may not have: changes after its position, including those deletions that are still kept, and values with a
   * higher version.
   * @param peer - What the peer has.
   */
  listChanges (peer: PublishedSummary): PublishedItem[] {
    return [...this.items.values(), ...this.tombstones.values()].filter(item => comparePositions(item, peer) > 0 || this.getItemVersion(item) > peer.version)
  }

  /**
   * Applies changes; a change that is older than the current state of its key is ignored.
   * @param items - The changes.
   * @param position - Position up to which these changes are complete; not of a later era than this view, which needs a complete read.
   */
  applyChanges (items: readonly PublishedItem[], position: PublishedPosition): void {
    this.apply(items, position, this.position)
  }

  /**
   * Applies a complete read: deletes keys that it does not contain and that were not written after it started.
   * @param items - All keys of the store.
   * @param position - Position of the store when the read started; it may be the first of a new era.
   */
  applyFullRead (items: readonly PublishedItem[], position: PublishedPosition): void {
    const present = new Set(items.map(({ key }) => key))
    const absent = this.listItems().filter(item => !present.has(item.key) && comparePositions(item, position) <= 0 && this.getItemVersion(item) === 0)
    const isUpToDate = comparePositions(position, this.position) >= 0
    // A key that was written and deleted since the last position leaves no trace in the read.
    if (comparePositions(position, this.position) > 0) {
      this.deletionsKnownAfter = position
      this.hasGap = this.position.revision !== START_POSITION.revision
    }
    this.apply([...items, ...absent.map(({ key }) => ({ key, ...position }))], position, isUpToDate ? START_POSITION : this.position)
  }

  /**
   * Adds a listener.
   * @param listener - Receives all later changes.
   */
  addListener (listener: ItemsListener): void {
    this.listeners.add(listener)
  }

  /**
   * Adds a listener for returns of the store from an older copy.
   * @param listener - Receives the positions before and after each later return.
   */
  addRestoreListener (listener: RestoreListener): void {
    this.restoreListeners.add(listener)
  }

  /**
   * Adds a listener for gaps.
   * @param listener - Called after each later gap has been applied.
   */
  addGapListener (listener: GapListener): void {
    this.gapListeners.add(listener)
  }

  /** Applies items; a key that this view lacks is only added if it was written after `completeUntil`. */
  private apply (items: readonly PublishedItem[], position: PublishedPosition, completeUntil: PublishedPosition): void {
    this.advance(position)
    const changed = items.filter(item => this.applyItem(item, completeUntil)).sort(comparePositions)
    if (changed.length > 0) for (const listener of this.listeners) listener(changed)
    if (!this.hasGap) return
    this.hasGap = false
    for (const listener of this.gapListeners) listener()
  }

  private advance (position: PublishedPosition): void {
    const before = this.position
    if (comparePositions(position, before) <= 0) return
    this.position = position
    if (position.era === before.era || before.revision === START_POSITION.revision) return
    for (const listener of this.restoreListeners) listener(before, position)
  }

  private applyItem (item: PublishedItem, completeUntil: PublishedPosition): boolean {
    if (!this.items.has(item.key) && !this.wasWrittenAfter(item, completeUntil)) return false
    const held = this.items.get(item.key) ?? this.tombstones.get(item.key)
    if (held !== undefined && !this.isNewer(item, held)) return false
    // The key was written and deleted, and only its deletion has arrived.
    if (item.value === undefined && held?.value === undefined) this.hasGap = true
    this.items.delete(item.key)
    this.tombstones.delete(item.key)
    if (item.value === undefined) this.addTombstone(item)
    else this.items.set(item.key, item)
    this.version = Math.max(this.version, this.getItemVersion(item))
    return true
  }

  /** Returns whether an item that this view lacks was written after a position up to which it has all keys; otherwise it was deleted since. */
  private wasWrittenAfter (item: PublishedItem, completeUntil: PublishedPosition): boolean {
    return this.getItemVersion(item) > 0 || (comparePositions(item, completeUntil) > 0 && !this.isOfEarlierEra(item))
  }

  /** Returns whether the store may have lost an item: it is of an earlier era and carries no version that would outlive the era. */
  private isOfEarlierEra (item: PublishedItem): boolean {
    return item.era < this.position.era && this.getItemVersion(item) === 0
  }

  private isNewer (item: PublishedItem, held: PublishedItem): boolean {
    const order = comparePositions(item, held)
    if (order === 0) return isInferredDeletion(item, held) && this.getItemVersion(held) === 0
    const versionOrder = this.getItemVersion(item) - this.getItemVersion(held)
    if (versionOrder === 0) return order > 0 && !this.isOfEarlierEra(item)
    if (versionOrder < 0 && order > 0) this.options.onIgnored?.(item, held)
    return versionOrder > 0
  }

  private getItemVersion (item: PublishedItem): number {
    return this.options.getVersion?.(item) ?? 0
  }

  private addTombstone (item: PublishedItem): void {
    this.tombstones.set(item.key, item)
    const [oldest] = this.tombstones.values()
    if (this.tombstones.size <= MAX_TOMBSTONES || oldest === undefined) return
    this.tombstones.delete(oldest.key)
    if (comparePositions(oldest, this.deletionsKnownAfter) > 0) this.deletionsKnownAfter = oldest
  }
}

/** A deletion that was inferred from a complete read carries the position of the read, which may equal that of the last write. */
function isInferredDeletion (item: PublishedItem, held: PublishedItem): boolean {
  return item.value === undefined && held.value !== undefined
}
