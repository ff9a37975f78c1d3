import { type RefusedRecord } from '@fescuespoke/schema'
import { convertRecords } from './convertRecords.js'

/** A file of records that is published as one value. */
export interface RecordFile {
  /** Name of the file, used as the key of the value. */
  readonly name: string
  readonly text: string
}

/** Result of checking files of records as if they were the whole published state. */
export interface RecordCheck {
  readonly services: number
  readonly targets: number
  readonly workspaces: number
  /** Records that would be refused, with all their problems. */
  readonly refused: readonly RefusedRecord[]
}

/**
 * Checks files of records before they are published. The files together are treated as the whole published state.
 * @param files - The files.
 * @returns The numbers of accepted records and the refused records.
 */
export function checkRecords (files: readonly RecordFile[]): RecordCheck {
  const values = Object.fromEntries(files.map(({ name, text }) => [name, text]))
  const { snapshot, refused } = convertRecords(values, 1)
  return {
    services: snapshot.services.size,
    targets: snapshot.targets.size,
    workspaces: snapshot.workspaces.size,
    refused
  }
}
