import { type AuditTrail, type Clock, type Snapshot } from '@fescuespoke/common'
import { type KeptRecord, type RefusedRecord } from '@fescuespoke/schema'
import { type AcceptedRecords, NO_ACCEPTED_RECORDS } from '../records/AcceptedRecords.js'
import { convertRecords, mergeKeptRecords } from '../records/convertRecords.js'
import { computeDigest } from './computeDigest.js'
import { KeyHistory } from './KeyHistory.js'

/** Published values, as JSON text by key. */
export type ValuesByKey = Readonly<Record<string, string>>

/** Result of an update with a published state. */
export type UpdateOutcome = 'accepted' | 'current' | 'older' | 'conflicting'

/** Called with each newly accepted snapshot. */
export type SnapshotListener = (snapshot: Snapshot) => void

/** Options of a configuration view. */
export interface ConfigurationViewOptions {
  readonly clock: Clock
  readonly audit: AuditTrail
}

/** Options of an update. */
export interface UpdateOptions {
  /** Clock time at which the request for the state was sent; the current time when absent. */
  readonly sentAtMs?: number
  /** Records that the sending peer keeps in force in place of refused ones. */
  readonly kept?: readonly KeptRecord[]
}

/** Holds the accepted revision of the published records. It never returns to a lower revision. */
export class ConfigurationView {
  /**
   * Creates a view without any records, at revision 0.
   * @param options - Options of the view.
   */
  static create (options: ConfigurationViewOptions): ConfigurationView {
    return new ConfigurationView(options)
  }

  private accepted: AcceptedRecords = NO_ACCEPTED_RECORDS
  private values: ValuesByKey = {}
  private digest = computeDigest({})
  private readonly history = KeyHistory.create()
  private readonly listeners = new Set<SnapshotListener>()
  private confirmedAtMs: number | undefined

  /** @internal */
  private constructor (private readonly options: ConfigurationViewOptions) {}

  /** Returns the accepted revision; 0 before the first. */
  getRevision (): number {
    return this.accepted.revision
  }

  /** Returns the snapshot of the records in force. */
  getSnapshot (): Snapshot {
    return this.accepted.snapshot
  }

  /** Returns the published values of the accepted revision. */
  getValues (): ValuesByKey {
    return this.values
  }

  /** Returns the digest of the published values of the accepted revision. */
  getDigest (): string {
    return this.digest
  }

  /** Returns the history of the changes of keys that this instance has received. */
  getHistory (): KeyHistory {
    return this.history
  }

  /** Returns a digest of the records that stay in force in place of refused ones. */
  getKeptDigest (): string {
    const entries = this.accepted.kept.map(({ key, revision, text }) => [`${key} ${revision} ${text}`, ''])
    return computeDigest(Object.fromEntries(entries) as ValuesByKey)
  }

  /** Lists the refused records of the accepted revision. */
  listRefused (): readonly RefusedRecord[] {
    return this.accepted.refused
  }

  /** Lists the records that stay in force in place of refused ones. */
  listKept (): readonly KeptRecord[] {
    return this.accepted.kept
  }

  /** Returns the time in milliseconds since the accepted revision was last confirmed as the highest one; infinite before the first confirmation. */
  getAgeMs (): number {
    return this.confirmedAtMs === undefined ? Infinity : this.options.clock.nowMs() - this.confirmedAtMs
  }

  /**
   * Updates the view with a whole published state. Ignores a revision that is lower than the accepted one.
   * @param values - All values of the state, as JSON text by key.
   * @param revision - Revision of the state.
   * @param origin - Source of the state, as shown in audit events.
   * @param details - Options of the update.
   * @returns How the state was handled.
   */
  update (values: ValuesByKey, revision: number, origin: string, details: UpdateOptions = {}): UpdateOutcome {
    if (revision < this.accepted.revision) return 'older'
    if (revision > this.accepted.revision) {
      this.acceptValues(values, revision, origin, details.kept ?? [])
      this.recordConfirmation(revision, details.sentAtMs)
      return 'accepted'
    }
    if (computeDigest(values) !== this.digest) return 'conflicting'
    this.applyKeptRecords(details.kept ?? [], origin)
    this.recordConfirmation(revision, details.sentAtMs)
    return 'current'
  }

