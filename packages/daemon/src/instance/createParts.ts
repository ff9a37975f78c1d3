import { AuditTrail, type Clock, createLogger, type Logger, type Random, type Snapshot, SystemClock, SystemRandom } from '@fescuespoke/common'
import {
  type ConfigurationSource, ConfigurationView, HttpConfigurationSource, HttpInstanceListSource, type InstanceListSource, InstanceListView
} from '@fescuespoke/configuration'
import { PeerNetwork } from '@fescuespoke/peers'
import { type Settings } from '@fescuespoke/schema'
import { createScheduler, type TargetScheduler } from '@fescuespoke/scheduling'
import { Agent, type Dispatcher } from 'undici'
import { type RunnerTools } from '../dispatch/RequestRunner.js'
import { LeaseRegistry } from '../leases/LeaseRegistry.js'
import { PeerGroup } from '../peers/PeerGroup.js'
import { RequestService } from '../requests/RequestService.js'
import { ResumeService } from '../resume/ResumeService.js'
import { ResumeTokens } from '../resume/ResumeTokens.js'
import { EvidenceGate } from '../targets/EvidenceGate.js'
import { HttpTargetClient } from '../targets/HttpTargetClient.js'
import { type TargetClient } from '../targets/TargetClient.js'
import { TargetPoller } from '../targets/TargetPoller.js'
import { ViewFollower } from '../views/ViewFollower.js'
import { type InstanceOptions, type TransportFactory } from './InstanceOptions.js'
import { PauseDetector } from './PauseDetector.js'

/** Number of random bytes in the name of an incarnation. */
const INCARNATION_BYTES = 8

/** The parts of one instance, joined. */
export interface InstanceParts extends Basis {
  readonly configuration: ConfigurationView
  readonly list: InstanceListView
  readonly follower: ViewFollower
  readonly peers: PeerGroup
  readonly scheduler: TargetScheduler
  readonly targetClient: TargetClient
  readonly poller: TargetPoller
  readonly pauses: PauseDetector
  readonly leases: LeaseRegistry
  readonly requests: RequestService
  readonly resumes: ResumeService
  readonly resumeTokens: ResumeTokens
  /** Connections to other instances for forwarded requests. */
  readonly dispatcher: Dispatcher
}

/** What the parts ask of their instance. */
export interface PartHooks {
  /** Tells whether new requests are refused because the instance stops. */
  readonly isRefusing: () => boolean
}

/** What all parts share. */
export interface Basis {
  readonly settings: Settings
  readonly incarnation: string
  readonly clock: Clock
  readonly random: Random
  readonly logger: Logger
  readonly audit: AuditTrail
}

/**
 * Creates the parts of an instance and joins them.
 * @param options - Options of the instance.
 * @param hooks - What the parts ask of the instance.
 */
export function createParts (options: InstanceOptions, hooks: PartHooks): InstanceParts {
  const basis = createBasis(options)
  const { settings, incarnation, clock, random, logger, audit } = basis
  const views = createViews(options, basis)
  const { configuration, list, follower } = views
  const peers = createPeerGroup(options, basis, views)
  const targets = createTargetParts(options, basis, views, peers)
  const { scheduler, targetClient, poller } = targets
  const leases = createLeases(basis)
  const resumeTokens = ResumeTokens.create(settings.instance)
  const tools = createTools(basis, targets, resumeTokens)
  const pauses = PauseDetector.create({ clock, onPause: pauseMs => recordPause(basis, configuration, pauseMs) })
  const dispatcher = createDispatcher(basis)
  return {
    settings,
    incarnation,
    clock,
    random,
    logger,
    audit,
    configuration,
    list,
    follower,
    peers,
    scheduler,
    targetClient,
    poller,
    pauses,
    leases,
    requests: RequestService.create({ ...settings.requests, clock, leases, tools, getSnapshot: () => configuration.getSnapshot(), isRefusing: hooks.isRefusing }),
    resumes: ResumeService.create({ clock, targetClient, resumeTokens }),
    resumeTokens,
    dispatcher
  }
}

/**
 * Ends every task and connection of an instance's parts.
 * @param parts - The parts.
 */
export async function closeParts (parts: InstanceParts): Promise<void> {
  parts.follower.stop()
  parts.pauses.stop()
  parts.poller.stop()
  parts.scheduler.stop()
  await parts.peers.close()
  await parts.dispatcher.destroy()
  await parts.targetClient.close()
}

function createBasis ({ settings, clock, random, logger }: InstanceOptions): Basis {
  const chosenRandom = random ?? SystemRandom.create()
  const incarnation = chosenRandom.nextText(INCARNATION_BYTES)
  const chosenLogger = logger ?? createLogger({ instance: settings.instance.id, level: 'silent' })
  const audit = AuditTrail.create({ instance: settings.instance.id, incarnation })
  audit.addListener(event => chosenLogger.info({ audit: event }, event.kind))
  return { settings, incarnation, clock: clock ?? SystemClock.create(), random: chosenRandom, logger: chosenLogger, audit }
}

