import { type AttemptError, MIN_FAILURE_STATUS } from '../targets/RelayTargetClient.js'
import { type CallAnswer } from './CallAnswer.js'

/** Classification of a target's answer. */
export type CallAnswerClass = 'good' | 'failed' | AttemptError

/**
 * Classifies the answer of an attempt. An answer below the failures that the target has not signed counts as lost: it may come from
 * whatever else listens at the address of the target, and the request may have run.
 * @param answer - The answer.
 */
export function classifyCallAnswer (answer: CallAnswer): CallAnswerClass {
  if (answer.kind === 'error') return answer.error
  if (answer.head.status >= MIN_FAILURE_STATUS) return 'failed'
  return answer.head.isSigned ? 'good' : 'lost'
}
