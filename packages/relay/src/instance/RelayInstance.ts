import { Maybe, Result } from 'true-myth'
import { type RelayTarget } from '../model/RelayTarget.js'
import { RouteTable } from '../model/RouteTable.js'
import { type DecodedItem } from '../published/PublishedDecoder.js'
import { type PublishedItem } from '../published/PublishedItem.js'
import { checkCallerLimits, type LimitCheckOptions, type LimitVerdict } from '../requests/checkCallerLimits.js'
import { RelayService } from '../requests/RelayService.js'
import { type RegionMap } from '../places/RegionMap.js'
import { createRelayComponents, type RelayComponents } from './createRelayComponents.js'
import { type RelayInstanceOptions } from './RelayInstanceOptions.js'
import { type InstancePlace } from './RelayPeers.js'

/** Lifecycle phase of an instance. */
export type RelayPhase = 'starting' | 'ready' | 'draining' | 'stopped'

/** Interval of periodic maintenance, in milliseconds. */
const MAINTENANCE_INTERVAL_MS = 250

/** Interval at which a drain checks for requests in progress, in milliseconds. */
const DRAIN_CHECK_INTERVAL_MS = 50

/** Time after the start of a drain in which callers with cached addresses may still connect, in milliseconds. */
const LATE_CALLER_GRACE_MS = 3000

/** Interval of the check whether the last answers are written, in milliseconds. */
const LAST_ANSWERS_CHECK_INTERVAL_MS = 5

/** The connections of callers, as far as a drain needs to know them. */
export interface CallerConnections {
  /** Counts the requests of which at least the head has arrived, and whose answers are not written completely. */
  countOpenAnswers(): number
  /** Waits until what has arrived at the process was read. */
  waitForInput(): Promise<void>
  /** Accepts no further connections. */
  stopAccepting(): void
  /** Answers requests that have not arrived completely as not run; from then on, connections that callers have yet to close count as open answers. */
  finishOpenRequests(): void
}

const NO_CONNECTIONS: CallerConnections = { countOpenAnswers: () => 0, waitForInput: async () => {}, stopAccepting: () => {}, finishOpenRequests: () => {} }

/** A process that relays requests: watches the published keys, tracks its peers, and serves callers. */
export class RelayInstance {
  /**
   * Creates an instance that is not started.
   * @param options - Options of the instance.
   */
  static create (options: RelayInstanceOptions): RelayInstance {
    return new RelayInstance(options)
  }

  readonly service: RelayService
  private readonly components: RelayComponents
  private readonly stopController = new AbortController()
  private phase: RelayPhase = 'starting'
  /** Times of the steps of the stop, in milliseconds after the signal, by step. */
  private readonly stopSteps: Record<string, number> = {}
  private routes: RouteTable | undefined

  /** @internal */
  private constructor (private readonly options: RelayInstanceOptions) {
    this.components = createRelayComponents(options)
    this.service = RelayService.create({
      dependencies: this.components.dependencies,
      getRoutes: () => this.routes,
      getPauseMs: () => this.components.pauseDetector.getPauseMs(),
      isViewStale: () => this.components.watcher.isStale(),
      confirmView: async limits => await this.components.confirmation.confirmView(limits)
    })
    this.components.view.addListener(items => this.applyItems(items))
  }

  /** Starts to listen for peers and to watch the published keys. */
  async start (): Promise<Result<null, string>> {
    const listenResult = await this.components.peers.listen()
    if (listenResult.isErr) return Result.err(listenResult.error)
    this.components.watcher.run()
    this.components.loadExchange.run()
    this.components.reportPoller.run()
    this.components.pauseDetector.run()
    this.runMaintenance()
    this.components.log.recordStateChange('started', { peerAddress: listenResult.value, seeds: this.options.identity.seeds })
    return Result.ok(null)
  }

  /** Returns whether this instance accepts callers. */
  isReady (): boolean {
    return this.phase === 'ready'
  }

  /** Returns whether connections of callers should be closed after their next answer. */
  isDraining (): boolean {
    return this.phase === 'draining' || this.phase === 'stopped'
  }

  /** Returns the routes in force. */
  getRoutes (): Maybe<RouteTable> {
    return Maybe.of(this.routes)
  }

