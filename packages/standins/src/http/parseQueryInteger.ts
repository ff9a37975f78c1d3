/**
 * Parses an integer parameter of a query.
 * @param query - Parameters of the query.
 * @param name - Name of the parameter.
 * @param defaultValue - Value returned if the parameter is missing or not a number.
 */
export function parseQueryInteger (query: URLSearchParams, name: string, defaultValue: number): number {
  const value = Number.parseInt(query.get(name) ?? '', 10)
  return Number.isNaN(value) ? defaultValue : value
}
