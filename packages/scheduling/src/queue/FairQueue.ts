import { type Priority } from '@fescuespoke/schema'

/** What the queue has to know of an entry. */
export interface QueuedItem {
  readonly workspace: string
  readonly priority: Priority
  /** Weight of the workspace. */
  readonly weight: number
  /** Expected work, in tokens. */
  readonly cost: number
}

interface Entry<T> {
  readonly item: T
  readonly startTag: number
  readonly order: number
}

/** Classes in the order in which they are served. */
export const PRIORITIES: readonly Priority[] = ['high', 'normal', 'low']

/** Order of entries within one priority. */
export type QueueOrder = 'fair' | 'arrival'

/**
 * Orders waiting items by priority, and within one priority by start-time fair queueing over the workspaces.
 * Source: P. Goyal, H. Vin and H. Cheng, "Start-time fair queueing", 1996.
 */
export class FairQueue<T extends QueuedItem> {
  /**
   * Creates an empty queue.
   * @param order - Whether workspaces share fairly or items are served as they arrive.
   */
  static create<T extends QueuedItem>(order: QueueOrder): FairQueue<T> {
    return new FairQueue<T>(order)
  }

  private readonly classes = new Map<Priority, Entry<T>[]>(PRIORITIES.map(priority => [priority, []]))
  private readonly finishTags = new Map<string, number>()
  private virtualTime = 0
  private nextOrder = 0

  /** @internal */
  private constructor (private readonly order: QueueOrder) {}

  /**
   * Adds an item.
   * @param item - The item.
   */
  add (item: T): void {
    const entries = this.getClass(item)
    const entry = { item, startTag: this.takeStartTag(item), order: this.nextOrder++ }
    const index = entries.findIndex(other => compareEntries(entry, other) < 0)
    if (index < 0) entries.push(entry)
    else entries.splice(index, 0, entry)
  }

  /**
   * Removes an item that was served or gave up.
   * @param item - The item.
   * @param wasServed - Whether it was served, which moves the virtual time.
   */
  remove (item: T, wasServed: boolean): void {
    const entries = this.getClass(item)
    const index = entries.findIndex(entry => entry.item === item)
    const entry = entries[index]
    if (entry === undefined) return
    entries.splice(index, 1)
    if (wasServed) this.virtualTime = Math.max(this.virtualTime, entry.startTag)
  }

  /** Lists the items in the order in which they would be served. */
  list (): T[] {
    return PRIORITIES.flatMap(priority => (this.classes.get(priority) ?? []).map(entry => entry.item))
  }

  /** Counts the items. */
  count (): number {
    return PRIORITIES.reduce((sum, priority) => sum + (this.classes.get(priority)?.length ?? 0), 0)
  }

  /**
   * Estimates the work that would be served before a new item.
   * @param item - The new item.
   * @param isCounted - Tells whether an entry competes with the item.
   */
  estimateWorkBefore (item: QueuedItem, isCounted: (other: T) => boolean): number {
    const startTag = this.order === 'arrival' ? Infinity : this.computeStartTag(item)
    const rank = PRIORITIES.indexOf(item.priority)
    let work = 0
    for (const entry of this.iterate()) {
      const otherRank = PRIORITIES.indexOf(entry.item.priority)
      const isBefore = otherRank < rank || (otherRank === rank && entry.startTag <= startTag)
      if (isBefore && isCounted(entry.item)) work += entry.item.cost
    }
    return work
  }

  private * iterate (): Generator<Entry<T>> {
    for (const entries of this.classes.values()) yield * entries
  }

  private getClass (item: QueuedItem): Entry<T>[] {
    return this.classes.get(item.priority) as Entry<T>[]
  }

  private takeStartTag (item: QueuedItem): number {
    if (this.order === 'arrival') return 0
    const startTag = this.computeStartTag(item)
    this.finishTags.set(formatFlow(item), startTag + item.cost / item.weight)
    return startTag
  }

  private computeStartTag (item: QueuedItem): number {
    return Math.max(this.virtualTime, this.finishTags.get(formatFlow(item)) ?? 0)
  }
}

function formatFlow (item: QueuedItem): string {
  return `${item.priority}\u0000${item.workspace}`
}

function compareEntries<T> (a: Entry<T>, b: Entry<T>): number {
  return a.startTag - b.startTag || a.order - b.order
}