  /**
   * Checks a request that exceeds limits for callers against those of the latest configuration.
   * @param options - Options of the check.
   */
  async checkCallerLimits (options: LimitCheckOptions): Promise<LimitVerdict> {
    const { options: { clock }, components: { confirmation, log } } = this
    const startedAtMs = clock.nowMs()
    const versionBefore = this.routes?.configuration.version
    const verdict = await checkCallerLimits({ clock, getRoutes: () => this.routes, confirmView: async limits => await confirmation.confirmView(limits) }, options)
    log.recordDecision(options.requestId, 'size checked again', { verdict, waitedMs: Math.round(clock.nowMs() - startedAtMs), versionBefore, version: this.routes?.configuration.version })
    return verdict
  }

  /**
   * Lists the addresses that a caller in an availability zone should use; prefers instances in the same zone when there are enough.
   * @param availabilityZone - Availability zone of the caller.
   * @param host - Host that the caller will call; where all its routes have home regions, only instances there or in the caller's region are listed.
   * @param callerAddress - IP address of the caller.
   */
  listAddresses (availabilityZone: string, host = '', callerAddress = ''): string[] {
    const homeRegions = this.routes?.findHomeRegions(host)
    const { peers, regions } = this.components
    const mayList = homeRegions === undefined ? undefined : createRegionFilter(regions, [...homeRegions, regions.findRegion(availabilityZone)])
    return peers.listCallerAddresses(availabilityZone, { isSelfReady: this.isReady(), callerAddress, mayList })
  }

  /**
   * Sets the seeds from which other instances are discovered.
   * @param seeds - Peer addresses.
   */
  setSeeds (seeds: readonly string[]): void {
    this.components.peers.setSeeds(seeds)
    this.components.log.recordStateChange('settings reloaded', { seeds })
  }

  /**
   * Stops after the requests in progress have ended and their answers are written, as far as the grace period allows.
   * @param connections - The connections of callers.
   */
  async drain (connections = NO_CONNECTIONS): Promise<void> {
    if (this.phase === 'draining' || this.phase === 'stopped') return
    const { dependencies: { drain, metrics }, pauseDetector, log, peers, history } = this.components
    const signalDelayMs = pauseDetector.getDelayMs()
    this.phase = 'draining'
    drain.start(signalDelayMs)
    metrics.endedRequests.start()
    log.recordStateChange('drain started', { running: this.service.countRunning(), graceMs: this.options.graceMs, signalDelayMs: Math.round(signalDelayMs) })
    peers.announceLeaving()
    // Lets peers know the resumable streams of this instance, since it cannot tell where they began once it has ended.
    history.restart()
    await this.waitForRequests(connections)
    this.recordDrainStep('drain ended', connections)
    await this.finishLastAnswers(connections)
    this.recordDrainStep('last answers written', connections)
    this.recordEnd(connections)
    await this.stopInTime()
  }

  /** Closes all connections and stops all background tasks. */
  async stop (): Promise<void> {
    if (this.phase === 'stopped') return
    this.phase = 'stopped'
    this.components.dependencies.drain.end()
    this.stopController.abort()
    this.components.watcher.stop()
    this.components.loadExchange.stop()
    this.components.reportPoller.stop()
    this.components.pauseDetector.stop()
    await this.components.peers.close()
    await this.options.client.close()
    this.components.log.recordStateChange('stopped')
  }

  /** Waits until the requests in progress have ended, and those that arrived while the process stood still, or the grace period is over. */
  private async waitForRequests (connections: CallerConnections): Promise<void> {
    const { drain } = this.components.dependencies
    do {
      while (drain.getTimeLeftMs() > 0 && this.shouldKeepDraining(connections)) await this.sleepWhileDraining(Math.min(DRAIN_CHECK_INTERVAL_MS, drain.getTimeLeftMs()))
      await connections.waitForInput()
    } while (drain.getTimeLeftMs() > 0 && this.hasOpenRequests(connections))
  }

  private shouldKeepDraining (connections: CallerConnections): boolean {
    const canReceiveLateCallers = this.components.dependencies.drain.getElapsedMs() < Math.min(this.options.maxAddressTtlMs, LATE_CALLER_GRACE_MS)
    return canReceiveLateCallers || this.hasOpenRequests(connections)
  }

  private hasOpenRequests (connections: CallerConnections): boolean {
    return this.service.countRunning() > 0 || connections.countOpenAnswers() > 0
  }

  /** Ends the requests in progress and waits until their last answers are written; a caller that gets one knows whether its request may have run. */
  private async finishLastAnswers (connections: CallerConnections): Promise<void> {
    const { drain } = this.components.dependencies
    drain.end()
    this.service.stopExceptSlowReaders()
    connections.stopAccepting()
    connections.finishOpenRequests()
    while (drain.schedule.getWriteTimeLeftMs() > 0 && this.hasOpenRequests(connections)) await this.sleepWhileDraining(LAST_ANSWERS_CHECK_INTERVAL_MS)
    this.service.stop()
  }

