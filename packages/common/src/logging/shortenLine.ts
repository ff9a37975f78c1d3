/** Maximum lengths of the text of a field, tried in turn. */
const FIELD_LENGTHS = [800, 100, 10] as const

/** Number of further fields that a shortened line keeps when short texts are not enough. */
const MAX_FIELDS = 12

/**
 * Shortens the longest fields of a log line that is too long, so that it is still one line of JSON.
 * @param line - JSON object with a line break.
 * @param maxBytes - Maximum size of the line.
 */
export function shortenLine (line: string, maxBytes: number): string {
  if (Buffer.byteLength(line) <= maxBytes) return line
  const { msg, ...fields } = JSON.parse(line) as Record<string, unknown>
  const shortened = FIELD_LENGTHS.map(maxLength => formatFields(Object.entries(fields), msg, maxLength))
  return shortened.find(text => Buffer.byteLength(text) <= maxBytes) ?? formatFields(Object.entries(fields).slice(0, MAX_FIELDS), msg, FIELD_LENGTHS[1])
}

function formatFields (fields: ReadonlyArray<readonly [string, unknown]>, msg: unknown, maxLength: number): string {
  const cut = fields.map(([name, value]) => [name.slice(0, FIELD_LENGTHS[1]), cutValue(value, maxLength)] as const)
  return `${JSON.stringify({ ...Object.fromEntries(cut), isShortened: true, msg: cutValue(msg, FIELD_LENGTHS[1]) })}\n`
}

/** Returns a value, or the beginning of its text if that is too long. */
function cutValue (value: unknown, maxLength: number): unknown {
  const text = typeof value === 'string' ? value : JSON.stringify(value) ?? ''
  return text.length <= maxLength ? value : text.slice(0, maxLength)
}
