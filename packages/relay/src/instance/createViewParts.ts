import { PauseDetector } from '@fescuespoke/common'
import { type TargetLoads } from '../loads/TargetLoads.js'
import { type DecisionLog } from '../logs/DecisionLog.js'
import { PublishedExchange } from '../published/PublishedExchange.js'
import { PublishedFollower } from '../published/PublishedFollower.js'
import { PublishedView } from '../published/PublishedView.js'
import { ViewNews } from '../published/ViewNews.js'
import { type RelayInstanceOptions } from './RelayInstanceOptions.js'
import { RelayPeers } from './RelayPeers.js'

/** What an instance knows of what is published, and how it learns of it. */
export interface ViewParts {
  readonly peers: RelayPeers
  readonly view: PublishedView
  readonly news: ViewNews
  readonly exchange: PublishedExchange
  readonly follower: PublishedFollower
  readonly pauses: PauseDetector
}

/** Age of the store's latest answer to a watcher up to which others rely on it, in milliseconds. */
const MAX_NEWS_AGE_MS = 3000

/** Time between watches of those that stand by for the first watcher of a group, in milliseconds. */
const SECOND_WATCHER_REST_MS = 500

/**
 * Creates the parts that follow what is published, from the store and from peers.
 * @param options - Options of the instance.
 * @param log - Log of the instance.
 * @param loads - Work at targets, of which that of peers is forgotten with them.
 */
export function createViewParts (options: RelayInstanceOptions, log: DecisionLog, loads: TargetLoads): ViewParts {
  const { clock, random, source } = options
  const view = PublishedView.create()
  const news = ViewNews.create(clock)
  const peers = RelayPeers.create({
    ...options,
    log,
    getRevision: () => view.getRevision(),
    observeRevision: (peer, revision) => { exchange.observeRevision(peer, revision) },
    onGone: peer => loads.forgetPeer(peer)
  })
  const exchange = PublishedExchange.create({ clock, transport: peers.transport, view, log, listPeers: () => peers.listOthers() })
  const follower = PublishedFollower.create({
    view,
    source,
    clock,
    random,
    log,
    askPeers: async () => await exchange.askPeers(),
    getRestMs: () => peers.getWatchRank() === 0 ? 0 : SECOND_WATCHER_REST_MS,
    mayRest: () => !peers.isWatcher() && news.getAgeMs() < MAX_NEWS_AGE_MS
  })
  const pauses = PauseDetector.create({
    clock,
    onPause: pauseMs => {
      log.recordBelief('paused', { pauseMs: Math.round(pauseMs), revision: view.getRevision() })
      follower.refresh()
    }
  })
  return { peers, view, news, exchange, follower, pauses }
}

/**
 * Gets the time in milliseconds since the store was last in trouble. An instance that watches goes by its own calls alone,
 * one that rests by those of its peers as well.
 * @param parts - What the instance knows.
 */
export function getStoreCalmMs ({ peers, follower, news }: ViewParts): number {
  return peers.isWatcher() ? follower.getCalmMs() : Math.min(follower.getCalmMs(), news.getCalmMs())
}
