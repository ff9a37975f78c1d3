import { type Priority } from '@fescuespoke/schema'

/** Priority of a queued item: a named one, or the number of a class, of which 0 is the highest. */
export type QueuePriority = Priority | number

/** Properties of an item that determine its position in the queue. */
export interface QueuedItem {
  readonly workspace: string
  readonly priority: QueuePriority
  /** Weight of the workspace. */
  readonly weight: number
  /** Expected work, in tokens. */
  readonly cost: number
  /** Position among the items of its workspace and priority, lowest first; by default they are served in the order in which they were added. */
  readonly rank?: number
}

interface Entry<T> {
  readonly item: T
  startTag: number
  readonly arrivalNumber: number
}

/** Class of each named priority. A lower class is served first. */
const PRIORITY_CLASSES: Record<Priority, number> = { high: 0, normal: 1, low: 1 }

/** Factor by which each named priority scales the weight of the workspace. Low priority shares its class with normal priority, at a smaller weight. */
const WEIGHT_FACTORS: Record<Priority, number> = { high: 1, normal: 1, low: 0.25 }

/** Virtual clock that all named priorities share. */
const SHARED_CLOCK = 'named'

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

  /** Entries of each class in the order in which they would be served, and the classes from the highest. */
  private readonly entriesByClass = new Map<number, Array<Entry<T>>>()
  private classes: readonly number[] = []
  private readonly finishTags = new Map<string, number>()
  private readonly virtualTimes = new Map<number | typeof SHARED_CLOCK, number>()
  private nextArrivalNumber = 0

  /** @internal */
  private constructor (private readonly order: QueueOrder) {}

  /**
   * Adds an item.
   * @param item - The item.
   */
  add (item: T): void {
    const entries = this.getClassEntries(item)
    const firstTag = this.order === 'fair' && this.findYounger(entries, item) !== undefined ? this.findFirstTag(item) : undefined
    const entry = { item, startTag: this.assignStartTag(item), arrivalNumber: this.nextArrivalNumber++ }
    const index = entries.findIndex(other => compareEntries(entry, other) < 0)
    if (index < 0) entries.push(entry)
    else entries.splice(index, 0, entry)
    if (firstTag !== undefined) this.renewTags(item, firstTag)
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
    if (wasServed) this.virtualTimes.set(getVirtualClock(item), Math.max(this.getVirtualTime(item), entry.startTag))
    this.dropPastTag(item)
  }

  /**
   * Removes an item that was not served, and moves the later items of its workspace up.
   * @param item - The item.
   */
  withdraw (item: T): void {
    const firstTag = this.findFirstTag(item)
    this.remove(item, false)
    if (firstTag !== undefined && this.order === 'fair') this.renewTags(item, firstTag)
  }

  /**
   * Gives the cost of a removed item back to its workspace, because the target refused it.
   * @param item - The item.
   */
  refund (item: QueuedItem): void {
    const flowKey = formatFlowKey(item)
    const finishTag = this.finishTags.get(flowKey)
    if (finishTag === undefined) return
    const firstTag = this.findFirstTag(item) ?? finishTag
    this.renewTags(item, firstTag - computeWeightedCost(item))
  }

  /** Returns the items in the order in which they would be served. */
  list (): T[] {
    return this.classes.flatMap(priorityClass => this.entriesByClass.get(priorityClass)?.map(entry => entry.item) ?? [])
  }

  /** Returns the number of items. */
  count (): number {
    let sum = 0
    for (const entries of this.entriesByClass.values()) sum += entries.length
    return sum
  }

  /**
   * Estimates the work that would be served before a new item, in tokens.
   * @param item - The new item.
   * @param isCompeting - Returns whether a queued item competes with the new one.
   */
  estimateWorkAhead (item: QueuedItem, isCompeting: (other: T) => boolean): number {
    const priorityClass = getPriorityClass(item)
    const younger = this.order === 'fair' ? this.findYounger(this.getClassEntries(item), item) : undefined
    const startTag = this.order === 'arrival' ? Infinity : younger?.startTag ?? this.computeStartTag(item)
    let work = 0
    for (const [otherClass, entries] of this.entriesByClass) {
      if (otherClass > priorityClass) continue
      for (const entry of entries) {
        const isAhead = otherClass < priorityClass || (entry.startTag <= startTag && !isYounger(entry.item, item, younger !== undefined))
        if (isAhead && isCompeting(entry.item)) work += entry.item.cost
      }
    }
    return work
  }

  /** Finds the first entry of the same workspace and priority that has to wait for a new item of a lower rank. */
  private findYounger (entries: ReadonlyArray<Entry<T>>, item: QueuedItem): Entry<T> | undefined {
    return item.rank === undefined ? undefined : entries.find(entry => isYounger(entry.item, item, true))
  }

  private getClassEntries (item: QueuedItem): Array<Entry<T>> {
    const priorityClass = getPriorityClass(item)
    let entries = this.entriesByClass.get(priorityClass)
    if (entries === undefined) {
      entries = []
      this.entriesByClass.set(priorityClass, entries)
      this.classes = [...this.entriesByClass.keys()].sort((a, b) => a - b)
    }
    return entries
  }

  /** Returns the earliest start tag among the queued items of the workspace and priority of an item. */
  private findFirstTag (item: QueuedItem): number | undefined {
    const flow = this.listFlow(item)
    return flow.length === 0 ? undefined : Math.min(...flow.map(({ startTag }) => startTag))
  }

  private listFlow (item: QueuedItem): Array<Entry<T>> {
    const flowKey = formatFlowKey(item)
    return this.getClassEntries(item).filter(entry => formatFlowKey(entry.item) === flowKey)
  }

  /** Assigns the start tags of a workspace and priority anew in the order of rank. */
  private renewTags (item: QueuedItem, firstTag: number): void {
    let nextTag = Math.max(this.getVirtualTime(item), firstTag)
    for (const entry of this.listFlow(item).sort(compareRanks)) {
      entry.startTag = nextTag
      nextTag += computeWeightedCost(entry.item)
    }
    this.finishTags.set(formatFlowKey(item), nextTag)
    this.getClassEntries(item).sort(compareEntries)
    this.dropPastTag(item)
  }

  private assignStartTag (item: QueuedItem): number {
    if (this.order === 'arrival') return 0
    const startTag = this.computeStartTag(item)
    this.finishTags.set(formatFlowKey(item), startTag + computeWeightedCost(item))
    return startTag
  }

  private computeStartTag (item: QueuedItem): number {
    return Math.max(this.getVirtualTime(item), this.finishTags.get(formatFlowKey(item)) ?? 0)
  }

  private getVirtualTime (item: QueuedItem): number {
    return this.virtualTimes.get(getVirtualClock(item)) ?? 0
  }

  /** Drops the finish tag of a workspace that the virtual time has passed, so that tags do not accumulate. */
  private dropPastTag (item: QueuedItem): void {
    const flowKey = formatFlowKey(item)
    const finishTag = this.finishTags.get(flowKey)
    if (finishTag !== undefined && finishTag <= this.getVirtualTime(item)) this.finishTags.delete(flowKey)
  }
}

