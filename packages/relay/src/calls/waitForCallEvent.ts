import { type RelayContext } from '../requests/RelayContext.js'
import { type AnsweredAttempt } from './CallAttempt.js'
import { type CallRun } from './CallRun.js'

/** Delay before an idempotent request is hedged on another target, as a share of the route's latency objective. */
const HEDGE_SHARE = 1.1

/** Minimum delay before a request is hedged, in milliseconds. */
export const MIN_HEDGE_MS = 100

/** What happens to a call: an attempt is answered, it is time to hedge, or the caller has left or the deadline is reached. */
export type CallEvent = AnsweredAttempt | 'hedge' | 'ended'

/**
 * Waits for the next event of a call.
 * @param run - The call.
 */
export async function waitForCallEvent (run: CallRun): Promise<CallEvent> {
  const waitController = new AbortController()
  const ended = waitForEnd(run.context, waitController.signal)
  const hedge = run.canHedge() ? [waitForHedge(run, waitController.signal)] : []
  try {
    return await Promise.race([ended, ...hedge, ...[...run.runningAttempts].map(({ answered }) => answered)])
  } finally {
    waitController.abort()
  }
}

/**
 * Waits until it is known whether the targets of a call crashed, if the call must not be repeated before; until the call ends at most.
 * @param run - The call.
 */
export async function waitForCrashChecks (run: CallRun): Promise<void> {
  const checks = run.watch.getCheck()
  if (checks === undefined || run.runningAttempts.size > 0 || !run.canRepeat()) return
  const waitController = new AbortController()
  await Promise.race([checks, waitForEnd(run.context, waitController.signal)])
  waitController.abort()
}

/** Waits until a call ends. The promise is not wrapped in another one, so that the end of a call comes before an answer that is already there. */
function waitForEnd ({ signal }: RelayContext, waitSignal: AbortSignal): Promise<'ended'> {
  return new Promise(resolve => {
    if (signal.aborted) resolve('ended')
    signal.addEventListener('abort', () => resolve('ended'), { signal: waitSignal })
  })
}

async function waitForHedge ({ context, dependencies }: CallRun, waitSignal: AbortSignal): Promise<'hedge'> {
  const hedgeMs = Math.max(MIN_HEDGE_MS, context.route.objectiveMs * HEDGE_SHARE)
  await dependencies.clock.sleep(hedgeMs, waitSignal)
  return 'hedge'
}
