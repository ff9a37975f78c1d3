import { BufferBudget, type PauseDetector } from '@fescuespoke/common'
import { AttemptBudget } from '../budget/AttemptBudget.js'
import { CrashDetector } from '../crashes/CrashDetector.js'
import { CrashEvidence } from '../crashes/CrashEvidence.js'
import { CrashGuard } from '../crashes/CrashGuard.js'
import { TrialSchedule } from '../crashes/TrialSchedule.js'
import { AnswerDurations } from '../drain/AnswerDurations.js'
import { DrainAdmission } from '../drain/DrainAdmission.js'
import { listTargetPaces } from '../drain/TargetPace.js'
import { EngineHolds } from '../holds/EngineHolds.js'
import { ColdTargets } from '../limits/ColdTargets.js'
import { TargetLimits } from '../limits/TargetLimits.js'
import { LoadExchange } from '../loads/LoadExchange.js'
import { TargetLoads } from '../loads/TargetLoads.js'
import { DecisionLog } from '../logs/DecisionLog.js'
import { RelayMetrics } from '../logs/RelayMetrics.js'
import { RunMover } from '../moves/RunMover.js'
import { GenerationTimeEstimator } from '../placement/GenerationTimeEstimator.js'
import { RelayPlacer } from '../placement/RelayPlacer.js'
import { AdmissionQueue } from '../placement/AdmissionQueue.js'
import { EvacuatedZones } from '../places/EvacuatedZones.js'
import { RegionMap } from '../places/RegionMap.js'
import { PromptPrefixes } from '../prefixes/PromptPrefixes.js'
import { type PublishedDecoder } from '../published/PublishedDecoder.js'
import { type PublishedWatcher } from '../published/PublishedWatcher.js'
import { type ViewConfirmation } from '../published/ViewConfirmation.js'
import { type VersionHistory } from '../versions/VersionHistory.js'
import { type PublishedView } from '../published/PublishedView.js'
import { type RelayDependencies } from '../requests/RelayDependencies.js'
import { TargetSpeeds } from '../speeds/TargetSpeeds.js'
import { TargetAvailability } from '../targets/TargetAvailability.js'
import { TargetBackoffs } from '../targets/TargetBackoffs.js'
import { TargetGateway } from '../targets/TargetGateway.js'
import { TargetReportPoller } from '../targets/TargetReportPoller.js'
import { TargetHealth } from '../targets/TargetHealth.js'
import { TargetNotices } from '../targets/TargetNotices.js'
import { TargetTable } from '../targets/TargetTable.js'
import { OriginExchange } from '../versions/OriginExchange.js'
import { pickGroupTargets } from './computeGroup.js'
import { createViewComponents, getTimeSinceStoreOutageMs, type ViewComponents } from './createViewComponents.js'
import { type RelayInstanceOptions } from './RelayInstanceOptions.js'
import { type RelayPeers } from './RelayPeers.js'
import { TargetNewsExchange } from './TargetNewsExchange.js'

/** The connected components of a relay instance. */
export interface RelayComponents {
  readonly log: DecisionLog
  readonly view: PublishedView
  readonly decodeItem: PublishedDecoder
  readonly watcher: PublishedWatcher
  readonly loadExchange: LoadExchange
  readonly reportPoller: TargetReportPoller
  readonly evacuatedZones: EvacuatedZones
  readonly coldTargets: ColdTargets
  readonly regions: RegionMap
  readonly pauseDetector: PauseDetector
  readonly history: VersionHistory
  readonly confirmation: ViewConfirmation
  readonly peers: RelayPeers
  readonly dependencies: RelayDependencies
}

/** Signal of a confirmation that only its time limit ends. */
const NEVER_ABORTED = new AbortController().signal

/** Options and components that other components share. */
interface SharedComponents {
  readonly options: RelayInstanceOptions
  readonly metrics: RelayMetrics
  readonly log: DecisionLog
  readonly loads: TargetLoads
  readonly limits: TargetLimits
  readonly speeds: TargetSpeeds
  readonly evidence: CrashEvidence
  readonly backoffs: TargetBackoffs
  readonly evacuatedZones: EvacuatedZones
  readonly coldTargets: ColdTargets
  readonly regions: RegionMap
  readonly gateway: TargetGateway
}

