import Table from 'cli-table3'

/** Value of a table cell. Undefined and empty values are shown as a dash. */
export type Cell = string | number | undefined

/** Column of a table: its heading and the function that returns the value of a row. */
export interface Column<Row> {
  readonly heading: string
  readonly getCell: (row: Row) => Cell
}

/** Control characters, which could change the state of a terminal. */
// eslint-disable-next-line no-control-regex
const CONTROL_CHARACTERS = /[\u0000-\u001f\u007f-\u009f]/g

/** Table characters without borders, so that tools such as `grep` and `cut` can process the output. */
const BORDERLESS_CHARACTERS: Table.TableConstructorOptions['chars'] = {
  top: '',
  'top-mid': '',
  'top-left': '',
  'top-right': '',
  bottom: '',
  'bottom-mid': '',
  'bottom-left': '',
  'bottom-right': '',
  left: '',
  'left-mid': '',
  mid: '',
  'mid-mid': '',
  right: '',
  'right-mid': '',
  middle: '  '
}

/**
 * Formats rows as a human-readable table.
 * @param columns - Columns of the table.
 * @param rows - Rows of the table.
 */
export function formatTable<Row> (columns: ReadonlyArray<Column<Row>>, rows: readonly Row[]): string {
  const table = new Table({
    head: columns.map(column => column.heading),
    chars: BORDERLESS_CHARACTERS,
    style: { head: [], border: [], compact: true, 'padding-left': 0, 'padding-right': 0 }
  })
  for (const row of rows) table.push(columns.map(column => formatCell(column.getCell(row))))
  return table.toString().split('\n').map(line => line.trimEnd()).join('\n')
}

/**
 * Replaces control characters in external text with spaces, so that it cannot change the state of a terminal.
 * @param text - Text from an external source.
 */
export function sanitizeText (text: string): string {
  return text.replace(CONTROL_CHARACTERS, ' ')
}

function formatCell (cell: Cell): string {
  return cell === undefined || cell === '' ? '-' : sanitizeText(String(cell))
}
