/**
 * Creates the list that stands for a set in a state: each value once, in an order that depends on the values alone.
 * @param values - The values, plain data.
 */
export function createSet<T> (values: readonly T[]): T[] {
  const byText = new Map(values.map(value => [encodeSorted(value), value]))
  return [...byText].sort(([a], [b]) => a < b ? -1 : 1).map(([, value]) => value)
}

/**
 * Encodes plain data as a text that depends neither on the order of fields nor on that of lists that stand for sets.
 * @param value - Plain data.
 */
export function encodeSorted (value: unknown): string {
  if (Array.isArray(value)) return `[${value.map(encodeSorted).join()}]`
  if (typeof value !== 'object' || value === null) return JSON.stringify(value)
  const fields = Object.entries(value).sort(([a], [b]) => a < b ? -1 : 1)
  return `{${fields.map(([field, part]) => `${field}:${encodeSorted(part)}`).join()}}`
}
