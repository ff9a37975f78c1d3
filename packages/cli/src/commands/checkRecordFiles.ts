import { readdir, readFile, stat } from 'node:fs/promises'
import { join } from 'node:path'
import { checkRecords, type RecordCheck, type RecordFile } from '@fescuespoke/configuration'
import { Result } from 'true-myth'
import { type CliContext } from '../CliContext.js'
import { type ExitStatus } from '../ExitStatus.js'
import { type Column, formatTable } from '../output/formatTable.js'
import { WrongUseError } from './connection.js'

/** What was given on the command line. */
export interface CheckRecordsArgs {
  /** Files, and folders of files whose names end in `.json`. */
  readonly paths: readonly string[]
  readonly json?: boolean
}

/** Ending of the names of record files in folders. */
const RECORD_FILE_ENDING = '.json'

interface Mistake {
  readonly file: string
  readonly record: string
  readonly problem: string
}

const MISTAKE_COLUMNS: ReadonlyArray<Column<Mistake>> = [
  { heading: 'file', getCell: ({ file }) => file },
  { heading: 'record', getCell: ({ record }) => record },
  { heading: 'problem', getCell: ({ problem }) => problem }
]

/**
 * Checks files of records before they are published. All files together are taken as the whole state.
 * @param context - What commands work with.
 * @param args - What was given.
 */
export async function checkRecordFiles (context: CliContext, args: CheckRecordsArgs): Promise<ExitStatus> {
  if (args.paths.length === 0) throw new WrongUseError('name the files or folders to check')
  const files = await readRecordFiles(args.paths)
  if (files.isErr) throw new WrongUseError(files.error)
  const check = checkRecords(files.value)
  if (args.json === true) context.print(JSON.stringify(check, null, 2))
  else printCheck(context, files.value, check)
  return check.refused.length > 0 ? 'problems' : 'ok'
}

function printCheck ({ print }: CliContext, files: readonly RecordFile[], { services, targets, workspaces, refused }: RecordCheck): void {
  if (refused.length > 0) {
    const mistakes = refused.flatMap(({ key, record, problems }) => problems.map(problem => ({ file: key, record, problem })))
    print(formatTable(MISTAKE_COLUMNS, mistakes))
    print('')
  }
  print(`${files.length} files: ${services} services, ${targets} targets and ${workspaces} workspaces are valid, ${refused.length} records would be refused`)
}

async function readRecordFiles (paths: readonly string[]): Promise<Result<RecordFile[], string>> {
  const files: RecordFile[] = []
  for (const path of paths) {
    try {
      for (const name of await listFiles(path)) files.push({ name, text: await readFile(name, 'utf8') })
    } catch (error) {
      return Result.err((error as Error).message)
    }
  }
  return Result.ok(files)
}

async function listFiles (path: string): Promise<string[]> {
  const found = await stat(path)
  if (!found.isDirectory()) return [path]
  const names = await readdir(path, { recursive: true })
  return names.filter(name => name.endsWith(RECORD_FILE_ENDING)).sort().map(name => join(path, name))
}
