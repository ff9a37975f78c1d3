import { type PauseDetector } from '@fescuespoke/common'
import { AttemptBudget } from '../budget/AttemptBudget.js'
import { LoadExchange } from '../loads/LoadExchange.js'
import { TargetLoads } from '../loads/TargetLoads.js'
import { DecisionLog } from '../logs/DecisionLog.js'
import { RelayMetrics } from '../logs/RelayMetrics.js'
import { RunMover } from '../moves/RunMover.js'
import { GenerationPace } from '../placement/GenerationPace.js'
import { RelayPlacer } from '../placement/RelayPlacer.js'
import { WaitingRoom } from '../placement/WaitingRoom.js'
import { type PublishedFollower } from '../published/PublishedFollower.js'
import { type PublishedView } from '../published/PublishedView.js'
import { type RelayTools } from '../requests/RelayTools.js'
import { ReportWatch } from '../targets/ReportWatch.js'
import { TargetQuality } from '../targets/TargetQuality.js'
import { TargetTable } from '../targets/TargetTable.js'
import { pickGroupTargets } from './computeGroup.js'
import { createViewParts, getStoreCalmMs, type ViewParts } from './createViewParts.js'
import { type RelayInstanceOptions } from './RelayInstanceOptions.js'
import { type RelayPeers } from './RelayPeers.js'

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

/** What the parts of an instance share. */
interface Basis {
  readonly options: RelayInstanceOptions
  readonly metrics: RelayMetrics
  readonly log: DecisionLog
  readonly loads: TargetLoads
}

/**
 * Creates the parts of a relay instance and joins them.
 * @param options - Options of the instance.
 */
export function createRelayParts (options: RelayInstanceOptions): RelayParts {
  const { clock, client } = options
  const metrics = RelayMetrics.create(options.metrics)
  const log = DecisionLog.create({ logger: options.logger, clock, countDropped: () => metrics.countDroppedLine() })
  const basis: Basis = { options, metrics, log, loads: TargetLoads.create(clock) }
  const views = createViewParts(options, log, basis.loads)
  const tools = createTools(basis, views)
  return {
    ...views,
    log,
    tools,
    loadExchange: createLoadExchange(basis, views, tools),
    reportWatch: ReportWatch.create({ clock, client, table: tools.table, log, isViewDoubtful: () => views.follower.isDoubtful(), listTargets: () => basis.loads.listHolding() })
  }
}

function createTools ({ options, metrics, log, loads }: Basis, views: ViewParts): RelayTools {
  const { clock, random, client, identity } = options
  const table = TargetTable.create({ clock, getStoreCalmMs: () => getStoreCalmMs(views) })
  const quality = TargetQuality.create(clock)
  const placer = RelayPlacer.create({
    clock,
    random,
    table,
    loads,
    quality,
    availabilityZone: identity.availabilityZone,
    pickPreferred: targets => pickGroupTargets(views.peers.getGroup(), identity.availabilityZone, targets)
  })
  const budget = AttemptBudget.create({ clock, limits: options.budget, countInstances: () => views.peers.countFleet() })
  table.addListener(({ target, state }, before) => {
    if (state === 'gone') client.forgetTarget(target)
    log.recordBelief('target changed', { target: target.name, service: target.service, address: target.address, before, state })
  })
  const mover = RunMover.create({ clock, client, table, placer, budget, loads, instance: identity.peerAddress, metrics, log })
  return {
    clock,
    random,
    client,
    table,
    quality,
    placer,
    pace: GenerationPace.create(),
    waitingRoom: WaitingRoom.create({ clock, placer }),
    budget,
    mover,
    metrics,
    log,
    getViewAgeMs: () => Math.round(views.follower.getAgeMs())
  }
}

function createLoadExchange ({ options: { clock }, loads }: Basis, { peers, view, follower, news, exchange }: ViewParts, { placer }: RelayTools): LoadExchange {
  return LoadExchange.create({
    clock,
    transport: peers.transport,
    loads,
    listPeers: () => peers.listGroupPeers(),
    getRevision: () => view.getRevision(),
    observeRevision: (peer, revision) => exchange.observeRevision(peer, revision),
    getStoreNews: () => follower.isWell() ? { ageMs: follower.getAgeMs(), calmMs: follower.getCalmMs() } : undefined,
    observeStoreNews: ({ ageMs, calmMs }) => news.observeAnswer(ageMs, calmMs),
    onChange: () => placer.notifyRoom()
  })
}
