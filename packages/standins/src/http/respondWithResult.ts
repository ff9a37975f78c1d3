import { type Result } from 'true-myth'
import { type Exchange } from './FaultInjectingHttpServer.js'
import { type ErrorResponse } from './ErrorResponse.js'

/**
 * Responds with the value of a result, or with its error response.
 * @param exchange - The request.
 * @param result - Value or error response.
 */
export function respondWithResult (exchange: Exchange, result: Result<unknown, ErrorResponse>): void {
  if (result.isOk) exchange.respond(200, result.value)
  else exchange.respond(result.error.status, { error: result.error.error })
}
