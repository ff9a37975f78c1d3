import { type AuditEntry, type AuditTrail, type Clock } from '@fescuespoke/common'
import { type ListedEntry, type PublishedList } from '@fescuespoke/schema'
import { BoundedSet } from './BoundedSet.js'
import { compareLists, type ListDifference } from './compareLists.js'

/** State of a target; unknown when no source has reported it. */
export type TargetAvailability = 'active' | 'leaving' | 'unknown'

/** Result of an update with a list. */
export type ListUpdateOutcome = 'accepted' | 'current' | 'older' | 'empty' | 'shrunk'

/** State of a target according to the instance list, with its age. */
export interface ListedTargetState {
  readonly state: TargetAvailability
  /** Time since the request that last confirmed the state was sent, in milliseconds; infinite when the state was never confirmed. */
  readonly ageMs: number
}

/** Called after each change of the list. */
export type ListListener = (view: InstanceListView) => void

/** Options of an instance list view. */
export interface InstanceListViewOptions {
  readonly clock: Clock
  readonly audit: AuditTrail
  /** Returns the accepted configuration revision, which is recorded in audit events. */
  readonly getRevision?: () => number
}

/** Fraction of the size of the last accepted list below which a new list is assumed to be incomplete. */
const MIN_REMAINING_FRACTION = 0.5

/** Maximum number of targets whose leaving state is retained after their removal from the list. */
const MAX_RETAINED_REMOVALS = 10_000

/**
 * Holds the last accepted list of instances and targets. Its version never decreases. A list that is empty or has
 * shrunk to less than half removes no entries, because the platform may fail to detect machines that are still running.
 */
export class InstanceListView {
  /**
   * Creates an empty view at version 0.
   * @param options - Options of the view.
   */
  static create (options: InstanceListViewOptions): InstanceListView {
    return new InstanceListView(options)
  }

  private version = 0
  private acceptedCount = 0
  private entries: ReadonlyMap<string, ListedEntry> = new Map()
  /** Entries of the last accepted list, without the additions of later shrunk lists. */
  private acceptedEntries: ReadonlyMap<string, ListedEntry> = new Map()
  /** Current entries, sorted by name. */
  private sortedEntries: readonly ListedEntry[] = []
  private instances: readonly ListedEntry[] = []
  private confirmedAtMs = -Infinity
  /** Version of the latest shrunk list that marked an entry as leaving, by name of the entry. */
  private readonly leavingVersions = new Map<string, number>()
  private readonly removedLeavingTargets = BoundedSet.create(MAX_RETAINED_REMOVALS)
  private readonly changeVersions = new Map<string, number>()
  private oldestComparableVersion = 0
  private readonly listeners = new Set<ListListener>()

  /** @internal */
  private constructor (private readonly options: InstanceListViewOptions) {}

  /** Returns the version of the last accepted list; 0 before the first. */
  getVersion (): number {
    return this.version
  }

  /** Returns the time in milliseconds since the last request that confirmed the list was sent; infinite before the first. */
  getAgeMs (): number {
    return this.options.clock.nowMs() - this.confirmedAtMs
  }

  /** Lists all current entries, sorted by name. */
  listEntries (): readonly ListedEntry[] {
    return this.sortedEntries
  }

  /** Lists the current entries with the role `entry`, which are the instances, sorted by name. */
  listInstances (): readonly ListedEntry[] {
    return this.instances
  }

  /**
   * Returns the state of a target according to the list. A leaving target stays leaving until a later version lists it
   * as live.
   * @param name - Name of the target.
   */
  getTargetState (name: string): ListedTargetState {
    const entry = this.entries.get(name)
    if (entry?.state === 'leaving' || (entry === undefined && this.removedLeavingTargets.has(name))) {
      return { state: 'leaving', ageMs: this.getAgeMs() }
    }
    if (entry === undefined) return { state: 'unknown', ageMs: Infinity }
    return { state: 'active', ageMs: this.acceptedEntries.has(name) ? this.getAgeMs() : Infinity }
  }

  /**
   * Updates the view with a list, unless the list is empty or older than the accepted one.
   * @param list - The list.
   * @param origin - Source of the list, as shown in audit events.
   * @param sentAtMs - Clock time at which the request was sent; for a list from a peer, minus the age that the peer reported.
   * @returns How the list was handled.
   */
  update (list: PublishedList, origin: string, sentAtMs: number = this.options.clock.nowMs()): ListUpdateOutcome {
    if (list.entries.length === 0) return 'empty'
    if (list.version < this.version) return 'older'
    if (list.version === this.version) {
      this.recordConfirmation(list.version, sentAtMs)
      return 'current'
    }
    return list.entries.length < this.acceptedCount * MIN_REMAINING_FRACTION
      ? this.mergeShrunkList(list, origin)
      : this.acceptList(list, origin, sentAtMs)
  }

  /**
   * Records that a source reported a version as its latest one. Has no effect unless it is the accepted version.
   * @param version - The reported version.
   * @param sentAtMs - Clock time at which the request was sent; for a peer, minus the age that the peer reported.
   */
  recordConfirmation (version: number, sentAtMs: number): void {
    if (version === this.version && version > 0) this.confirmedAtMs = Math.max(this.confirmedAtMs, sentAtMs)
  }

  /**
   * Finds the differences between an earlier version and the accepted one.
   * @param version - The earlier version.
   * @returns The differences; undefined when the version is too old or higher than the accepted one.
   */
  findDifference (version: number): ListDifference | undefined {
    if (version < this.oldestComparableVersion || version > this.version) return undefined
    const names = [...this.changeVersions].filter(([, changeVersion]) => changeVersion > version).map(([name]) => name).sort()
    const changed = names.flatMap(name => this.acceptedEntries.get(name) ?? [])
    return { changed, removed: names.filter(name => !this.acceptedEntries.has(name)) }
  }

