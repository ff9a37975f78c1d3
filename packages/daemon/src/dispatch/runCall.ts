import { type Placement } from '@fescuespoke/scheduling'
import { type Result } from 'true-myth'
import { type Loss } from '../crashes/CrashDetector.js'
import { type RequestEntry } from '../requests/RequestEntry.js'
import { type CallError, type CallReply } from '../targets/TargetClient.js'
import { acquireConfirmedPlacement, endCancelled, endDeadlineExceeded, MAX_ATTEMPTS, endUnplaced, type RunnerDependencies } from './RequestRunner.js'

/** Maximum time to wait for a reply after the deadline, in milliseconds. */
const MAX_LATE_REPLY_WAIT_MS = 60_000

/** Result of one attempt: the request ended, or another target is tried. */
type AttemptResult = 'ended' | 'retry'

/**
 * Runs a call. A call that is not idempotent is retried only when none of its bytes were sent.
 * @param entry - The request.
 * @param dependencies - Dependencies of the runner.
 */
export async function runCall (entry: RequestEntry, dependencies: RunnerDependencies): Promise<void> {
  const failedTargets: string[] = []
  for (let attempt = 0; attempt < MAX_ATTEMPTS; attempt++) {
    const placementResult = await acquireConfirmedPlacement(entry, dependencies, failedTargets)
    if (placementResult.isErr) {
      endUnplaced(entry, placementResult.error)
      return
    }
    if (await sendAttempt(entry, placementResult.value, dependencies) === 'ended') return
    failedTargets.push(placementResult.value.target.name)
  }
  endUnplaced(entry, { reason: 'targetLost', retryAfterMs: 1000, detail: `${MAX_ATTEMPTS} targets failed` })
}

async function sendAttempt (entry: RequestEntry, placement: Placement, dependencies: RunnerDependencies): Promise<AttemptResult> {
  const { clock, targetClient } = dependencies
  const startedAtMs = clock.nowMs()
  const remainingMs = entry.options.deadlineMs - startedAtMs
  const timeoutMs = remainingMs + MAX_LATE_REPLY_WAIT_MS
  const cancelDeadline = clock.startTimer(remainingMs, () => endAtDeadline(entry))
  const reply = await targetClient.sendCall(placement.target, {
    request: entry.options.id,
    body: entry.options.body.body,
    remainingMs,
    timeoutMs,
    canSend: () => startDispatch(entry, placement, dependencies)
  })
  cancelDeadline()
  const result = handleReply(entry, placement, reply)
  const kind = clock.nowMs() - startedAtMs >= timeoutMs ? 'silent' : 'closed'
  await recordRun(entry, { target: placement.target, kind, startedAtMs }, reply, dependencies)
  return result
}

/** Rechecks all conditions right before the first byte is sent, because the process may have been paused since the placement. */
function startDispatch (entry: RequestEntry, placement: Placement, dependencies: RunnerDependencies): boolean {
  if (entry.isEnded() || entry.isDeadlineExceeded() || entry.cancellation.signal.aborted) return false
  if (!dependencies.targetReadiness.isReady(placement.target) || dependencies.harmfulRequests.findRefusal(entry) !== undefined) return false
  entry.setDispatched()
  entry.recordStep('sent', placement.target.name)
  return true
}

function endAtDeadline (entry: RequestEntry): void {
  if (entry.getPhase() === 'dispatched') {
    entry.setEnd({ outcome: 'unknown', reason: 'deadlineExceeded', detail: 'sent, without a reply so far' })
  } else {
    endDeadlineExceeded(entry)
  }
}

/** Records what the end of a run tells of whether the request crashes targets. */
async function recordRun (entry: RequestEntry, loss: Loss, reply: Result<CallReply, CallError>, { harmfulRequests }: RunnerDependencies): Promise<void> {
  if (reply.isOk) harmfulRequests.recordCompletion(entry)
  else if (reply.error === 'replyLost') await harmfulRequests.recordLoss(entry, loss)
}

function handleReply (entry: RequestEntry, placement: Placement, reply: Result<CallReply, CallError>): AttemptResult {
  if (reply.isOk) {
    placement.release('complete')
    entry.setEnd({ outcome: 'complete', reason: 'finished' }, { type: 'reply', ...reply.value })
    return 'ended'
  }
  return CALL_ERROR_HANDLERS[reply.error](entry, placement)
}

const CALL_ERROR_HANDLERS: Record<CallError, (entry: RequestEntry, placement: Placement) => AttemptResult> = {
  notSent: (entry, placement) => {
    placement.release('targetUnreachable')
    entry.recordStep('notSent', `${placement.target.name} could not be connected`)
    return entry.isEnded() ? 'ended' : 'retry'
  },
  withheld: (entry, placement) => {
    placement.release('rejected')
    if (entry.isDeadlineExceeded()) endDeadlineExceeded(entry)
    else if (entry.cancellation.signal.aborted) endCancelled(entry)
    return entry.isEnded() ? 'ended' : 'retry'
  },
  replyLost: (entry, placement) => {
    placement.release('targetFailed')
    entry.recordStep('replyLost', placement.target.name)
    if (entry.options.service.idempotent && !entry.isEnded()) return 'retry'
    entry.setEnd({ outcome: 'unknown', reason: 'replyLost', detail: 'the call was sent and no reply came' })
    return 'ended'
  }
}
