import { formatProblem, type Validator } from '@fescuespoke/schema'
import { Result } from 'true-myth'

/**
 * Parses a JSON body and checks it; the error is one line for people.
 * @param body - Text of the body.
 * @param validate - Validator of the value.
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
