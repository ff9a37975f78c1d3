import { PauseDetector } from '@fescuespoke/common'
import { type TargetLoads } from '../loads/TargetLoads.js'
import { type DecisionLog, type LogFields } from '../logs/DecisionLog.js'
import { ConfigurationReadability } from '../published/ConfigurationReadability.js'
import { createCachedDecoder } from '../published/createCachedDecoder.js'
import { createWatchSchedule } from '../published/createWatchSchedule.js'
import { type DecodedItem, type PublishedDecoder } from '../published/PublishedDecoder.js'
import { type PublishedItem } from '../published/PublishedItem.js'
import { PublishedExchange } from '../published/PublishedExchange.js'
import { PublishedWatcher } from '../published/PublishedWatcher.js'
import { PublishedView } from '../published/PublishedView.js'
import { PeerStoreStatus } from '../published/PeerStoreStatus.js'
import { ViewConfirmation } from '../published/ViewConfirmation.js'
import { VersionHistory } from '../versions/VersionHistory.js'
import { type RelayInstanceOptions } from './RelayInstanceOptions.js'
import { RelayPeers } from './RelayPeers.js'
import { type TargetNewsExchange } from './TargetNewsExchange.js'

/** The view of the published keys and the components that keep it up to date. */
export interface ViewComponents {
  readonly peers: RelayPeers
  readonly view: PublishedView
  readonly decodeItem: PublishedDecoder
  readonly peerStoreStatus: PeerStoreStatus
  readonly exchange: PublishedExchange
  readonly watcher: PublishedWatcher
  readonly pauseDetector: PauseDetector
  readonly history: VersionHistory
  readonly confirmation: ViewConfirmation
}

/**
 * Creates the components that receive the published keys from the store and from peers.
 * @param options - Options of the instance.
 * @param log - Log of the instance.
 * @param loads - Loads of targets; the load of a peer is removed when the peer is declared dead.
 * @param targetNews - News about targets, which peers tell one another.
 */
export function createViewComponents (options: RelayInstanceOptions, log: DecisionLog, loads: TargetLoads, targetNews: TargetNewsExchange): ViewComponents {
  const { clock, random, source } = options
  const decodeItem = createCachedDecoder(options.decodeItem)
  const readability = ConfigurationReadability.create()
  const view = PublishedView.create({
    getVersion: item => getVersion(decodeItem(item)),
    onIgnored: (item, held) => {
      readability.recordItem(item, decodeItem(item).kind)
      log.recordStateChange('published key ignored', { ...describeItem(item, decodeItem), heldEra: held.era, heldRevision: held.revision, heldVersion: getVersion(decodeItem(held)) })
    }
  })
  view.addListener(items => { for (const item of items) readability.recordItem(item, decodeItem(item).kind) })
  const peerStoreStatus = PeerStoreStatus.create(clock)
  const peers = RelayPeers.create({
    ...options,
    log,
    getSummary: () => view.getSummary(),
    handlePeerSummary: (peer, summary) => { exchange.handlePeerSummary(peer, summary) },
    targetNews,
    onPeerDead: peer => loads.removePeer(peer)
  })
  const exchange = PublishedExchange.create({ clock, transport: peers.transport, view, log, listPeers: () => peers.listAlivePeers(), isStoreLost: () => !watcher.isStoreAvailable() })
  const watcher = PublishedWatcher.create({
    view,
    source,
    clock,
    random,
    log,
    watchTimeoutMs: options.watchTimeoutMs,
    fetchFromPeers: async () => await exchange.fetchFromPeers(),
    ...createWatchSchedule({ peerStoreStatus, isWatcher: () => peers.isWatcher(), isBehindPeers: () => exchange.isBehindPeers(), getWatchRank: () => peers.getWatchRank() })
  })
  view.addRestoreListener((before, position) => {
    watcher.recordRestore()
    log.recordStateChange('store returned from an older copy', { ...position, heldEra: before.era, heldRevision: before.revision })
  })
  const history = VersionHistory.create({ clock, isViewStale: () => watcher.isStale() || pauseDetector.isRecovering() })
  view.addGapListener(() => history.restart())
  const pauseDetector = PauseDetector.create({
    clock,
    onPause: pauseMs => {
      log.recordStateChange('paused', { pauseMs: Math.round(pauseMs), ...view.getPosition() })
      watcher.refresh()
      history.restart()
    }
  })
  const confirmation = ViewConfirmation.create({
    clock,
    getKnowledgeAgeMs: () => {
      const peerAgeMs = exchange.lacksReportedChanges() ? Infinity : peerStoreStatus.getAgeMs()
      return Math.min(watcher.getKnowledgeAgeMs(), peerAgeMs) + pauseDetector.getDelayMs()
    },
    hasAnswerSince: atMs => watcher.hasAnswerSince(atMs),
    isConfigurationUnreadable: () => readability.isUnreadable()
  })
  return { peers, view, decodeItem, peerStoreStatus, exchange, watcher, pauseDetector, history, confirmation }
}

/**
 * Returns the time since the last outage of the store, in milliseconds. A watcher considers only its own calls; an instance that
 * skips watching considers those of its peers as well.
 * @param components - View components of the instance.
 */
export function getTimeSinceStoreOutageMs ({ peers, watcher, peerStoreStatus }: ViewComponents): number {
  return peers.isWatcher() ? watcher.getTimeSinceOutageMs() : Math.min(watcher.getTimeSinceOutageMs(), peerStoreStatus.getTimeSinceOutageMs())
}

function getVersion (decoded: DecodedItem): number | undefined {
  return decoded.kind === 'configuration' ? decoded.configuration.version : undefined
}

function describeItem (item: PublishedItem, decodeItem: PublishedDecoder): LogFields {
  const { key, era, revision } = item
  const decoded = decodeItem(item)
  return { key, era, revision, version: getVersion(decoded), problem: decoded.kind === 'refused' ? decoded.problem : undefined }
}
