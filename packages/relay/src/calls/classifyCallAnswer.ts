import { classifyHead } from '../targets/classifyHead.js'
import { type AttemptError } from '../targets/RelayTargetClient.js'
import { type CallAnswer } from './CallAnswer.js'

/** Classification of a target's answer. */
export type CallAnswerClass = 'good' | 'failed' | AttemptError

/**
 * Classifies the answer of an attempt. One that is not passed on, or whose bytes were dropped, counts as lost.
 * @param answer - The answer.
 */
export function classifyCallAnswer (answer: CallAnswer): CallAnswerClass {
  if (answer.kind === 'error') return answer.error
  if (answer.buffer.isDropped()) return 'lost'
  const headClass = classifyHead(answer.head)
  return headClass === 'unusable' ? 'lost' : headClass
}