  /**
   * Merges records that a peer at the same revision keeps in force in place of refused ones. A record of a higher revision
   * replaces the local kept record.
   * @param kept - Records that the peer keeps.
   * @param origin - Source of the records, as shown in audit events.
   */
  applyKeptRecords (kept: readonly KeptRecord[], origin: string): void {
    if (kept.length === 0 || this.accepted.refused.length === 0) return
    const merged = mergeKeptRecords(this.accepted, kept)
    const next = convertRecords(this.values, this.accepted.revision, merged)
    if (formatRecordRevisions(next) === formatRecordRevisions(this.accepted)) return
    this.replaceRecords(next, `records kept by ${origin}`)
  }

  /**
   * Records that a source reported a revision as the highest one. Has no effect unless it is the accepted revision.
   * @param revision - The reported revision.
   * @param sentAtMs - Clock time at which the request was sent; the current time when absent.
   */
  recordConfirmation (revision: number, sentAtMs: number = this.options.clock.nowMs()): void {
    if (revision !== this.accepted.revision) return
    this.confirmedAtMs = Math.max(this.confirmedAtMs ?? -Infinity, sentAtMs)
  }

  /**
   * Adds a listener.
   * @param listener - Called with each newly accepted snapshot.
   * @returns A function that removes the listener.
   */
  addListener (listener: SnapshotListener): () => void {
    this.listeners.add(listener)
    return () => { this.listeners.delete(listener) }
  }

  private acceptValues (values: ValuesByKey, revision: number, origin: string, kept: readonly KeptRecord[]): void {
    const next = convertRecords(values, revision, mergeKeptRecords(this.accepted, kept))
    this.history.recordChange(this.values, values, revision)
    this.values = { ...values }
    this.digest = computeDigest(values)
    this.replaceRecords(next, origin)
  }

  private replaceRecords (next: AcceptedRecords, cause: string): void {
    const before = this.accepted
    this.accepted = next
    this.options.audit.record({
      kind: 'revisionAccepted',
      subject: 'configuration',
      revision: next.revision,
      cause,
      before: String(before.revision),
      after: String(next.revision)
    })
    this.recordRefusals(before.refused, next.refused)
    for (const listener of this.listeners) listener(next.snapshot)
  }

  private recordRefusals (before: readonly RefusedRecord[], after: readonly RefusedRecord[]): void {
    const { audit } = this.options
    const revision = this.accepted.revision
    const previous = new Set(before.map(formatRefusal))
    for (const refusal of after.filter(entry => !previous.has(formatRefusal(entry)))) {
      const kept = refusal.keptRevision === 0 ? 'none in force' : `revision ${refusal.keptRevision} stays in force`
      audit.record({ kind: 'recordRefused', subject: formatAuditSubject(refusal), revision, cause: refusal.problems.join('; '), after: kept })
    }
    const remaining = new Set(after.map(formatAuditSubject))
    for (const refusal of before.filter(entry => !remaining.has(formatAuditSubject(entry)))) {
      audit.record({ kind: 'recordRestored', subject: formatAuditSubject(refusal), revision, cause: 'no longer refused' })
    }
  }
}

function formatAuditSubject (refusal: RefusedRecord): string {
  return `${refusal.key}: ${refusal.record}`
}

function formatRefusal (refusal: RefusedRecord): string {
  return [formatAuditSubject(refusal), refusal.keptRevision, ...refusal.problems].join('\n')
}

function formatRecordRevisions (accepted: AcceptedRecords): string {
  return [...accepted.records].map(([id, record]) => `${id}@${record.revision}`).sort().join('\n')
}