/**
 * Creates and connects the components of a relay instance.
 * @param options - Options of the instance.
 */
export function createRelayComponents (options: RelayInstanceOptions): RelayComponents {
  const { clock, client } = options
  const metrics = RelayMetrics.create(options.metrics)
  const log = DecisionLog.create({ logger: options.logger, clock, countDropped: () => metrics.countDroppedLine() })
  const limits = TargetLimits.create({ clock, log, countInstances: () => viewComponents.peers.estimateFleetSize(), getRank: target => viewComponents.peers.getRank(target) })
  const coldTargets = ColdTargets.create({ clock, log, bound: options.coldBound, getFleet: target => viewComponents.peers.census.getFleet(target) })
  const regions = RegionMap.create({ zones: options.zones })
  const backoffs = TargetBackoffs.create({ clock, log })
  const evidence = CrashEvidence.create({ clock, log })
  const evacuatedZones = EvacuatedZones.create({ log })
  const loads = TargetLoads.create(clock)
  const speeds = TargetSpeeds.create({ clock, loads, log, metrics, isLoadPartial: () => viewComponents.peers.isLoadPartial() })
  const shared: SharedComponents = { options, metrics, log, loads, limits, speeds, evidence, backoffs, evacuatedZones, coldTargets, regions, gateway: TargetGateway.create({ client, backoffs, evacuatedZones }) }
  const viewComponents = createViewComponents(options, log, loads, TargetNewsExchange.create({ limits, coldTargets, getCensus: () => viewComponents.peers.census, crashes: evidence, getNotices: () => notices }))
  const dependencies = createDependencies(shared, viewComponents)
  evidence.addListener(() => viewComponents.peers.pushNews())
  const notices = TargetNotices.create({ table: dependencies.table, backoffs: shared.backoffs, coldTargets, log })
  client.addNoticeListener((target, notice) => notices.handleNotice(target, notice))
  return {
    ...viewComponents,
    log,
    evacuatedZones,
    coldTargets,
    regions,
    dependencies,
    loadExchange: createLoadExchange(shared, viewComponents, dependencies),
    reportPoller: TargetReportPoller.create({ clock, gateway: shared.gateway, table: dependencies.table, log, isViewStale: () => viewComponents.watcher.isStale(), listTargets: () => shared.loads.listEnginesInUse() })
  }
}

function createDependencies (shared: SharedComponents, viewComponents: ViewComponents): RelayDependencies {
  const { options, metrics, log, loads, limits, speeds, backoffs, evacuatedZones, coldTargets, regions, gateway } = shared
  const { clock, random, identity } = options
  const table = TargetTable.create({ clock, getTimeSinceStoreOutageMs: () => getTimeSinceStoreOutageMs(viewComponents) })
  const health = TargetHealth.create(clock)
  const prefixes = PromptPrefixes.create({ clock, log })
  const holds = EngineHolds.create({ clock, gateway, health, metrics, log, isLoadPartial: () => viewComponents.peers.isLoadPartial() })
  const placer = RelayPlacer.create({
    clock,
    random,
    table,
    loads,
    health,
    limits,
    coldTargets,
    availability: TargetAvailability.create({ backoffs, limits, evacuatedZones, coldTargets, holds, health }),
    regions,
    availabilityZone: identity.availabilityZone,
    speeds,
    prefixes,
    pickPreferred: targets => pickGroupTargets(viewComponents.peers.getGroup(), identity.availabilityZone, targets, target => speeds.getSpeed(target)),
    listDeclining: service => viewComponents.history.listDeclining(service)
  })
  const budget = AttemptBudget.create({ clock, limits: options.budget, countInstances: () => viewComponents.peers.estimateFleetSize() })
  watchTargets(shared, table, prefixes)
  const mover = RunMover.create({ clock, gateway, table, placer, budget, loads, instance: identity.peerAddress, metrics, log, getTimeLeftMs: () => drain.getTimeLeftMs(), mayAskEngines: service => holds.isActive(service) })
  const generationTimes = GenerationTimeEstimator.create()
  const durations = AnswerDurations.create()
  const drain = DrainAdmission.create({ clock, graceMs: options.graceMs, durations, generationTimes, log, listPaces: service => listTargetPaces({ table, speeds }, service) })
  return {
    clock,
    random,
    gateway,
    table,
    health,
    limits,
    coldTargets,
    placer,
    prefixes,
    holds,
    generationTimes,
    durations,
    drain,
    speeds,
    admissionQueue: createAdmissionQueue(shared, viewComponents, placer),
    budget,
    crashes: createCrashGuard(shared, viewComponents, table),
    mover,
    origins: createOriginExchange(options, log, viewComponents, table),
    metrics,
    log,
    bufferBudget: options.bufferBudget ?? BufferBudget.create(),
    getViewAgeMs: () => Math.round(viewComponents.watcher.getAgeMs())
  }
}