  /** Stops, without waiting for connections that close slowly: the last answers are written, and the process exits. */
  private async stopInTime (): Promise<void> {
    const closeTimeMs = this.components.dependencies.drain.schedule.getCloseTimeLeftMs()
    await Promise.race([this.stop(), this.options.clock.sleep(closeTimeMs)])
  }

  private async sleepWhileDraining (delayMs: number): Promise<void> {
    const { clock } = this.options
    const startedAtMs = clock.nowMs()
    await clock.sleep(delayMs)
    this.components.dependencies.drain.schedule.recordLateness(clock.nowMs() - startedAtMs - delayMs)
  }

  /** Logs what became of the requests, before anything else is waited for. */
  private recordEnd (connections: CallerConnections): void {
    const { dependencies: { metrics }, log } = this.components
    log.recordEnd('requests ended', { ...metrics.endedRequests.getSummary(), running: this.service.countRunning(), openAnswers: connections.countOpenAnswers(), linesLeftOut: metrics.getDroppedLines(), steps: this.stopSteps })
  }

  private recordDrainStep (step: string, connections: CallerConnections): void {
    const { dependencies: { drain: { schedule } }, log } = this.components
    this.stopSteps[step] = Math.round(schedule.getElapsedMs())
    log.recordStateChange(step, {
      running: this.service.countRunning(), openAnswers: connections.countOpenAnswers(), tookMs: this.stopSteps[step], latenessMs: Math.round(schedule.getLatenessMs()), marginMs: Math.round(schedule.getMarginMs())
    })
  }

  private applyItems (items: readonly PublishedItem[]): void {
    for (const item of items) this.applyDecodedItem(this.components.decodeItem(item), item)
    this.components.dependencies.placer.notifyCapacity()
    this.updateReadiness()
  }

  private updateReadiness (): void {
    if (this.phase !== 'starting' || this.routes === undefined) return
    this.phase = 'ready'
    this.components.log.recordStateChange('ready', { version: this.routes.configuration.version, ...this.components.view.getPosition() })
  }

  private applyDecodedItem (decoded: DecodedItem, item: PublishedItem): void {
    const { log, dependencies } = this.components
    if (decoded.kind === 'configuration') this.applyConfiguration(decoded.configuration, item)
    else if (decoded.kind === 'target') this.applyTarget(decoded.target, item)
    else if (decoded.kind === 'targetRemoved' || decoded.kind === 'targetUnreadable') dependencies.table.handleRemoval(decoded.name)
    else if (decoded.kind === 'evacuation') this.components.evacuatedZones.setZone(decoded.availabilityZone, decoded.isActive)
    if ('problem' in decoded && decoded.problem !== undefined) log.recordStateChange('published key refused', { key: item.key, era: item.era, revision: item.revision, problem: decoded.problem })
  }

  private applyTarget (target: RelayTarget, { era, revision }: PublishedItem): void {
    const { log, dependencies } = this.components
    const isUsed = dependencies.table.updateTarget(target)
    if (isUsed) this.components.coldTargets.recordEntry(target)
    else log.recordStateChange('older target entry ignored', { target: target.name, phase: target.phase, sequence: target.sequence, era, revision })
  }

  private applyConfiguration (configuration: RouteTable['configuration'], item: PublishedItem): void {
    const previousVersion = this.routes?.configuration.version
    if (previousVersion !== undefined && configuration.version <= previousVersion) return
    this.routes = RouteTable.create(configuration)
    this.components.coldTargets.setServices(configuration.services)
    this.components.log.recordStateChange('configuration in force', { before: previousVersion, version: configuration.version, era: item.era, revision: item.revision, routes: configuration.routes.length })
  }

  private async runMaintenance (): Promise<void> {
    const { clock } = this.options
    while (!this.stopController.signal.aborted) {
      await clock.sleep(MAINTENANCE_INTERVAL_MS, this.stopController.signal)
      this.components.dependencies.table.expireEntries()
      this.components.history.checkView()
      this.components.log.runMaintenance()
    }
  }
}

/** Creates a filter of instances in some regions. The region that an instance states goes before that of its zone. */
function createRegionFilter (regions: RegionMap, allowed: ReadonlyArray<string | undefined>): (instance: InstancePlace) => boolean {
  return ({ region, availabilityZone }) => {
    const stated = region === undefined || region === '' ? regions.findRegion(availabilityZone) : region
    return stated !== undefined && allowed.includes(stated)
  }
}
