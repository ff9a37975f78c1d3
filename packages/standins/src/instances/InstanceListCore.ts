import { type Clock } from '@fescuespoke/common'
import { type ListedEntry, type PublishedList } from '@fescuespoke/schema'
import { Result } from 'true-myth'
import { type ErrorResponse } from '../http/ErrorResponse.js'
import { ChangeNotifier } from '../notifier/ChangeNotifier.js'

/** What is wrong with the list: `half` lacks every second entry, `garbage` does not follow the schema. */
export type ListFault = 'none' | 'empty' | 'half' | 'garbage'

/** Options of the instance list. */
export interface InstanceListCoreOptions {
  readonly clock: Clock
  /** Delay until a change can be seen. */
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

/** A list of the live and leaving instances that lags behind. */
export class InstanceListCore {
  /**
   * Creates an empty list of version 0.
   * @param options - Options of the list.
   */
  static create (options: InstanceListCoreOptions): InstanceListCore {
    return new InstanceListCore(options)
  }

  private readonly entries = new Map<string, ListedEntry>()
  private readonly changeNotifier: ChangeNotifier
  /** Versions, oldest first; the first is the one shown. */
  private readonly versions: ListVersion[] = [{ list: { version: 0, entries: [] }, visibleAtMs: 0 }]
  private version = 0
  private fault: ListFault = 'none'
  private isDown = false
  private callCount = 0

  /** @internal */
  private constructor (private readonly options: InstanceListCoreOptions) {
    this.changeNotifier = ChangeNotifier.create({ clock: options.clock })
  }

  /** Gets the number of calls so far. */
  getCallCount (): number {
    return this.callCount
  }

  /**
   * Adds or replaces entries in one version.
   * @param entries - The entries.
   */
  setEntries (entries: readonly ListedEntry[]): void {
    for (const entry of entries) this.entries.set(entry.id, entry)
    this.publish()
  }

  /**
   * Sets whether an entry is live or leaving; does nothing when it is not listed.
   * @param id - Its id.
   * @param state - The state.
   */
  setState (id: string, state: ListedEntry['state']): void {
    const entry = this.entries.get(id)
    if (entry !== undefined) this.setEntries([{ ...entry, state }])
  }

  /**
   * Removes an entry.
   * @param id - Its id.
   */
  remove (id: string): void {
    if (this.entries.delete(id)) this.publish()
  }

  /**
   * Refuses all calls, or serves them again.
   * @param isDown - Whether it is down.
   */
  setDown (isDown: boolean): void {
    this.isDown = isDown
    this.changeNotifier.notifyAll()
  }

  /**
   * Sets what is wrong with the list, as a new version.
   * @param fault - The fault.
   */
  setFault (fault: ListFault): void {
    this.fault = fault
    this.publish()
  }

  /**
   * Waits for a version later than the one known and returns the list.
   * @param after - Version that the reader has.
   * @param waitMs - Longest wait in milliseconds.
   * @param signal - Ends the wait early.
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
