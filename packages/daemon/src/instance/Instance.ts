import { type AddressAnswer, type InstanceStatus } from '@fescuespoke/schema'
import { Result } from 'true-myth'
import { createCallerRoutes } from '../http/createCallerRoutes.js'
import { createOperatorRoutes } from '../http/createOperatorRoutes.js'
import { HttpServer } from '../http/HttpServer.js'
import { closeComponents, createComponents, type InstanceComponents, startComponents } from './createComponents.js'
import { describeInstance, findExplanation } from './describeInstance.js'
import { type InstanceOptions } from './InstanceOptions.js'
import { addStateMetrics } from '../metrics/addStateMetrics.js'
import { sumCounters } from '../metrics/sumCounters.js'
import { runDrain } from './runDrain.js'

/** Lifecycle phase of an instance. */
export type InstancePhase = InstanceStatus['phase']

/** Interval of the maintenance task, which prunes leases and target reports, in milliseconds. */
const MAINTENANCE_INTERVAL_MS = 10_000

/** One daemon. It grants leases, runs the requests of its leases, follows the platform's configuration and probes its peers. */
export class Instance {
  /**
   * Creates an instance that is not listening yet.
   * @param options - Options of the instance.
   */
  static create (options: InstanceOptions): Instance {
    return new Instance(options)
  }

  private readonly components: InstanceComponents
  private readonly callerServer: HttpServer
  private readonly operatorServer: HttpServer
  private readonly stopController = new AbortController()
  private phase: InstancePhase = 'starting'
  private isHandingOver = false
  private isRejectingRequests = false
  private hasQueriedFleet = false
  private nextRotationOffset = 0

  /** @internal */
  private constructor (options: InstanceOptions) {
    this.components = createComponents(options, { isRejectingRequests: () => this.isRejectingRequests })
    addStateMetrics(this.components)
    this.callerServer = this.createCallerServer()
    this.operatorServer = this.createOperatorServer()
  }

  /**
   * Starts listening, following the platform's configuration and probing peers.
   * @returns Nothing, or the reason why the instance cannot listen.
   */
  async start (): Promise<Result<null, string>> {
    const { peers, settings, logger } = this.components
    try {
      await this.callerServer.start()
      await this.operatorServer.start()
    } catch (error) {
      return Result.err((error as Error).message)
    }
    const listening = await peers.listen(settings.instance.httpUrl ?? this.callerServer.getUrl())
    if (listening.isErr) return Result.err(listening.error)
    this.startTasks()
    logger.info({ url: this.getUrl(), operatorUrl: this.getOperatorUrl(), peerAddress: listening.value }, 'listening')
    return Result.ok(null)
  }

  /** Returns the base URL for callers. */
  getUrl (): string {
    return this.components.settings.instance.httpUrl ?? this.callerServer.getUrl()
  }

  /** Returns the base URL for operators. */
  getOperatorUrl (): string {
    return this.operatorServer.getUrl()
  }

  /** Returns the host and port for peers. */
  getPeerAddress (): string {
    return this.components.peers.getAddress()
  }

  /** Returns the id of this run of the process. */
  getIncarnation (): string {
    return this.components.incarnation
  }

  /** Returns the lifecycle phase of the instance. */
  getPhase (): InstancePhase {
    return this.phase
  }

  /** Returns the status for operators. */
  getStatus (): InstanceStatus {
    return describeInstance(this.components, this.phase)
  }

  /** Waits until the instance accepts requests or has stopped. */
  async waitUntilReady (): Promise<void> {
    while (this.phase === 'starting') await this.components.clock.sleep(20, this.stopController.signal)
  }

  /**
   * Stops the instance without interrupting requests. It stops granting leases, stays reachable for as long as the
   * addresses it has returned are valid, waits for running requests, hands over generations that outlast the drain time,
   * and then closes.
   */
  async drain (): Promise<void> {
    if (this.phase !== 'ready' && this.phase !== 'starting') return
    this.phase = 'draining'
    await runDrain({
      components: this.components,
      rejectRequests: () => { this.isRejectingRequests = true },
      handOver: () => {
        this.isHandingOver = true
        for (const entry of this.components.requests.listRunning()) entry.changes.notifyAll()
      },
      countExchanges: () => this.callerServer.countExchanges()
    })
    await this.stop()
  }

