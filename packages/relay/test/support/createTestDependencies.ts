import { BufferBudget, createLogger, type Logger, MetricsRegistry, type PeerTransport, SeededRandom, VirtualClock } from '@fescuespoke/common'
import { InMemoryNetwork } from '@fescuespoke/peers'
import { AttemptBudget } from '../../src/budget/AttemptBudget.js'
import { CrashDetector } from '../../src/crashes/CrashDetector.js'
import { CrashEvidence } from '../../src/crashes/CrashEvidence.js'
import { CrashGuard } from '../../src/crashes/CrashGuard.js'
import { TrialSchedule } from '../../src/crashes/TrialSchedule.js'
import { AnswerDurations } from '../../src/drain/AnswerDurations.js'
import { DrainAdmission } from '../../src/drain/DrainAdmission.js'
import { listTargetPaces } from '../../src/drain/TargetPace.js'
import { EngineHolds } from '../../src/holds/EngineHolds.js'
import { ColdTargets } from '../../src/limits/ColdTargets.js'
import { type ColdFleet } from '../../src/limits/computeColdInterval.js'
import { TargetLimits } from '../../src/limits/TargetLimits.js'
import { TargetLoads } from '../../src/loads/TargetLoads.js'
import { DecisionLog } from '../../src/logs/DecisionLog.js'
import { RelayMetrics } from '../../src/logs/RelayMetrics.js'
import { type RelayConfiguration, type RelayRoute, type ServiceProfile } from '../../src/model/RelayConfiguration.js'
import { type RelayTarget } from '../../src/model/RelayTarget.js'
import { RunMover } from '../../src/moves/RunMover.js'
import { GenerationTimeEstimator } from '../../src/placement/GenerationTimeEstimator.js'
import { PromptPrefixes } from '../../src/prefixes/PromptPrefixes.js'
import { RelayPlacer } from '../../src/placement/RelayPlacer.js'
import { AdmissionQueue } from '../../src/placement/AdmissionQueue.js'
import { type RelayContext } from '../../src/requests/RelayContext.js'
import { type RelayRequest } from '../../src/requests/RelayRequest.js'
import { type RelayDependencies } from '../../src/requests/RelayDependencies.js'
import { type RelayTargetClient } from '../../src/targets/RelayTargetClient.js'
import { RegionMap } from '../../src/places/RegionMap.js'
import { EvacuatedZones } from '../../src/places/EvacuatedZones.js'
import { TargetSpeeds } from '../../src/speeds/TargetSpeeds.js'
import { TargetAvailability } from '../../src/targets/TargetAvailability.js'
import { TargetBackoffs } from '../../src/targets/TargetBackoffs.js'
import { TargetGateway } from '../../src/targets/TargetGateway.js'
import { TargetHealth } from '../../src/targets/TargetHealth.js'
import { TargetNotices } from '../../src/targets/TargetNotices.js'
import { TargetTable } from '../../src/targets/TargetTable.js'
import { OriginExchange } from '../../src/versions/OriginExchange.js'
import { VersionHistory } from '../../src/versions/VersionHistory.js'
import { FakeSink } from './FakeSink.js'
import { FakeTargetClient } from './FakeTargetClient.js'

/** Dependencies with a virtual clock and fake targets. */
export interface TestDependencies extends RelayDependencies {
  readonly clock: VirtualClock
  readonly client: FakeTargetClient
  readonly loads: TargetLoads
  readonly registry: MetricsRegistry
  readonly history: VersionHistory
  readonly notices: TargetNotices
  readonly evidence: CrashEvidence
  readonly evacuatedZones: EvacuatedZones
  readonly coldTargets: ColdTargets
}

