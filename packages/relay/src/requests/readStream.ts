import { type RelayTarget } from '../model/RelayTarget.js'
import { classifyHead } from '../targets/classifyHead.js'
import { type AttemptHead, MIN_FAILURE_STATUS } from '../targets/RelayTargetClient.js'
import { isSameOrigin } from '../versions/StreamOrigin.js'
import { type RelayContext } from './RelayContext.js'
import { type RelayDependencies } from './RelayDependencies.js'
import { isUsableHead } from './isUsableHead.js'
import { canRepeat, canRepeatAfterStall } from './repeatStream.js'
import { replaceStalledAttempt } from './replaceStalledAttempt.js'
import { StallDetector } from './StallDetector.js'
import { type StreamEnd } from './StreamAttempt.js'
import { type StreamRun } from './StreamRun.js'

/** Stall timeout of a started stream: a multiple of the longest acceptable gap between events, but at least the minimum. */
const STALL_GAP_FACTOR = 4
export const MIN_STALL_TIMEOUT_MS = 700

/** Stall timeout before the first event, as a multiple of the route's latency objective. */
const FIRST_EVENT_OBJECTIVE_FACTOR = 1.2

/**
 * Reads the stream of the current attempt and forwards its events.
 * @param dependencies - Components that handle the request.
 * @param context - The request.
 * @param run - Run whose current attempt is read.
 */
export async function readStream (dependencies: RelayDependencies, context: RelayContext, run: StreamRun): Promise<StreamEnd> {
  run.startReading()
  const stallDetector = startStallDetector(dependencies, context, run)
  try {
    const head = await run.currentAttempt!.attempt.head
    if (head.isErr) {
      // An attempt that was stopped for a move may have run.
      if (head.error === 'lost' || head.error === 'aborted') run.recordExecuted()
      return head.error
    }
    run.recordExecuted()
    if (isUsable(context, run, head.value)) return await forwardEvents(dependencies, context, run, head.value, stallDetector)
    const { status, isSigned } = head.value
    dependencies.log.recordDecision(context.request.id, 'answer not used', { target: run.getTarget()?.name, status, isSigned, afterEvent: run.getLastEventId() }, 'failure')
    return 'lost'
  } finally {
    stallDetector.stop()
  }
}

/** Returns whether an answer may be forwarded: one with which the run goes on, or a failure after which no other target may get the request. */
function isUsable (context: RelayContext, run: StreamRun, head: AttemptHead): boolean {
  const isLastFailure = !run.hasStarted() && classifyHead(head) === 'failed' && !canRepeat(context, run, 'lost')
  return isUsableHead(run, head) || isLastFailure
}

async function forwardEvents (dependencies: RelayDependencies, context: RelayContext, run: StreamRun, head: AttemptHead, stallDetector: StallDetector): Promise<StreamEnd> {
  const { attempt, reservation: { target } } = run.currentAttempt!
  for (let isFirst = true; ; isFirst = false) {
    const next = await attempt.readBytes()
    if (next.isErr) return next.error
    if (isFirst && wasReplaced(dependencies, target)) {
      dependencies.log.recordDecision(context.request.id, 'answer not used', { target: target.name, softwareVersion: target.softwareVersion, isReplaced: true, afterEvent: run.getLastEventId() })
      return 'lost'
    }
    if (next.value === undefined) return await run.isCutOff(head) ? 'lost' : await finishStream(dependencies, context, run, head)
    stallDetector.suspend()
    const result = await run.forwardBytes(head, next.value)
    if (result === 'unusable') return 'lost'
    stallDetector.resume()
    if (result === 'progress') stallDetector.recordProgress()
    if (context.signal.aborted) return 'aborted'
    // Ends the attempt at the source, so that the run continues at the engine to which it was moved.
    if (run.hasReceivedAllBeforeMove()) return 'lost'
  }
}

/** Returns whether another software version has taken the name and address of a target since the request was sent; it may have answered. */
function wasReplaced ({ table }: RelayDependencies, target: RelayTarget): boolean {
  const latest = table.getTracked(target.name)?.target
  return latest !== undefined && latest.address === target.address && !isSameOrigin(latest, target)
}

async function finishStream (dependencies: RelayDependencies, context: RelayContext, run: StreamRun, head: AttemptHead): Promise<StreamEnd> {
  const end = run.describeEnd(head)
  await run.finish(head)
  dependencies.metrics.countOutcome(context.route.name, head.status >= MIN_FAILURE_STATUS ? 'targetFailed' : 'answered', context.request.id)
  dependencies.log.recordDecision(context.request.id, 'stream complete', { route: context.route.name, status: head.status, ...end, ...run.describeProgress() })
  return 'complete'
}

/**
 * Starts a stall detector. After a stall the run goes on at another engine where the route allows another run; otherwise it is moved, since
 * the engine may still execute it.
 */
function startStallDetector (dependencies: RelayDependencies, context: RelayContext, run: StreamRun): StallDetector {
  const { route } = context
  const { attempt, reservation } = run.currentAttempt!
  const stallTimeoutMs = run.hasStarted() ? Math.max(MIN_STALL_TIMEOUT_MS, (route.maxGapMs ?? 0) * STALL_GAP_FACTOR) : route.objectiveMs * FIRST_EVENT_OBJECTIVE_FACTOR
  const onStall = (): void => {
    const isRepeatable = canRepeatAfterStall(context, run)
    dependencies.log.recordDecision(context.request.id, 'stream stalled', { target: reservation.target.name, stallMs: stallTimeoutMs, afterEvent: run.getLastEventId(), isRepeatable }, 'failure')
    if (isRepeatable) replaceStalledAttempt(dependencies, context, run, { attempt, isStalled: () => stallDetector.isStalled() })
    else if (run.hasStarted()) dependencies.mover.moveStalledRun(run)
  }
  const stallDetector = StallDetector.start({ clock: dependencies.clock, stallTimeoutMs, onStall })
  return stallDetector
}
