import { CallRun } from '../calls/CallRun.js'
import { finishAborted, finishWithoutAttempt } from '../calls/finishCall.js'
import { handleCallAnswer } from '../calls/handleCallAnswer.js'
import { startCallAttempt, startHedge } from '../calls/startCallAttempt.js'
import { waitForCallEvent, waitForCrashChecks } from '../calls/waitForCallEvent.js'
import { type RelayContext } from './RelayContext.js'
import { type RelayDependencies } from './RelayDependencies.js'

/**
 * Relays a request with a single answer. Idempotent requests are repeated on other targets within the attempts of the route and the
 * budget; others are repeated only when nothing was sent or the target states that it did not run them.
 * @param dependencies - Components that handle the request.
 * @param context - The request.
 */
export async function runRelayedCall (dependencies: RelayDependencies, context: RelayContext): Promise<void> {
  const run = CallRun.create(dependencies, context)
  try {
    await runAttempts(run)
  } finally {
    run.close()
  }
}

async function runAttempts (run: CallRun): Promise<void> {
  while (!run.hasEnded()) {
    if (run.runningAttempts.size === 0 && !startCallAttempt(run)) return await finishWithoutAttempt(run)
    const event = await waitForCallEvent(run)
    if (event === 'ended') break
    if (event === 'hedge') startHedge(run)
    else if (await handleCallAnswer(run, event)) return
    await waitForCrashChecks(run)
  }
  finishAborted(run)
}
