import { type AuditEntry, type AuditTrail, type Clock } from '@fescuespoke/common'
import { type ListedEntry, type PublishedList } from '@fescuespoke/schema'
import { BoundedSet } from './BoundedSet.js'
import { compareLists, type ListDifference } from './compareLists.js'

/** State of a target as far as the instance list tells. */
export type ListedState = 'active' | 'leaving' | 'unknown'

/** What became of an offered list. */
export type ListUpdateOutcome = 'accepted' | 'current' | 'older' | 'empty' | 'shrunk'

/** What the list tells of one target, with its age. */
export interface ListedTargetState {
  readonly state: ListedState
  /** Time since the request was sent whose answer confirmed the state; infinite when nothing has. */
  readonly ageMs: number
}

/** Receives each change of the list. */
export type ListListener = (view: InstanceListView) => void

/** Options of an instance list view. */
export interface InstanceListViewOptions {
  readonly clock: Clock
  readonly audit: AuditTrail
  /** Gets the accepted configuration revision, for audit events. */
  readonly getRevision?: () => number
}

/** Share of the last good list below which a new one is taken for damaged. */
const MIN_REMAINING_FRACTION = 0.5

/** Number of targets remembered as leaving after the list has dropped them. */
const MAX_RETAINED_REMOVALS = 10_000

/**
 * Holds the last good list of instances and targets. Its version only rises. A list that is empty or has shrunk to
 * under half removes nothing, since the platform may have lost sight of machines that still run.
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
  /** Entries of the last good list, without those kept from before it. */
  private acceptedEntries: ReadonlyMap<string, ListedEntry> = new Map()
  /** Entries in use, sorted by name. */
  private sortedEntries: readonly ListedEntry[] = []
  private instances: readonly ListedEntry[] = []
  private confirmedAtMs = -Infinity
  /** Versions of shrunk lists by the target that they called leaving. */
  private readonly leavingVersions = new Map<string, number>()
  private readonly removedLeavingTargets = BoundedSet.create(MAX_RETAINED_REMOVALS)
  private readonly changeVersions = new Map<string, number>()
  private oldestComparableVersion = 0
  private readonly listeners = new Set<ListListener>()

  /** @internal */
  private constructor (private readonly options: InstanceListViewOptions) {}

  /** Gets the version of the last good list; 0 before the first. */
  getVersion (): number {
    return this.version
  }

  /** Gets the time in milliseconds since the list was last confirmed, counted from the sending of the request. */
  getAgeMs (): number {
    return this.options.clock.nowMs() - this.confirmedAtMs
  }

  /** Lists all entries in use, sorted by name. */
  listEntries (): readonly ListedEntry[] {
    return this.sortedEntries
  }

  /** Lists the entry instances, sorted by name. */
  listInstances (): readonly ListedEntry[] {
    return this.instances
  }

  /**
   * Gets what the list tells of a target. A target that was leaving stays so until a later version says otherwise.
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
   * Offers a list.
   * @param list - The list.
   * @param origin - Who offers it, for operators.
   * @param sentAtMs - Reading of the clock when the request was sent; for a peer's list, less the age that the peer stated.
   */
  offer (list: PublishedList, origin: string, sentAtMs: number = this.options.clock.nowMs()): ListUpdateOutcome {
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
   * Records that a version was named as the latest one.
   * @param version - The version named.
   * @param sentAtMs - Reading of the clock when the question was sent; for a peer, less the age that it stated.
   */
  recordConfirmation (version: number, sentAtMs: number): void {
    if (version === this.version && version > 0) this.confirmedAtMs = Math.max(this.confirmedAtMs, sentAtMs)
  }

  /**
   * Finds the differences between an earlier version and this one; undefined when the version is too old to tell.
   * @param version - The earlier version.
   */
  findDifference (version: number): ListDifference | undefined {
    if (version < this.oldestComparableVersion || version > this.version) return undefined
    const names = [...this.changeVersions].filter(([, at]) => at > version).map(([name]) => name).sort()
    const changed = names.flatMap(name => this.acceptedEntries.get(name) ?? [])
    return { changed, removed: names.filter(name => !this.acceptedEntries.has(name)) }
  }

  /** Gets the entries of the last good list by name, without those kept from before it. The map does not change later. */
  getAcceptedEntries (): ReadonlyMap<string, ListedEntry> {
    return this.acceptedEntries
  }

  /**
   * Adds a listener and returns what removes it.
   * @param listener - Receives each change of the list.
   */
  addListener (listener: ListListener): () => void {
    this.listeners.add(listener)
    return () => { this.listeners.delete(listener) }
  }

  private acceptList (list: PublishedList, origin: string, sentAtMs: number): ListUpdateOutcome {
    const next = new Map(list.entries.map(entry => [entry.id, this.retainLeavingState(entry, list.version)]))
    const difference = compareLists(this.entries, next)
    // Peers hold the last good list, without what a shrunk one has added to it here.
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

  /** Takes over additions and leaving marks from a list that is too short to remove anything. */
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

  /** Keeps an entry leaving when a later list than the offered one has called it so. */
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
    for (const [id, at] of this.changeVersions) {
      if (this.changeVersions.size <= this.acceptedCount * 2 + MAX_RETAINED_REMOVALS) return
      this.changeVersions.delete(id)
      this.oldestComparableVersion = Math.max(this.oldestComparableVersion, at)
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
