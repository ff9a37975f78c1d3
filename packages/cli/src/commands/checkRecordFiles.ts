import { readdir, readFile, stat } from 'node:fs/promises'
import { join } from 'node:path'
import { checkRecords, type RecordCheck, type RecordFile } from '@fescuespoke/configuration'
import { Result } from 'true-myth'
import { type CliContext } from '../CliContext.js'
import { type ExitStatus } from '../ExitStatus.js'
import { type Column, formatTable } from '../output/formatTable.js'
import { UsageError } from './connectionOptions.js'

/** Arguments of the `check-records` command. */
export interface CheckRecordFilesArgs {
  /** Paths of record files, or of folders that are searched recursively for `.json` files. */
  readonly paths: readonly string[]
  readonly json?: boolean
}

/** Extension of the record files that are read from folders. */
const RECORD_FILE_EXTENSION = '.json'

interface RecordProblem {
  readonly file: string
  readonly record: string
  readonly problem: string
}

const PROBLEM_COLUMNS: ReadonlyArray<Column<RecordProblem>> = [
  { heading: 'file', getCell: ({ file }) => file },
  { heading: 'record', getCell: ({ record }) => record },
  { heading: 'problem', getCell: ({ problem }) => problem }
]

/**
 * Checks record files before they are published. All files together are validated as the complete set of records.
 * @param context - Dependencies of the command.
 * @param args - Arguments of the command.
 */
export async function checkRecordFiles (context: CliContext, args: CheckRecordFilesArgs): Promise<ExitStatus> {
  if (args.paths.length === 0) throw new UsageError('specify the files or folders to check')
  const files = await readRecordFiles(args.paths)
  if (files.isErr) throw new UsageError(files.error)
  const checkResult = checkRecords(files.value)
  if (args.json === true) context.print(JSON.stringify(checkResult, null, 2))
  else printCheckResult(context, files.value, checkResult)
  return checkResult.refused.length > 0 ? 'problems' : 'ok'
}

function printCheckResult ({ print }: CliContext, files: readonly RecordFile[], { services, targets, workspaces, refused }: RecordCheck): void {
  if (refused.length > 0) {
    const recordProblems = refused.flatMap(({ key, record, problems }) => problems.map(problem => ({ file: key, record, problem })))
    print(formatTable(PROBLEM_COLUMNS, recordProblems))
    print('')
  }
  print(`${files.length} files: ${services} services, ${targets} targets and ${workspaces} workspaces are valid, ${refused.length} records would be refused`)
}

async function readRecordFiles (paths: readonly string[]): Promise<Result<RecordFile[], string>> {
  const files: RecordFile[] = []
  for (const path of paths) {
    try {
      for (const filePath of await listFiles(path)) files.push({ name: filePath, text: await readFile(filePath, 'utf8') })
    } catch (error) {
      return Result.err((error as Error).message)
    }
  }
  return Result.ok(files)
}

async function listFiles (path: string): Promise<string[]> {
  const stats = await stat(path)
  if (!stats.isDirectory()) return [path]
  const relativePaths = await readdir(path, { recursive: true })
  return relativePaths.filter(relativePath => relativePath.endsWith(RECORD_FILE_EXTENSION)).sort().map(relativePath => join(path, relativePath))
}
