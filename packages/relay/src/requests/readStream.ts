import { type AttemptError, type AttemptHead, FAILURE_STATUS } from '../targets/RelayTargetClient.js'
import { type RelayContext } from './RelayContext.js'
import { type RelayTools } from './RelayTools.js'
import { StallWatch } from './StallWatch.js'
import { type StreamRun } from './StreamRun.js'

/** Statuses from here on are no success. */
const FIRST_OTHER_STATUS = 300

/** Most targets that one request is offered to. */
const MAX_OFFERS = 4

/** Silence after which a stream counts as stalled: so many of the longest pauses that are on time, at least the minimum. */
const STALL_GAPS = 4
const MIN_STALL_MS = 700

/** Wait for the first event after which a stream counts as stalled, in objectives of the route. */
const FIRST_EVENT_OBJECTIVES = 1.2

/** How one attempt at a stream ended. */
export type StreamEnd = 'complete' | AttemptError

/**
 * Reads the stream of the current attempt and passes its events on.
 * @param tools - What the request uses.
 * @param context - The request.
 * @param run - The run whose attempt is read.
 */
export async function readStream (tools: RelayTools, context: RelayContext, run: StreamRun): Promise<StreamEnd> {
  run.startReading()
  const watch = startWatch(tools, context, run)
  try {
    const head = await run.current!.attempt.head
    if (head.isErr) {
      if (head.error === 'lost') run.executed++
      return head.error
    }
    run.executed++
    return isUsable(context, run, head.value) ? await passEvents(tools, context, run, head.value, watch) : 'lost'
  } finally {
    watch.stop()
  }
}

/**
 * Tells whether a request may be sent to another target after an attempt that was not moved.
 * @param context - The request.
 * @param run - Its run.
 * @param end - How the attempt ended.
 */
export function mayRepeat ({ route }: RelayContext, run: StreamRun, end: StreamEnd): boolean {
  if (run.sent >= MAX_OFFERS) return false
  const hasRun = end === 'lost' || end === 'aborted' || run.executed > 0
  return !hasRun || (route.isResumable && run.executed < route.maxAttempts)
}

function isUsable (context: RelayContext, run: StreamRun, { status, isSigned }: AttemptHead): boolean {
  if (status >= FAILURE_STATUS) return !mayRepeat(context, run, 'lost')
  return status >= FIRST_OTHER_STATUS || isSigned
}

async function passEvents (tools: RelayTools, context: RelayContext, run: StreamRun, head: AttemptHead, watch: StallWatch): Promise<StreamEnd> {
  const { attempt } = run.current!
  for (;;) {
    const next = await attempt.readBytes()
    watch.observeBytes()
    if (next.isErr) return next.error
    if (next.value === undefined) return await finishStream(tools, context, run, head)
    if (!await run.passBytes(head, next.value)) return 'lost'
    if (run.hasAllBeforeMove()) return 'lost'
  }
}

async function finishStream (tools: RelayTools, context: RelayContext, run: StreamRun, head: AttemptHead): Promise<StreamEnd> {
  await run.finish(head)
  tools.metrics.countOutcome(context.route.name, head.status >= FAILURE_STATUS ? 'targetFailed' : 'answered')
  tools.log.recordDecision(context.request.id, 'stream complete', { route: context.route.name, status: head.status, ...run.describeCourse() })
  return 'complete'
}

/** A stalled stream is given up where the route allows another run; else its run is moved, since the engine may still work on it. */
function startWatch (tools: RelayTools, context: RelayContext, run: StreamRun): StallWatch {
  const { route } = context
  const attempt = run.current!
  const stallMs = run.hasBegun() ? Math.max(MIN_STALL_MS, (route.maxGapMs ?? 0) * STALL_GAPS) : route.objectiveMs * FIRST_EVENT_OBJECTIVES
  const onStall = (): void => {
    const isRepeatable = route.isResumable && run.executed + (run.hasBegun() ? 0 : 1) < route.maxAttempts
    tools.log.recordDecision(context.request.id, 'stream stalled', { target: attempt.use.target.name, stallMs, afterEvent: run.getLastEventId(), isRepeatable })
    if (isRepeatable) attempt.attempt.giveUp()
    else if (run.hasBegun()) tools.mover.rescueRun(run)
  }
  return StallWatch.start({ clock: tools.clock, stallMs, onStall })
}
