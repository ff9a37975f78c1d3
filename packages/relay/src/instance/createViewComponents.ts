import { PauseDetector } from '@fescuespoke/common'
import { type TargetLoads } from '../loads/TargetLoads.js'
import { type DecisionLog } from '../logs/DecisionLog.js'
import { PublishedExchange } from '../published/PublishedExchange.js'
import { PublishedWatcher } from '../published/PublishedWatcher.js'
import { PublishedView } from '../published/PublishedView.js'
import { PeerStoreStatus } from '../published/PeerStoreStatus.js'
import { type RelayInstanceOptions } from './RelayInstanceOptions.js'
import { RelayPeers } from './RelayPeers.js'

/** The view of the published keys and the components that keep it up to date. */
export interface ViewComponents {
  readonly peers: RelayPeers
  readonly view: PublishedView
  readonly peerStoreStatus: PeerStoreStatus
  readonly exchange: PublishedExchange
  readonly watcher: PublishedWatcher
  readonly pauseDetector: PauseDetector
}

/** Maximum age of the latest store answer of a watcher up to which other instances skip watching, in milliseconds. */
const MAX_PEER_ANSWER_AGE_MS = 3000

/** Delay between two watches of the standby watchers of a group, in milliseconds. */
const STANDBY_WATCH_DELAY_MS = 500

/**
 * Creates the components that receive the published keys from the store and from peers.
 * @param options - Options of the instance.
 * @param log - Log of the instance.
 * @param loads - Loads of targets; the load of a peer is removed when the peer is declared dead.
 */
export function createViewComponents (options: RelayInstanceOptions, log: DecisionLog, loads: TargetLoads): ViewComponents {
  const { clock, random, source } = options
  const view = PublishedView.create()
  const peerStoreStatus = PeerStoreStatus.create(clock)
  const peers = RelayPeers.create({
    ...options,
    log,
    getRevision: () => view.getRevision(),
    handlePeerRevision: (peer, revision) => { exchange.handlePeerRevision(peer, revision) },
    onPeerDead: peer => loads.removePeer(peer)
  })
  const exchange = PublishedExchange.create({ clock, transport: peers.transport, view, log, listPeers: () => peers.listAlivePeers() })
  const watcher = PublishedWatcher.create({
    view,
    source,
    clock,
    random,
    log,
    fetchFromPeers: async () => await exchange.fetchFromPeers(),
    getWatchDelayMs: () => peers.getWatchRank() === 0 ? 0 : STANDBY_WATCH_DELAY_MS,
    canSkipWatch: () => !peers.isWatcher() && peerStoreStatus.getAgeMs() < MAX_PEER_ANSWER_AGE_MS
  })
  const pauseDetector = PauseDetector.create({
    clock,
    onPause: pauseMs => {
      log.recordStateChange('paused', { pauseMs: Math.round(pauseMs), revision: view.getRevision() })
      watcher.refresh()
    }
  })
  return { peers, view, peerStoreStatus, exchange, watcher, pauseDetector }
}

/**
 * Returns the time since the last outage of the store, in milliseconds. A watcher considers only its own calls; an instance that
 * skips watching considers those of its peers as well.
 * @param components - View components of the instance.
 */
export function getTimeSinceStoreOutageMs ({ peers, watcher, peerStoreStatus }: ViewComponents): number {
  return peers.isWatcher() ? watcher.getTimeSinceOutageMs() : Math.min(watcher.getTimeSinceOutageMs(), peerStoreStatus.getTimeSinceOutageMs())
}