  /** Returns the entries of the last accepted list by name, without the additions of later shrunk lists. The map is never modified. */
  getAcceptedEntries (): ReadonlyMap<string, ListedEntry> {
    return this.acceptedEntries
  }

  /**
   * Adds a listener.
   * @param listener - Called after each change of the list.
   * @returns A function that removes the listener.
   */
  addListener (listener: ListListener): () => void {
    this.listeners.add(listener)
    return () => { this.listeners.delete(listener) }
  }

  private acceptList (list: PublishedList, origin: string, sentAtMs: number): ListUpdateOutcome {
    const next = new Map(list.entries.map(entry => [entry.id, this.retainLeavingState(entry, list.version)]))
    const difference = compareLists(this.entries, next)
    // Differences for peers are based on the last accepted list, because peers lack the additions of shrunk lists.
    this.recordChangeVersions(compareLists(this.acceptedEntries, next), list.version)
    this.recordRemovedLeavingTargets(difference, next)
    this.recordAuditEvents(difference, list.version, origin)
    this.acceptedEntries = next
    this.version = list.version
    this.acceptedCount = next.size
    this.confirmedAtMs = sentAtMs
    this.replaceEntries(next)
    return 'accepted'
  }

  /** Merges the additions and leaving states of a list that is too short to remove entries. */
  private mergeShrunkList (list: PublishedList, origin: string): ListUpdateOutcome {
    const next = new Map(this.entries)
    for (const entry of list.entries) {
      const existing = next.get(entry.id)
      const canAdd = existing === undefined && next.size < this.acceptedCount * 2
      const isLeaving = existing !== undefined && entry.state === 'leaving'
      if (isLeaving) this.leavingVersions.set(entry.id, list.version)
      if (canAdd || isLeaving) next.set(entry.id, entry)
    }
    const difference = compareLists(this.entries, next)
    if (difference.changed.length === 0) return 'shrunk'
    this.recordAuditEvents(difference, list.version, `${origin}, shrunk list`)
    this.replaceEntries(next)
    return 'shrunk'
  }

  /** Keeps an entry leaving when a shrunk list of the same or a later version marked it as leaving. */
  private retainLeavingState (entry: ListedEntry, version: number): ListedEntry {
    const leavingVersion = this.leavingVersions.get(entry.id)
    if (leavingVersion === undefined) return entry
    if (leavingVersion >= version) return { ...entry, state: 'leaving' }
    this.leavingVersions.delete(entry.id)
    return entry
  }

  private recordChangeVersions (difference: ListDifference, version: number): void {
    if (this.version === 0) this.oldestComparableVersion = version
    for (const { id } of difference.changed) this.changeVersions.set(id, version)
    for (const id of difference.removed) this.changeVersions.set(id, version)
    for (const [id, changeVersion] of this.changeVersions) {
      if (this.changeVersions.size <= this.acceptedCount * 2 + MAX_RETAINED_REMOVALS) return
      this.changeVersions.delete(id)
      this.oldestComparableVersion = Math.max(this.oldestComparableVersion, changeVersion)
    }
  }

  private recordRemovedLeavingTargets (difference: ListDifference, next: ReadonlyMap<string, ListedEntry>): void {
    for (const id of difference.removed) {
      if (this.entries.get(id)?.state === 'leaving') this.removedLeavingTargets.add(id)
    }
    for (const id of next.keys()) this.removedLeavingTargets.remove(id)
  }

  private recordAuditEvents (difference: ListDifference, version: number, origin: string): void {
    const cause = `instance list version ${version} from ${origin}`
    if (this.version === 0) return
    for (const entry of difference.changed) {
      const before = this.entries.get(entry.id)
      this.recordAuditEvent(AUDIT_EVENT_KINDS[entry.role][classifyChange(before, entry)], entry.id, cause, before?.state, entry.state)
    }
    for (const id of difference.removed) {
      const before = this.entries.get(id) as ListedEntry
      this.recordAuditEvent(AUDIT_EVENT_KINDS[before.role].left, id, cause, before.state, 'absent')
    }
  }

  private recordAuditEvent (kind: AuditEntry['kind'] | undefined, subject: string, cause: string, before: string | undefined, after: string): void {
    if (kind === undefined) return
    const revision = this.options.getRevision?.() ?? 0
    this.options.audit.record({ kind, subject, revision, cause, before: before ?? 'absent', after })
  }

  private replaceEntries (entries: ReadonlyMap<string, ListedEntry>): void {
    this.entries = entries
    this.sortedEntries = [...entries.values()].sort((a, b) => a.id < b.id ? -1 : 1)
    this.instances = this.sortedEntries.filter(entry => entry.role === 'entry')
    for (const listener of this.listeners) listener(this)
  }
}

type EntryChange = 'joined' | 'leaving' | 'left' | 'amended'

const AUDIT_EVENT_KINDS: Record<ListedEntry['role'], Partial<Record<EntryChange, AuditEntry['kind']>>> = {
  target: { joined: 'targetJoined', leaving: 'targetLeaving', left: 'targetLeft' },
  entry: { joined: 'instanceJoined', left: 'instanceLeft' }
}

function classifyChange (before: ListedEntry | undefined, after: ListedEntry): EntryChange {
  if (after.state === 'leaving' && before?.state !== 'leaving') return 'leaving'
  if (before === undefined || before.state !== after.state) return 'joined'
  return 'amended'
}
