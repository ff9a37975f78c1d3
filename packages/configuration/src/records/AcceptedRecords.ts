import { EMPTY_SNAPSHOT, type Snapshot } from '@fescuespoke/common'
import { type KeptRecord, type RefusedRecord } from '@fescuespoke/schema'
import { type PublishedValue } from './readValues.js'
import { type RecordContent } from './RecordContent.js'

/** A record in force. */
export interface AcceptedRecord {
  /** Key of the published value that holds it. */
  readonly key: string
  /** Latest revision whose published values held this form of the record. */
  readonly revision: number
  /** The record as it was published, as JSON text. */
  readonly text: string
  readonly content: RecordContent
  /** Names of the targets that a service was last resolved to. */
  readonly resolvedTargets?: readonly string[]
}

/** Everything in force at one revision, with what was refused and what was kept instead. */
export interface AcceptedRecords {
  readonly revision: number
  /** Records in force by kind and name. */
  readonly records: ReadonlyMap<string, AcceptedRecord>
  readonly refused: readonly RefusedRecord[]
  readonly kept: readonly KeptRecord[]
  readonly snapshot: Snapshot
  /** Each published value of the revision as it was read. */
  readonly published: ReadonlyMap<string, PublishedValue>
}

/** Nothing in force. */
export const NO_ACCEPTED_RECORDS: AcceptedRecords = {
  revision: 0,
  records: new Map(),
  refused: [],
  kept: [],
  snapshot: EMPTY_SNAPSHOT,
  published: new Map()
}
