import { type Result } from 'true-myth'
import { type Exchange } from './FaultInjectingHttpServer.js'
import { type ErrorResponse } from './ErrorResponse.js'

/**
 * Answers with a value, or with the status of its refusal.
 * @param exchange - The request.
 * @param result - Value or refusal.
 */
export function respondWithResult (exchange: Exchange, result: Result<unknown, ErrorResponse>): void {
  if (result.isOk) exchange.respond(200, result.value)
  else exchange.respond(result.error.status, { error: result.error.error })
}
