import { PauseDetector } from '@fescuespoke/common'
import { AttemptBudget } from '../budget/AttemptBudget.js'
import { LoadExchange } from '../loads/LoadExchange.js'
import { TargetLoads } from '../loads/TargetLoads.js'
import { DecisionLog } from '../logs/DecisionLog.js'
import { RelayMetrics } from '../logs/RelayMetrics.js'
import { RunMover } from '../moves/RunMover.js'
import { GenerationPace } from '../placement/GenerationPace.js'
import { RelayPlacer } from '../placement/RelayPlacer.js'
import { WaitingRoom } from '../placement/WaitingRoom.js'
import { PublishedExchange } from '../published/PublishedExchange.js'
import { PublishedFollower } from '../published/PublishedFollower.js'
import { PublishedView } from '../published/PublishedView.js'
import { ViewNews } from '../published/ViewNews.js'
import { type RelayTools } from '../requests/RelayTools.js'
import { TargetQuality } from '../targets/TargetQuality.js'
import { ReportWatch } from '../targets/ReportWatch.js'
import { TargetTable } from '../targets/TargetTable.js'
import { pickGroupTargets } from './computeGroup.js'
import { type RelayInstanceOptions } from './RelayInstanceOptions.js'
import { RelayPeers } from './RelayPeers.js'

/** The parts of a relay instance, joined. */
export interface RelayParts {
  readonly log: DecisionLog
  readonly view: PublishedView
  readonly follower: PublishedFollower
  readonly loadExchange: LoadExchange
  readonly reportWatch: ReportWatch
  readonly pauses: PauseDetector
  readonly peers: RelayPeers
  readonly tools: RelayTools
}

/** Age of the store's latest answer to a watcher up to which others rely on it, in milliseconds. */
const MAX_NEWS_AGE_MS = 3000

/**
 * Creates the parts of a relay instance and joins them.
 * @param options - Options of the instance.
 */
export function createRelayParts (options: RelayInstanceOptions): RelayParts {
  const { clock, random, source, client } = options
  const metrics = RelayMetrics.create(options.metrics)
  const log = DecisionLog.create({ logger: options.logger, clock, countDropped: () => metrics.countDroppedLine() })
  const view = PublishedView.create()
  const loads = TargetLoads.create(clock)
  const peers = RelayPeers.create({ ...options, log, getRevision: () => view.getRevision(), observeRevision: (peer, revision) => { exchange.observeRevision(peer, revision) }, onGone: peer => loads.forgetPeer(peer) })
  const { transport } = peers
  const viewNews = ViewNews.create(clock)
  const listPeers = (): readonly string[] => peers.listOthers()
  const exchange = PublishedExchange.create({ clock, transport, view, log, listPeers })
  const follower = PublishedFollower.create({ view, source, clock, random, log, askPeers: async () => await exchange.askPeers(), mayRest: () => !peers.isWatcher() && viewNews.getAgeMs() < MAX_NEWS_AGE_MS })
  const table = TargetTable.create({ clock, getStoreCalmMs: () => peers.isWatcher() ? follower.getCalmMs() : Math.min(follower.getCalmMs(), viewNews.getCalmMs()) })
  const reportWatch = ReportWatch.create({ clock, client, table, log, isViewDoubtful: () => follower.isDoubtful(), listTargets: () => loads.listHolding() })
  const quality = TargetQuality.create(clock)
  const placer = RelayPlacer.create({
    clock,
    random,
    table,
    loads,
    quality,
    availabilityZone: options.identity.availabilityZone,
    pickPreferred: targets => pickGroupTargets(peers.getGroup(), options.identity.availabilityZone, targets)
  })
  const pauses = PauseDetector.create({
    clock,
    onPause: pauseMs => {
      log.recordBelief('paused', { pauseMs: Math.round(pauseMs), revision: view.getRevision() })
      follower.refresh()
    }
  })
  const budget = AttemptBudget.create({ clock, limits: options.budget, countInstances: () => peers.countFleet() })
  table.addListener(({ target, state }, before) => {
    if (state === 'gone') client.forgetTarget(target)
    log.recordBelief('target changed', { target: target.name, service: target.service, address: target.address, before, state })
  })
  const mover = RunMover.create({ clock, client, table, placer, budget, loads, instance: options.identity.peerAddress, metrics, log })
  const waitingRoom = WaitingRoom.create({ clock, placer })
  const loadExchange = LoadExchange.create({
    clock,
    transport,
    loads,
    listPeers: () => peers.listGroupPeers(),
    getRevision: () => view.getRevision(),
    observeRevision: (peer, revision) => { exchange.observeRevision(peer, revision) },
    getStoreNews: () => follower.isWell() ? { ageMs: follower.getAgeMs(), calmMs: follower.getCalmMs() } : undefined,
    observeStoreNews: ({ ageMs, calmMs }) => viewNews.observeAnswer(ageMs, calmMs),
    onChange: () => placer.notifyRoom()
  })
  return { log, view, follower, loadExchange, reportWatch, pauses, peers, tools: { clock, random, client, table, quality, placer, pace: GenerationPace.create(), waitingRoom, budget, mover, metrics, log, getViewAgeMs: () => Math.round(follower.getAgeMs()) } }
}
