import { type Priority } from '@fescuespoke/schema'

/** Properties of an item that determine its position in the queue. */
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
  readonly arrivalNumber: number
}

/** Class of each priority. A lower class is served first. */
const PRIORITY_CLASSES: Record<Priority, number> = { high: 0, normal: 1, low: 1 }
const PRIORITY_CLASS_COUNT = 2

/** Factor by which each priority scales the weight of the workspace. Low priority shares its class with normal priority, at a smaller weight. */
const WEIGHT_FACTORS: Record<Priority, number> = { high: 1, normal: 1, low: 0.25 }

/** Order of entries within one priority class. */
export type QueueOrder = 'fair' | 'arrival'

/**
 * Orders waiting items by priority class, high priority first. Within a class it applies start-time fair queueing over workspaces and priorities.
 * Source: P. Goyal, H. Vin and H. Cheng, "Start-time fair queueing", 1996.
 */
export class FairQueue<T extends QueuedItem> {
  /**
   * Creates an empty queue.
   * @param order - Whether items are served by fair queueing over workspaces or in order of arrival.
   */
  static create<T extends QueuedItem>(order: QueueOrder): FairQueue<T> {
    return new FairQueue<T>(order)
  }

  private readonly entriesByClass: ReadonlyArray<Array<Entry<T>>> = Array.from({ length: PRIORITY_CLASS_COUNT }, () => [])
  private readonly finishTags = new Map<string, number>()
  private virtualTime = 0
  private nextArrivalNumber = 0

  /** @internal */
  private constructor (private readonly order: QueueOrder) {}

  /**
   * Adds an item.
   * @param item - The item.
   */
  add (item: T): void {
    const entries = this.getClassEntries(item)
    const entry = { item, startTag: this.assignStartTag(item), arrivalNumber: this.nextArrivalNumber++ }
    const index = entries.findIndex(other => compareEntries(entry, other) < 0)
    if (index < 0) entries.push(entry)
    else entries.splice(index, 0, entry)
  }

  /**
   * Removes an item that was served, refused or cancelled.
   * @param item - The item.
   * @param wasServed - Whether it was served, which advances the virtual time.
   */
  remove (item: T, wasServed: boolean): void {
    const entries = this.getClassEntries(item)
    const index = entries.findIndex(entry => entry.item === item)
    const entry = entries[index]
    if (entry === undefined) return
    entries.splice(index, 1)
    if (wasServed) this.virtualTime = Math.max(this.virtualTime, entry.startTag)
  }

  /** Returns the items in the order in which they would be served. */
  list (): T[] {
    return this.entriesByClass.flatMap(entries => entries.map(entry => entry.item))
  }

  /** Returns the number of items. */
  count (): number {
    return this.entriesByClass.reduce((sum, entries) => sum + entries.length, 0)
  }

  /**
   * Estimates the work that would be served before a new item, in tokens.
   * @param item - The new item.
   * @param isCompeting - Returns whether a queued item competes with the new one.
   */
  estimateWorkAhead (item: QueuedItem, isCompeting: (other: T) => boolean): number {
    const startTag = this.order === 'arrival' ? Infinity : this.computeStartTag(item)
    const priorityClass = PRIORITY_CLASSES[item.priority]
    let work = 0
    this.entriesByClass.slice(0, priorityClass + 1).forEach((entries, otherClass) => {
      for (const entry of entries) {
        const isAhead = otherClass < priorityClass || entry.startTag <= startTag
        if (isAhead && isCompeting(entry.item)) work += entry.item.cost
      }
    })
    return work
  }

  private getClassEntries (item: QueuedItem): Array<Entry<T>> {
    return this.entriesByClass[PRIORITY_CLASSES[item.priority]] as Array<Entry<T>>
  }

  private assignStartTag (item: QueuedItem): number {
    if (this.order === 'arrival') return 0
    const startTag = this.computeStartTag(item)
    this.finishTags.set(formatFlowKey(item), startTag + item.cost / (item.weight * WEIGHT_FACTORS[item.priority]))
    return startTag
  }

  private computeStartTag (item: QueuedItem): number {
    return Math.max(this.virtualTime, this.finishTags.get(formatFlowKey(item)) ?? 0)
  }
}

function formatFlowKey (item: QueuedItem): string {
  return `${item.priority}\u0000${item.workspace}`
}

function compareEntries<T> (a: Entry<T>, b: Entry<T>): number {
  return a.startTag - b.startTag || a.arrivalNumber - b.arrivalNumber
}
