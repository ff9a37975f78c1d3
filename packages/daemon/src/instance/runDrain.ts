import { type RequestEntry } from '../requests/RequestEntry.js'
import { type InstanceComponents } from './createComponents.js'

/** Interval between checks for running requests and open readers, in milliseconds. */
const CHECK_INTERVAL_MS = 50

/** Maximum time to wait for callers to read the last bytes or to reconnect for an outcome, in milliseconds. */
const MAX_READER_WAIT_MS = 10_000

/** Options of a drain. */
export interface DrainOptions {
  readonly components: InstanceComponents
  /** Starts rejecting new requests. */
  readonly rejectRequests: () => void
  /** Redirects readers of generations to other instances. */
  readonly handOver: () => void
  /** Returns the number of HTTP requests whose response is still open. */
  readonly countExchanges: () => number
}

/**
 * Drains an instance. It always waits for calls and for generations without a token. Generations that outlast the drain
 * time are handed over.
 * @param options - Options of the drain.
 */
export async function runDrain (options: DrainOptions): Promise<void> {
  const { clock, settings, peers, audit, configuration, requests } = options.components
  const revision = configuration.getRevision()
  audit.record({ kind: 'drainStarted', subject: settings.instance.id, revision, cause: 'planned stop', after: `${requests.countRunning()} requests in progress` })
  peers.announceLeaving()
  await clock.sleep(settings.requests.addressValidityMs)
  options.rejectRequests()
  const drainDeadlineMs = clock.nowMs() + (settings.requests.drainMs)
  while (requests.countRunning() > 0 && clock.nowMs() < drainDeadlineMs) await clock.sleep(CHECK_INTERVAL_MS)
  options.handOver()
  while (requests.listRunning().some(mustFinishLocally)) await clock.sleep(CHECK_INTERVAL_MS)
  const readerDeadlineMs = clock.nowMs() + MAX_READER_WAIT_MS
  while (hasPendingReaders(options) && clock.nowMs() < readerDeadlineMs) await clock.sleep(CHECK_INTERVAL_MS)
  audit.record({ kind: 'drainEnded', subject: settings.instance.id, revision, cause: 'planned stop', after: `${requests.countRunning()} requests handed over` })
}

/** Returns whether a request has to end here: a call has no other owner, and a generation without a token cannot be resumed. */
function mustFinishLocally (entry: RequestEntry): boolean {
  return entry.options.service.kind === 'call' || entry.tokens.getEndOffset() === 0
}

/** Returns whether a caller is still reading a response or has not read the outcome of its request. */
function hasPendingReaders ({ components, countExchanges }: DrainOptions): boolean {
  return countExchanges() > 0 || components.leases.listRequests().some(entry => entry.isEnded() && !entry.wasOutcomeRead())
}
