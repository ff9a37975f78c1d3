import { createCanonicalSet } from '../explore/createCanonicalSet.js'

/** A value in the Informal Trace Format (ITF). */
type ItfValue = string | boolean | number | ItfValue[] | { readonly [field: string]: ItfValue }

type ValueParser = (value: never) => unknown

const TAGGED_PARSERS: Record<string, ValueParser> = {
  '#bigint': (text: string) => Number(text),
  '#set': (items: ItfValue[]) => createCanonicalSet(items.map(parseValue)),
  '#tup': (items: ItfValue[]) => items.map(parseValue)
}

/**
 * Parses a trace and returns the values of its variable `state`. Sets become sorted arrays without duplicates.
 * @param text - JSON text in the Informal Trace Format.
 */
export function parseItf (text: string): unknown[] {
  const { states } = JSON.parse(text) as { states: Array<{ state: ItfValue }> }
  return states.map(({ state }) => parseValue(state))
}

function parseValue (value: ItfValue): unknown {
  if (Array.isArray(value)) return value.map(parseValue)
  if (typeof value !== 'object') return value
  for (const [tag, parse] of Object.entries(TAGGED_PARSERS)) {
    if (tag in value) return parse(value[tag] as never)
  }
  return Object.fromEntries(Object.entries(value).map(([field, fieldValue]) => [field, parseValue(fieldValue)]))
}
