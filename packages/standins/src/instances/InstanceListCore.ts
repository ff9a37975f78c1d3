import { type Clock } from '@fescuespoke/common'
import { type ListedEntry, type PublishedList } from '@fescuespoke/schema'
import { Result } from 'true-myth'
import { type ErrorResponse } from '../http/ErrorResponse.js'
import { ChangeNotifier } from '../notifier/ChangeNotifier.js'

/** Fault of the list: `half` omits every second entry, `garbage` has entries that violate the schema. */
export type ListFault = 'none' | 'empty' | 'half' | 'garbage'

/** Options of the instance list. */
export interface InstanceListCoreOptions {
  readonly clock: Clock
  /** Delay in milliseconds until a change becomes visible; 0 if absent. */
  readonly lagMs?: number
}

interface ListVersion {
  readonly list: PublishedList
  readonly visibleAtMs: number
}

const INVALID_ENTRIES = [{ id: 7, role: 'unheard-of' }, null, 'entry'] as unknown as ListedEntry[]

const FAULT_TRANSFORMS: Record<ListFault, (entries: readonly ListedEntry[]) => ListedEntry[]> = {
  none: entries => [...entries],
  empty: () => [],
  half: entries => entries.filter((_, index) => index % 2 === 0),
  garbage: () => INVALID_ENTRIES
}

/** List of the live and leaving instances, independent of HTTP. Changes become visible after a delay. */
export class InstanceListCore {
  /**
   * Creates an empty list with version 0.
   * @param options - Options of the list.
   */
  static create (options: InstanceListCoreOptions): InstanceListCore {
    return new InstanceListCore(options)
  }

  private readonly entries = new Map<string, ListedEntry>()
  private readonly changeNotifier: ChangeNotifier
  /** Versions, oldest first. The first one is the visible version. */
  private readonly versions: ListVersion[] = [{ list: { version: 0, entries: [] }, visibleAtMs: 0 }]
  private version = 0
  private fault: ListFault = 'none'
  private isDown = false
  private callCount = 0

  /** @internal */
  private constructor (private readonly options: InstanceListCoreOptions) {
    this.changeNotifier = ChangeNotifier.create({ clock: options.clock })
  }

  /** Returns the number of calls so far. */
  getCallCount (): number {
    return this.callCount
  }

  /**
   * Adds or replaces entries in a new version.
   * @param entries - The entries.
   */
  setEntries (entries: readonly ListedEntry[]): void {
    for (const entry of entries) this.entries.set(entry.id, entry)
    this.publish()
  }

  /**
   * Sets the state of an entry. Does nothing if the entry is not listed.
   * @param id - Id of the entry.
   * @param state - New state.
   */
  setState (id: string, state: ListedEntry['state']): void {
    const entry = this.entries.get(id)
    if (entry !== undefined) this.setEntries([{ ...entry, state }])
  }

  /**
   * Removes an entry. Does nothing if the entry is not listed.
   * @param id - Id of the entry.
   */
  remove (id: string): void {
    if (this.entries.delete(id)) this.publish()
  }

  /**
   * Makes the list unavailable or available again. While it is unavailable, it rejects all calls.
   * @param isDown - Whether the list is unavailable.
   */
  setDown (isDown: boolean): void {
    this.isDown = isDown
    this.changeNotifier.notifyAll()
  }

  /**
   * Sets the fault of the list and publishes a new version with it.
   * @param fault - The fault.
   */
  setFault (fault: ListFault): void {
    this.fault = fault
    this.publish()
  }

  /**
   * Waits for a version later than the one that the client has.
   * @param after - Version that the client has.
   * @param waitMs - Maximum time to wait in milliseconds.
   * @param signal - Ends the wait early.
   * @returns The visible list, whether or not it is later, or an error response if the list is unavailable.
   */
  async watch (after: number, waitMs: number, signal?: AbortSignal): Promise<Result<PublishedList, ErrorResponse>> {
    this.callCount++
    await this.changeNotifier.waitUntil(waitMs, () => this.isDown || this.getVisibleList().version > after, signal)
    return this.isDown ? Result.err({ status: 503, error: 'down' }) : Result.ok(this.getVisibleList())
  }

  private publish (): void {
    const { clock, lagMs = 0 } = this.options
    this.version++
    const entries = FAULT_TRANSFORMS[this.fault]([...this.entries.values()])
    this.versions.push({ list: { version: this.version, entries }, visibleAtMs: clock.nowMs() + lagMs })
    if (lagMs === 0) this.changeNotifier.notifyAll()
    else clock.startTimer(lagMs, () => this.changeNotifier.notifyAll())
  }

  private getVisibleList (): PublishedList {
    const nowMs = this.options.clock.nowMs()
    while (this.versions.length > 1 && (this.versions[1] as ListVersion).visibleAtMs <= nowMs) this.versions.shift()
    return (this.versions[0] as ListVersion).list
  }
}
