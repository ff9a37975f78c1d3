import { type Problem } from '@fescuespoke/schema'
import { Result } from 'true-myth'

/** Maximum length of a value in a problem, in characters. */
const MAX_VALUE_CHARACTERS = 80

/**
 * Rejects published data because of one field.
 * @param field - Name of the field; empty for the whole of the data.
 * @param value - Value of the field.
 * @param allowed - Description of the values that are allowed.
 */
export function rejectField<T> (field: string, value: unknown, allowed: string): Result<T, Problem[]> {
  return Result.err([{ field, value: JSON.stringify(value)?.slice(0, MAX_VALUE_CHARACTERS) ?? 'nothing', allowed }])
}