/** Creates dependencies with a virtual clock and fake targets. */
export function createTestDependencies (options: { extra?: number, getTimeSinceStoreOutageMs?: () => number, clock?: VirtualClock, seed?: number, client?: RelayTargetClient, instanceCount?: number, getRank?: (key: string) => number, transport?: PeerTransport, isLoadPartial?: () => boolean, pickPreferred?: (targets: readonly RelayTarget[]) => ReadonlySet<string>, logger?: Logger, listPeers?: () => readonly string[], graceMs?: number, getColdFleet?: (target: string) => ColdFleet, bufferBudget?: BufferBudget } = {}): TestDependencies {
  const { clock = VirtualClock.create(), seed = 1 } = options
  const random = SeededRandom.create(seed)
  const client = FakeTargetClient.create(clock)
  const registry = MetricsRegistry.create({ clock })
  const metrics = RelayMetrics.create(registry)
  const log = createTestLog(clock, options.logger)
  const table = TargetTable.create({ clock, getTimeSinceStoreOutageMs: options.getTimeSinceStoreOutageMs ?? (() => 60_000) })
  const backoffs = TargetBackoffs.create({ clock, log })
  const evacuatedZones = EvacuatedZones.create({ log })
  const coldTargets = createColdTargets(clock, log, options.getColdFleet)
  const gateway = TargetGateway.create({ client: options.client ?? client, backoffs, evacuatedZones })
  const notices = TargetNotices.create({ table, backoffs, coldTargets, log })
  client.addNoticeListener((target, notice) => notices.handleNotice(target, notice))
  const loads = TargetLoads.create(clock)
  const health = TargetHealth.create(clock)
  const limits = TargetLimits.create({ clock, log, countInstances: () => options.instanceCount ?? 1, getRank: options.getRank ?? (() => 0) })
  const speeds = TargetSpeeds.create({ clock, loads, log, metrics })
  const prefixes = PromptPrefixes.create({ clock, log })
  const holds = EngineHolds.create({ clock, gateway, health, metrics, log, isLoadPartial: options.isLoadPartial })
  const placer = RelayPlacer.create({ clock, random, table, loads, health, limits, coldTargets, speeds, prefixes, availability: TargetAvailability.create({ backoffs, limits, evacuatedZones, coldTargets, holds, health }), regions: RegionMap.create({ zones: new Map([['z1', 'r1'], ['z2', 'r1'], ['z3', 'r2']]) }), availabilityZone: 'z1', pickPreferred: options.pickPreferred, listDeclining: service => history.listDeclining(service) })
  const budget = AttemptBudget.create({ clock, limits: { ratio: 0.2, extra: options.extra ?? 50, windowMs: 10_000 }, countInstances: () => 1 })
  const evidence = CrashEvidence.create({ clock, log })
  const trials = TrialSchedule.create({ clock, countInstances: () => options.instanceCount ?? 1, getRank: options.getRank ?? (() => 0) })
  const crashes = CrashGuard.create({ clock, evidence, detector: CrashDetector.create({ clock, gateway, table, evidence }), trials, metrics, log })
  const mover = RunMover.create({ clock, gateway, table, placer, budget, loads, instance: 'own', metrics, log, getTimeLeftMs: () => drain.getTimeLeftMs() })
  const history = VersionHistory.create({ clock, isViewStale: () => false })
  table.addListener(tracked => history.recordTarget(tracked))
  const origins = OriginExchange.create({ clock, transport: options.transport ?? InMemoryNetwork.create({ clock, random }).createPeer('own'), history, log, listPeers: options.listPeers ?? (() => []) })
  const generationTimes = GenerationTimeEstimator.create()
  const durations = AnswerDurations.create()
  const drain = DrainAdmission.create({ clock, graceMs: options.graceMs, durations, generationTimes, log, listPaces: service => listTargetPaces({ table, speeds }, service) })
  return { clock, random, client: options.client as FakeTargetClient ?? client, gateway, loads, notices, table, health, limits, placer, prefixes, holds, generationTimes, durations, drain, speeds, admissionQueue: AdmissionQueue.create({ clock, random, placer, metrics, log, isLoadPartial: options.isLoadPartial, countInstances: () => options.instanceCount ?? 1 }), budget, crashes, evidence, evacuatedZones, coldTargets, mover, origins, history, metrics, registry, log, bufferBudget: getBufferBudget(options.bufferBudget), getViewAgeMs: () => 0 }
}

function getBufferBudget (bufferBudget = BufferBudget.create()): BufferBudget {
  return bufferBudget
}

function createColdTargets (clock: VirtualClock, log: DecisionLog, getFleet: (target: string) => ColdFleet = () => ({ alive: 1, possible: 1, rank: 0 })): ColdTargets {
  return ColdTargets.create({ clock, log, getFleet })
}

function createTestLog (clock: VirtualClock, logger: Logger = createLogger({ instance: 'test', level: 'silent' })): DecisionLog {
  return DecisionLog.create({ logger, clock })
}

/** Creates a target in availability zone z1. */
export function createTarget (name: string, change: Partial<RelayTarget> = {}): RelayTarget {
  return { name, startedAtMs: 1, sequence: 0, service: 'calls', address: `${name}:1`, availabilityZone: 'z1', slots: 6, phase: 'ready', slowStartRemainingMs: 0, ...change }
}

/** Creates a route of kind `idempotent` to service `calls`. */
export function createRoute (change: Partial<RelayRoute> = {}): RelayRoute {
  return {
    name: 'r',
    host: 'h',
    prefix: '/',
    kind: 'idempotent',
    timeoutMs: 1000,
    objectiveMs: 200,
    priority: 1,
    services: [{ service: 'calls', weight: 1 }],
    maxAttempts: 2,
    isPublic: true,
    isResumable: false,
    ...change
  }
}

/** A service whose targets are engines. */
export const ENGINES: ServiceProfile = {
  name: 'engines',
  engine: { slots: 4, memoryTokens: 10_000, linkMbps: 1000, tokenBytes: 1000, tokensPerEvent: 4, canMove: true }
}

/** A service of plain targets. */
export const CALLS: ServiceProfile = { name: 'calls' }

/** Creates a configuration with routes. */
export function createConfiguration (routes: readonly RelayRoute[], change: Partial<RelayConfiguration> = {}): RelayConfiguration {
  return {
    version: 1,
    routes,
    services: new Map([[CALLS.name, CALLS], [ENGINES.name, ENGINES]]),
    limits: { maxHeaderBytes: 1000, maxBodyBytes: 1000, headerTimeoutMs: 1000, idleTimeoutMs: 1000 },
    ...change
  }
}

/** Creates a request. */
export function createRequest (change: Partial<RelayRequest> = {}): RelayRequest {
  return { id: 'q1', method: 'GET', host: 'h', path: '/', headers: [], body: Buffer.alloc(0), receivedAtMs: 0, ...change }
}

/** Creates the context of a request with its sink and the controller that aborts it. */
export function createContext (route: RelayRoute, service: ServiceProfile, change: Partial<RelayRequest> = {}): { context: RelayContext, sink: FakeSink, endController: AbortController } {
  const sink = FakeSink.create()
  const endController = new AbortController()
  sink.callerSignal.addEventListener('abort', () => endController.abort())
  const context: RelayContext = {
    request: createRequest(change), configuration: createConfiguration([route]), route, service, priority: route.priority, sink, deadlineAtMs: route.timeoutMs, signal: endController.signal
  }
  return { context, sink, endController }
}
