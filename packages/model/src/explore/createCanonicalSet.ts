/**
 * Creates an array that represents a set in a state. It contains each value once, in an order that depends on the values only.
 * @param values - The values, which must be plain data.
 */
export function createCanonicalSet<T> (values: readonly T[]): T[] {
  const valueByText = new Map(values.map(value => [encodeCanonically(value), value]))
  return [...valueByText].sort(([a], [b]) => a < b ? -1 : 1).map(([, value]) => value)
}

/**
 * Encodes plain data as a string that does not depend on the order of object fields. Arrays keep their order, so arrays that represent
 * sets must come from {@link createCanonicalSet}.
 * @param value - The value, which must be plain data.
 */
export function encodeCanonically (value: unknown): string {
  if (Array.isArray(value)) return `[${value.map(encodeCanonically).join()}]`
  if (typeof value !== 'object' || value === null) return JSON.stringify(value)
  const fields = Object.entries(value).sort(([a], [b]) => a < b ? -1 : 1)
  return `{${fields.map(([field, fieldValue]) => `${field}:${encodeCanonically(fieldValue)}`).join()}}`
}
