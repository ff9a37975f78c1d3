import { classifyHead } from '../targets/classifyHead.js'
import { type AttemptHead, MIN_NON_SUCCESS_STATUS } from '../targets/RelayTargetClient.js'
import { type StreamRun } from './StreamRun.js'

/**
 * Returns whether a run may go on with an answer: with any success before the caller has a head, and then only with a series of events
 * of the same status, when the first answer is one too.
 * @param run - The run.
 * @param head - Status and headers of the answer.
 */
export function isUsableHead (run: StreamRun, head: AttemptHead): boolean {
  const firstHead = run.getFirstHead()
  if (firstHead === undefined) return classifyHead(head) === 'good'
  return isSignedSuccess(head) && head.status === firstHead.status && head.isEventStream && firstHead.isEventStream
}

function isSignedSuccess ({ status, isSigned }: AttemptHead): boolean {
  return status < MIN_NON_SUCCESS_STATUS && isSigned
}
