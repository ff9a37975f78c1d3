import Table from 'cli-table3'

/** A value in a table; absent ones are shown as a dash. */
export type Cell = string | number | undefined

/** A column: its heading and how a row's value is found. */
export interface Column<Row> {
  readonly heading: string
  readonly getCell: (row: Row) => Cell
}

/** Characters that could change a terminal's state. */
// eslint-disable-next-line no-control-regex
const CONTROL_CHARACTERS = /[\u0000-\u001f\u007f-\u009f]/g

/** Rows without borders, so that tables can be searched and cut by other tools. */
const BORDERLESS: Table.TableConstructorOptions['chars'] = {
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
 * Formats rows as a table for people.
 * @param columns - The columns.
 * @param rows - The rows.
 */
export function formatTable<Row> (columns: ReadonlyArray<Column<Row>>, rows: readonly Row[]): string {
  const table = new Table({
    head: columns.map(column => column.heading),
    chars: BORDERLESS,
    style: { head: [], border: [], compact: true, 'padding-left': 0, 'padding-right': 0 }
  })
  for (const row of rows) table.push(columns.map(column => formatCell(column.getCell(row))))
  return table.toString().split('\n').map(line => line.trimEnd()).join('\n')
}

/**
 * Formats text from elsewhere so that it can't change a terminal's state.
 * @param text - The text.
 */
export function formatText (text: string): string {
  return text.replace(CONTROL_CHARACTERS, ' ')
}

function formatCell (cell: Cell): string {
  return cell === undefined || cell === '' ? '-' : formatText(String(cell))
}
