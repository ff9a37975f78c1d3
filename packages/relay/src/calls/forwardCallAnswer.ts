import { BUFFER_BUDGET_CAUSE } from '@fescuespoke/common'
import { type LogFields } from '../logs/DecisionLog.js'
import { getAbortLineKind, getAbortOutcome } from '../requests/abortOutcomes.js'
import { type RelayContext } from '../requests/RelayContext.js'
import { writeToCaller } from '../requests/writeToCaller.js'
import { MIN_FAILURE_STATUS } from '../targets/RelayTargetClient.js'
import { type BufferedAnswer } from './CallAnswer.js'
import { type CallAttempt } from './CallAttempt.js'
import { type CallRun } from './CallRun.js'

/**
 * Forwards the answer of an attempt: what is buffered of it, and the rest as it arrives.
 * @param run - The call.
 * @param callAttempt - The attempt.
 * @param answer - The buffered start of its answer, or the whole answer.
 */
export async function forwardCallAnswer (run: CallRun, callAttempt: CallAttempt, answer: BufferedAnswer): Promise<void> {
  if (answer.isComplete) return await forwardWholeAnswer(run, answer)
  if (!await forwardBuffered(run.context, answer)) return breakOffDropped(run)
  await forwardRemainder(run, callAttempt)
}

/**
 * Forwards an answer that is buffered completely.
 * @param run - The call.
 * @param answer - The answer.
 */
export async function forwardWholeAnswer (run: CallRun, answer: BufferedAnswer): Promise<void> {
  const { context, dependencies } = run
  const { route, request, sink } = context
  if (!await forwardBuffered(context, answer)) return breakOffDropped(run)
  sink.end()
  dependencies.metrics.countOutcome(route.name, answer.head.status >= MIN_FAILURE_STATUS ? 'targetFailed' : 'answered', request.id)
  dependencies.metrics.recordAnswerTime(route.name, dependencies.clock.nowMs() - request.receivedAtMs)
  run.recordDuration()
}

/** Forwards what is buffered of an answer; returns whether nothing of it was dropped. */
async function forwardBuffered (context: RelayContext, { head, buffer }: BufferedAnswer): Promise<boolean> {
  context.sink.writeHead(head)
  for (let chunk = buffer.takeChunk(); chunk !== undefined; chunk = buffer.takeChunk()) await writeToCaller(context, chunk)
  return !buffer.isDropped()
}

/** Forwards the rest of an answer until the deadline at most. */
async function forwardRemainder (run: CallRun, callAttempt: CallAttempt): Promise<void> {
  if (!await forwardUntilEnd(run.context, callAttempt)) return abortRemainder(run, callAttempt)
  run.watch.recordAnswer(callAttempt.sentAtMs)
  run.context.sink.end()
  run.recordDuration()
}

/** Forwards bytes as they arrive; returns whether the answer is complete. */
async function forwardUntilEnd (context: RelayContext, { attempt, abortController }: CallAttempt): Promise<boolean> {
  const { signal } = context
  const endAttempt = (): void => abortController.abort()
  signal.addEventListener('abort', endAttempt)
  try {
    while (!signal.aborted) {
      const next = await attempt.readBytes()
      if (next.isErr) return false
      if (next.value === undefined) return true
      await writeToCaller(context, next.value)
    }
    return false
  } finally {
    signal.removeEventListener('abort', endAttempt)
  }
}

function abortRemainder (run: CallRun, { attempt, reservation }: CallAttempt): void {
  if (attempt.isBrokenOff()) run.watch.recordLoss(reservation.target, true)
  breakOff(run, { target: reservation.target.name, cause: attempt.getCause() })
}

/** Breaks off an answer of which buffered bytes were dropped. */
function breakOffDropped (run: CallRun): void {
  breakOff(run, { cause: BUFFER_BUDGET_CAUSE })
}

function breakOff ({ context, dependencies }: CallRun, fields: LogFields): void {
  const { sink, request, route } = context
  const outcome = getAbortOutcome(context)
  sink.abort()
  dependencies.metrics.countOutcome(route.name, outcome, request.id)
  dependencies.log.recordDecision(request.id, 'broken off', { route: route.name, outcome, ...fields }, getAbortLineKind(outcome))
}