function getPriorityClass ({ priority }: QueuedItem): number {
  return typeof priority === 'number' ? priority : PRIORITY_CLASSES[priority]
}

/** Returns the virtual clock of an item. Each numeric class has its own, so that work of a more urgent class cancels no debt of a workspace in another. */
function getVirtualClock ({ priority }: QueuedItem): number | typeof SHARED_CLOCK {
  return typeof priority === 'number' ? priority : SHARED_CLOCK
}

function computeWeightedCost ({ priority, weight, cost }: QueuedItem): number {
  return cost / (weight * (typeof priority === 'number' ? 1 : WEIGHT_FACTORS[priority]))
}

function formatFlowKey (item: QueuedItem): string {
  return `${item.priority}\u0000${item.workspace}`
}

/** Returns whether a queued item has to wait for a new one of the same workspace and priority. */
function isYounger (queued: QueuedItem, added: QueuedItem, hasRank: boolean): boolean {
  return hasRank && queued.workspace === added.workspace && queued.priority === added.priority && (queued.rank ?? 0) > (added.rank ?? 0)
}

function compareRanks<T extends QueuedItem> (a: Entry<T>, b: Entry<T>): number {
  return (a.item.rank ?? 0) - (b.item.rank ?? 0) || a.arrivalNumber - b.arrivalNumber
}

function compareEntries<T extends QueuedItem> (a: Entry<T>, b: Entry<T>): number {
  return a.startTag - b.startTag || compareRanks(a, b)
}
