import { type RequestEntry } from '../requests/RequestEntry.js'
import { type InstanceComponents } from './createComponents.js'

/** Interval in milliseconds at which the end of work is looked for. */
const CHECK_INTERVAL_MS = 50

/** Longest wait in milliseconds for callers to take the last bytes or to come back for an outcome. */
const MAX_READER_WAIT_MS = 10_000

/** What a drain works with. */
export interface DrainOptions {
  readonly components: InstanceComponents
  /** Refuses requests that come from now on. */
  readonly rejectRequests: () => void
  /** Sends readers of generations to other instances. */
  readonly handOver: () => void
  /** Counts the HTTP exchanges in progress. */
  readonly countExchanges: () => number
}

/**
 * Drains an instance. Calls and generations without a token are always waited for;
 * generations that outlast the drain time are handed over.
 * @param options - What the drain works with.
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

/** A call has no other owner, and a generation without a token cannot be resumed. */
function mustFinishLocally (entry: RequestEntry): boolean {
  return entry.options.service.kind === 'call' || entry.tokens.getEndOffset() === 0
}

/** Callers that read now, or that have not come back yet for an outcome. */
function hasPendingReaders ({ components, countExchanges }: DrainOptions): boolean {
  return countExchanges() > 0 || components.leases.listRequests().some(entry => entry.isEnded() && !entry.wasOutcomeRead())
}
