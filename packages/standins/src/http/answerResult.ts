import { type Result } from 'true-myth'
import { type Exchange } from './HttpHost.js'
import { type StandinRefusal } from './StandinRefusal.js'

/**
 * Answers with a value, or with the status of its refusal.
 * @param exchange - The request.
 * @param result - Value or refusal.
 */
export function answerResult (exchange: Exchange, result: Result<unknown, StandinRefusal>): void {
  if (result.isOk) exchange.answer(200, result.value)
  else exchange.answer(result.error.status, { error: result.error.error })
}
