import { formatProblem, type Validator } from '@fescuespoke/schema'
import { Result } from 'true-myth'

/**
 * Parses and validates a JSON body.
 * @param body - Text of the body.
 * @param validate - Validator of the value.
 * @returns The value, or a one-line message for humans.
 */
export function parseBody<T> (body: string, validate: Validator<T>): Result<T, string> {
  let value: unknown
  try {
    value = JSON.parse(body)
  } catch {
    return Result.err('not JSON')
  }
  return validate(value).mapErr(problems => problems.map(formatProblem).join('; '))
}