function createSources (options: InstanceOptions, { settings, clock }: Basis): { configurationSource: ConfigurationSource, listSource: InstanceListSource } {
  const { configurationUrl, instanceListUrl } = settings.platform
  return {
    configurationSource: options.configurationSource ?? HttpConfigurationSource.create({ url: configurationUrl, clock }),
    listSource: options.instanceListSource ?? HttpInstanceListSource.create({ url: instanceListUrl, clock })
  }
}

interface Views {
  readonly configuration: ConfigurationView
  readonly list: InstanceListView
  readonly follower: ViewFollower
}

function createViews (options: InstanceOptions, basis: Basis): Views {
  const { clock, random, audit } = basis
  const configuration = ConfigurationView.create({ clock, audit })
  const list = InstanceListView.create({ clock, audit, getRevision: () => configuration.getRevision() })
  const follower = ViewFollower.create({ ...createSources(options, basis), configuration, list, clock, random, audit })
  return { configuration, list, follower }
}

function createPeerGroup (options: InstanceOptions, basis: Basis, { configuration, list }: Views): PeerGroup {
  const peers = PeerGroup.create({
    ...basis,
    createTransport: options.createTransport ?? createNetworkFactory(basis),
    getNews: () => ({
      revision: configuration.getRevision(),
      listVersion: list.getVersion(),
      listAgeMs: Math.round(Math.min(list.getAgeMs(), Number.MAX_SAFE_INTEGER))
    }),
    observeNews: () => undefined
  })
  list.addListener(() => peers.setListed(list.listInstances()))
  return peers
}

interface TargetParts {
  readonly scheduler: TargetScheduler
  readonly targetClient: TargetClient
  readonly poller: TargetPoller
  readonly gate: EvidenceGate
}

function createTargetParts (options: InstanceOptions, basis: Basis, { configuration, list, follower }: Views, peers: PeerGroup): TargetParts {
  const { settings, clock, random, audit } = basis
  const targetClient = options.targetClient ?? HttpTargetClient.create({ ...settings.requests, clock })
  const scheduler = createScheduler({
    ...settings.instance,
    instance: settings.instance.id,
    clock,
    random,
    transport: peers.transport,
    listAliveInstances: () => peers.listAliveInstances(),
    settings: settings.scheduling,
    recordAudit: entry => audit.record(entry)
  })
  const getSnapshot = (): Snapshot => configuration.getSnapshot()
  const poller = TargetPoller.create({ clock, random, scheduler, targetClient, getSnapshot, intervalMs: settings.scheduling.stateMs })
  const gate = EvidenceGate.create({
    clock,
    list,
    targetClient,
    evidenceMs: settings.requests.evidenceMs,
    getReport: target => scheduler.getEvidence(target).unwrapOr(undefined),
    observeReport: (target, report, sentAtMs) => scheduler.observeTargetState(target, report, sentAtMs),
    refreshList: async () => await follower.refreshList()
  })
  return { scheduler, targetClient, poller, gate }
}

function createNetworkFactory ({ settings, clock, random, logger }: Basis): TransportFactory {
  const { fleet, fleetKey, id, availabilityZone, region, peerHost, peerPort } = settings.instance
  return (findPeerAddress, incarnation) => PeerNetwork.create({
    fleet,
    fleetKey,
    instance: id,
    incarnation,
    availabilityZone,
    region,
    clock,
    random,
    logger,
    findPeerAddress,
    host: peerHost,
    port: peerPort
  })
}

function createLeases ({ settings, incarnation, clock, random }: Basis): LeaseRegistry {
  return LeaseRegistry.create({ ...settings.requests, instance: settings.instance.id, incarnation, clock, random })
}

function createDispatcher ({ settings }: Basis): Dispatcher {
  const { connectTimeoutMs, silenceMs } = settings.requests
  return new Agent({ connect: { timeout: connectTimeoutMs }, headersTimeout: silenceMs, bodyTimeout: 0 })
}

function createTools ({ settings, incarnation, clock }: Basis, { gate, ...targets }: TargetParts, resumeTokens: ResumeTokens): RunnerTools {
  let generations = 0
  return {
    ...targets,
    clock,
    targetGate: gate,
    resumeTokens,
    observer: { observeTokens: () => undefined, observePreemption: () => undefined, observeEnd: () => undefined },
    createGenerationName: () => `${settings.instance.id}~${incarnation}~${++generations}`,
    maxBufferedTokens: settings.requests.maxBufferedTokens
  }
}

function recordPause ({ audit, settings }: Basis, configuration: ConfigurationView, pauseMs: number): void {
  audit.record({
    kind: 'pauseDetected',
    subject: settings.instance.id,
    revision: configuration.getRevision(),
    cause: `the process did not run for ${Math.round(pauseMs)} ms`
  })
}