  /** Closes every connection and stops every task immediately. */
  async stop (): Promise<void> {
    if (this.phase === 'stopped') return
    this.phase = 'stopped'
    this.stopController.abort()
    await closeComponents(this.components)
    await this.callerServer.close()
    await this.operatorServer.close()
    this.components.logger.info('stopped')
  }

  private startTasks (): void {
    const { configuration, poller } = this.components
    startComponents(this.components)
    configuration.addListener(() => {
      poller.refreshTargets()
      this.updateReadiness()
    })
    this.queryFleet()
    this.runMaintenance()
    this.logCounters()
  }

  /** Queries peers before the instance becomes ready, so that it does not start with records that the fleet has replaced, or without crashes that it remembers. */
  private async queryFleet (): Promise<void> {
    const { configurationFollower, instanceList, crashExchange } = this.components
    await configurationFollower.waitForInitialRefresh(() => instanceList.getVersion() > 0)
    await crashExchange.fetchCrashes()
    this.hasQueriedFleet = true
    this.updateReadiness()
  }

  /** Marks the instance as ready once its peers have been queried and a configuration is in force. */
  private updateReadiness (): void {
    if (!this.hasQueriedFleet || this.phase !== 'starting' || this.components.configuration.getRevision() === 0) return
    this.phase = 'ready'
    this.components.poller.refreshTargets()
    this.components.logger.info({ revision: this.components.configuration.getRevision() }, 'ready')
  }

  private async runMaintenance (): Promise<void> {
    const { clock, leases, poller, targetStates, configuration } = this.components
    while (!this.stopController.signal.aborted) {
      await clock.sleep(MAINTENANCE_INTERVAL_MS, this.stopController.signal)
      leases.pruneLeases()
      targetStates.prune(configuration.getSnapshot().targets)
      poller.refreshTargets()
    }
  }

  private async logCounters (): Promise<void> {
    const { clock, metrics, logger, settings } = this.components
    while (!this.stopController.signal.aborted) {
      await clock.sleep(settings.log.countersMs, this.stopController.signal)
      logger.info({ counters: sumCounters(metrics.getReading()) }, 'counters')
    }
  }

  private createCallerServer (): HttpServer {
    const { settings, clock, leases, requests, resumes, resumeTokenCodec, dispatcher, incarnation, peers, configuration } = this.components
    const routes = createCallerRoutes({
      instance: settings.instance.id,
      incarnation,
      clock,
      leases,
      requests,
      resumes,
      resumeTokenCodec,
      dispatcher,
      heartbeatMs: settings.requests.heartbeatMs,
      maxBodyBytes: settings.requests.maxBodyBytes,
      leaseMs: settings.requests.leaseMs,
      getPhase: () => this.phase,
      getRevision: () => configuration.getRevision(),
      isHandingOver: () => this.isHandingOver,
      rankAddresses: (service, workspace) => this.rankAddresses(service, workspace),
      findInstanceUrl: instance => peers.findInstanceUrl(instance)
    })
    const { httpHost, httpPort } = settings.instance
    return this.createServer(httpHost, httpPort, routes)
  }

  private createOperatorServer (): HttpServer {
    const { settings, audit, metrics, leases } = this.components
    const routes = createOperatorRoutes({
      getStatus: () => this.getStatus(),
      audit,
      metrics,
      findExplanation: request => findExplanation(leases, request)
    })
    const { operatorHost, operatorPort } = settings.instance
    return this.createServer(operatorHost, operatorPort, routes)
  }

  private createServer (host: string, port: number, routes: Parameters<typeof HttpServer.create>[0]['routes']): HttpServer {
    const onInternalError = (error: unknown): void => this.components.logger.error({ err: error }, 'request handler failed')
    return HttpServer.create({ host, port, routes, onInternalError })
  }

  private rankAddresses (service: string, workspace: string): AddressAnswer {
    const { peers, configuration, settings } = this.components
    return {
      addresses: peers.rankAddresses({ service, workspace, rotationOffset: this.nextRotationOffset++, snapshot: configuration.getSnapshot() }),
      validForMs: settings.requests.addressValidityMs,
      revision: configuration.getRevision()
    }
  }
}
