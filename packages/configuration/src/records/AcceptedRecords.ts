import { EMPTY_SNAPSHOT, type Snapshot } from '@fescuespoke/common'
import { type KeptRecord, type RefusedRecord } from '@fescuespoke/schema'
import { type PublishedValue } from './readValues.js'
import { type RecordContent } from './RecordContent.js'

/** A record in force. */
export interface AcceptedRecord {
  /** Key of the published value that contains the record. */
  readonly key: string
  /** Latest revision whose published values contained the record in this form. */
  readonly revision: number
  /** The record as it was published, as JSON text. */
  readonly text: string
  readonly content: RecordContent
  /** Names of the targets that the reference of a service was last resolved to; absent for other records. */
  readonly resolvedTargets?: readonly string[]
}

/** All records in force at one revision, the refused records, and the earlier records that are kept in their place. */
export interface AcceptedRecords {
  readonly revision: number
  /** Records in force by record id, which consists of kind and name. */
  readonly records: ReadonlyMap<string, AcceptedRecord>
  readonly refused: readonly RefusedRecord[]
  readonly kept: readonly KeptRecord[]
  readonly snapshot: Snapshot
  /** Published values of the revision in parsed form, by key. */
  readonly published: ReadonlyMap<string, PublishedValue>
}

/** Initial state without any records in force. */
export const NO_ACCEPTED_RECORDS: AcceptedRecords = {
  revision: 0,
  records: new Map(),
  refused: [],
  kept: [],
  snapshot: EMPTY_SNAPSHOT,
  published: new Map()
}
