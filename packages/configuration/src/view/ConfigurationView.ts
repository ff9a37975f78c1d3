import { type AuditTrail, type Clock, type Snapshot } from '@fescuespoke/common'
import { type KeptRecord, type RefusedRecord } from '@fescuespoke/schema'
import { type AcceptedRecords, NO_ACCEPTED_RECORDS } from '../records/AcceptedRecords.js'
import { convertRecords, mergeKeptRecords } from '../records/convertRecords.js'
import { computeDigest } from './computeDigest.js'
import { KeyHistory } from './KeyHistory.js'

/** JSON text by key. */
export type Values = Readonly<Record<string, string>>

/** What became of an offered state. */
export type UpdateOutcome = 'accepted' | 'current' | 'older' | 'conflicting'

/** Receives each newly accepted snapshot. */
export type SnapshotListener = (snapshot: Snapshot) => void

/** Options of a configuration view. */
export interface ConfigurationViewOptions {
  readonly clock: Clock
  readonly audit: AuditTrail
}

/** Further facts of an offer. */
export interface UpdateOptions {
  /** Reading of the clock when the request was sent that the state answers; now when absent. */
  readonly sentAtMs?: number
  /** Records that the offering peer keeps in force in place of refused ones. */
  readonly kept?: readonly KeptRecord[]
}

/** Holds the highest accepted revision of the published records. It never goes back to a lower one. */
export class ConfigurationView {
  /**
   * Creates a view without any records, at revision 0.
   * @param options - Options of the view.
   */
  static create (options: ConfigurationViewOptions): ConfigurationView {
    return new ConfigurationView(options)
  }

  private accepted: AcceptedRecords = NO_ACCEPTED_RECORDS
  private values: Values = {}
  private digest = computeDigest({})
  private readonly history = KeyHistory.create()
  private readonly listeners = new Set<SnapshotListener>()
  private confirmedAtMs: number | undefined

  /** @internal */
  private constructor (private readonly options: ConfigurationViewOptions) {}

  /** Gets the accepted revision; 0 before the first. */
  getRevision (): number {
    return this.accepted.revision
  }

  /** Gets the snapshot in force. */
  getSnapshot (): Snapshot {
    return this.accepted.snapshot
  }

  /** Gets the published values of the accepted revision. */
  getValues (): Values {
    return this.values
  }

  /** Gets a digest of the published values of the accepted revision. */
  getDigest (): string {
    return this.digest
  }

  /** Gets when each key last changed, as far as this instance knows. */
  getHistory (): KeyHistory {
    return this.history
  }

  /** Gets a digest of the records that stay in force in place of refused ones. */
  getKeptDigest (): string {
    const entries = this.accepted.kept.map(({ key, revision, text }) => [`${key} ${revision} ${text}`, ''])
    return computeDigest(Object.fromEntries(entries) as Values)
  }

  /** Lists the refused records of the accepted revision. */
  listRefused (): readonly RefusedRecord[] {
    return this.accepted.refused
  }

  /** Lists the records that stay in force in place of refused ones. */
  listKept (): readonly KeptRecord[] {
    return this.accepted.kept
  }

  /** Gets the time in milliseconds since the accepted revision was last known to be the highest; infinite before. */
  getAgeMs (): number {
    return this.confirmedAtMs === undefined ? Infinity : this.options.clock.nowMs() - this.confirmedAtMs
  }

  /**
   * Offers a whole published state. A lower revision than the accepted one is ignored.
   * @param values - JSON text by key, every key of the state.
   * @param revision - Number of the state.
   * @param origin - Who offers it, for operators.
   * @param details - Further facts of the offer.
   */
  offer (values: Values, revision: number, origin: string, details: UpdateOptions = {}): UpdateOutcome {
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
   * Offers records that a peer at the same revision keeps in force; those of a higher revision replace the ones kept here.
   * @param kept - Records that the peer keeps.
   * @param origin - Who offers them, for operators.
   */
  applyKeptRecords (kept: readonly KeptRecord[], origin: string): void {
    if (kept.length === 0 || this.accepted.refused.length === 0) return
    const merged = mergeKeptRecords(this.accepted, kept)
    const next = convertRecords(this.values, this.accepted.revision, merged)
    if (formatRecordRevisions(next) === formatRecordRevisions(this.accepted)) return
    this.replaceRecords(next, `records kept by ${origin}`)
  }

  /**
   * Records that a revision was named as the highest one.
   * @param revision - The revision named.
   * @param sentAtMs - Reading of the clock when the question was sent; now when absent.
   */
  recordConfirmation (revision: number, sentAtMs: number = this.options.clock.nowMs()): void {
    if (revision !== this.accepted.revision) return
    this.confirmedAtMs = Math.max(this.confirmedAtMs ?? -Infinity, sentAtMs)
  }

  /**
   * Adds a listener and returns what removes it.
   * @param listener - Receives each newly accepted snapshot.
   */
  addListener (listener: SnapshotListener): () => void {
    this.listeners.add(listener)
    return () => { this.listeners.delete(listener) }
  }

  private acceptValues (values: Values, revision: number, origin: string, kept: readonly KeptRecord[]): void {
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
