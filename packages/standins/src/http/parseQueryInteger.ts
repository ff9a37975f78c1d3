/**
 * Reads a whole number of a query; a missing or broken one is the default.
 * @param query - The query.
 * @param name - Name of the parameter.
 * @param defaultValue - Value when it is missing.
 */
export function parseQueryInteger (query: URLSearchParams, name: string, defaultValue: number): number {
  const value = Number.parseInt(query.get(name) ?? '', 10)
  return Number.isNaN(value) ? defaultValue : value
}