/** Logs the changes of targets, and drops what is kept for those that no longer exist. */
function watchTargets ({ options: { client }, log }: SharedComponents, table: TargetTable, prefixes: PromptPrefixes): void {
  table.addListener(({ target, state }, previousState) => {
    if (state === 'gone') {
      client.closeConnections(target)
      prefixes.removeTarget(target.name)
    }
    log.recordStateChange('target changed', { target: target.name, service: target.service, softwareVersion: target.softwareVersion, address: target.address, before: previousState, state })
  })
}

function createAdmissionQueue ({ options: { clock, random }, metrics, log }: SharedComponents, { peers, pauseDetector }: ViewComponents, placer: RelayPlacer): AdmissionQueue {
  const queue = AdmissionQueue.create({ clock, random, placer, metrics, log, isLoadPartial: () => peers.isLoadPartial(), countInstances: () => peers.estimateFleetSize() })
  pauseDetector.addListener(() => queue.dropEstimates())
  return queue
}

function createCrashGuard ({ options: { clock }, metrics, log, evidence, gateway }: SharedComponents, { peers }: ViewComponents, table: TargetTable): CrashGuard {
  return CrashGuard.create({
    clock,
    evidence,
    detector: CrashDetector.create({ clock, gateway, table, evidence }),
    trials: TrialSchedule.create({ clock, countInstances: () => peers.listAlivePeers().length + 1, getRank: key => peers.getRank(key) }),
    metrics,
    log
  })
}

function createOriginExchange ({ clock }: RelayInstanceOptions, log: DecisionLog, { peers, history, confirmation }: ViewComponents, table: TargetTable): OriginExchange {
  table.addListener(tracked => history.recordTarget(tracked))
  const confirmTargets = async (endAtMs: number): Promise<boolean> => await confirmation.confirmByAnswer({ endAtMs, signal: NEVER_ABORTED, isOutdated: () => false })
  return OriginExchange.create({ clock, transport: peers.transport, history, log, listPeers: () => peers.listAlivePeers(), confirmTargets })
}

function createLoadExchange ({ options: { clock }, loads, speeds }: SharedComponents, { peers, view, watcher, peerStoreStatus, exchange }: ViewComponents, { placer, prefixes }: RelayDependencies): LoadExchange {
  return LoadExchange.create({
    clock,
    transport: peers.transport,
    loads,
    speeds,
    listPeers: () => peers.listGroupPeers(),
    getSummary: () => view.getSummary(),
    handlePeerSummary: (peer, summary) => exchange.handlePeerSummary(peer, summary),
    getStoreStatus: () => watcher.isStoreAvailable() ? { answerAgeMs: watcher.getKnowledgeAgeMs(), timeSinceOutageMs: watcher.getTimeSinceOutageMs() } : undefined,
    handlePeerStoreStatus: ({ answerAgeMs, timeSinceOutageMs }) => peerStoreStatus.recordAnswer(answerAgeMs, timeSinceOutageMs),
    prefixes,
    onPeerLoad: () => placer.notifyCapacity()
  })
}
