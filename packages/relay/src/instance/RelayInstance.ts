import { Maybe, Result } from 'true-myth'
import { RouteTable } from '../model/RouteTable.js'
import { type DecodedItem } from '../published/PublishedDecoder.js'
import { type PublishedItem } from '../published/PublishedItem.js'
import { RelayService } from '../requests/RelayService.js'
import { createRelayParts, type RelayParts } from './createRelayParts.js'
import { type RelayInstanceOptions } from './RelayInstanceOptions.js'

/** Where an instance is in its life. */
export type RelayPhase = 'starting' | 'ready' | 'draining' | 'stopped'

/** Interval of upkeep in milliseconds. */
const UPKEEP_MS = 250

/** Interval at which a drain looks whether requests are in progress, in milliseconds. */
const DRAIN_CHECK_MS = 50

/** Time after the order to stop for which callers that kept an address answer may still come, in milliseconds. */
const LATE_CALLERS_MS = 3000

/** Time before the end of grace at which the process ends by itself, in milliseconds. */
const EXIT_MARGIN_MS = 400

/** One process that relays requests: it follows what is published, knows its peers, and serves callers. */
export class RelayInstance {
  /**
   * Creates an instance that has not started.
   * @param options - Options of the instance.
   */
  static create (options: RelayInstanceOptions): RelayInstance {
    return new RelayInstance(options)
  }

  readonly service: RelayService
  private readonly parts: RelayParts
  private readonly stopping = new AbortController()
  private phase: RelayPhase = 'starting'
  private routes: RouteTable | undefined
  private drainStartMs = Infinity

  /** @internal */
  private constructor (private readonly options: RelayInstanceOptions) {
    this.parts = createRelayParts(options)
    this.service = RelayService.create({ tools: this.parts.tools, getRoutes: () => this.routes, getTimeLeftMs: () => this.getTimeLeftMs(), getPauseMs: () => this.parts.pauses.getPauseMs(), isViewDoubtful: () => this.parts.follower.isDoubtful() })
    this.parts.view.addListener(items => this.observeItems(items))
  }

  /** Starts to listen for peers and to follow what is published. */
  async start (): Promise<Result<null, string>> {
    const listening = await this.parts.peers.listen()
    if (listening.isErr) return Result.err(listening.error)
    this.parts.follower.run()
    this.parts.loadExchange.run()
    this.parts.reportWatch.run()
    this.parts.pauses.run()
    this.runUpkeep()
    this.parts.log.recordBelief('started', { peerAddress: listening.value, seeds: this.options.identity.seeds })
    return Result.ok(null)
  }

  /** Tells whether callers may be sent here. */
  isReady (): boolean {
    return this.phase === 'ready'
  }

  /** Tells whether connections of callers should end with their next answer. */
  isDraining (): boolean {
    return this.phase === 'draining'
  }

  /** Gets the routes in force. */
  getRoutes (): Maybe<RouteTable> {
    return Maybe.of(this.routes)
  }

  /**
   * Lists the addresses that a caller in an availability zone should use: near ones where there are enough.
   * @param availabilityZone - Zone of the caller.
   */
  listAddresses (availabilityZone: string): string[] {
    return this.parts.peers.listCallerAddresses(availabilityZone, this.isReady())
  }

  /**
   * Sets where other instances are looked for.
   * @param seeds - Peer addresses.
   */
  setSeeds (seeds: readonly string[]): void {
    this.parts.peers.setSeeds(seeds)
    this.parts.log.recordBelief('settings reloaded', { seeds })
  }

  /** Stops without cutting a request where the grace allows it. */
  async drain (): Promise<void> {
    if (this.phase === 'draining' || this.phase === 'stopped') return
    const { clock, graceMs } = this.options
    this.phase = 'draining'
    this.drainStartMs = clock.nowMs()
    this.parts.log.recordBelief('drain started', { running: this.service.countRunning(), graceMs })
    this.parts.peers.announceLeaving()
    const endMs = this.drainStartMs + graceMs - EXIT_MARGIN_MS
    while (clock.nowMs() < endMs && this.mustWait()) await clock.sleep(DRAIN_CHECK_MS)
    this.parts.log.recordBelief('drain ended', { running: this.service.countRunning(), tookMs: Math.round(clock.nowMs() - this.drainStartMs) })
    await this.stop()
  }

  /** Closes every connection and ends every task. */
  async stop (): Promise<void> {
    if (this.phase === 'stopped') return
    this.phase = 'stopped'
    this.stopping.abort()
    this.parts.follower.stop()
    this.parts.loadExchange.stop()
    this.parts.reportWatch.stop()
    this.parts.pauses.stop()
    await this.parts.peers.close()
    await this.options.client.close()
    this.parts.log.recordBelief('stopped')
  }

  private mustWait (): boolean {
    const isEarly = this.options.clock.nowMs() - this.drainStartMs < Math.min(this.options.maxAddressMs, LATE_CALLERS_MS)
    return isEarly || this.service.countRunning() > 0
  }

  private getTimeLeftMs (): number {
    if (this.phase === 'stopped') return 0
    return this.drainStartMs + this.options.graceMs - EXIT_MARGIN_MS - this.options.clock.nowMs()
  }

  private observeItems (items: readonly PublishedItem[]): void {
    for (const item of items) this.applyDecoded(this.options.decodeItem(item), item)
    this.parts.tools.placer.notifyRoom()
    this.observeReadiness()
  }

  private observeReadiness (): void {
    if (this.phase !== 'starting' || this.routes === undefined) return
    this.phase = 'ready'
    this.parts.log.recordBelief('ready', { version: this.routes.configuration.version, revision: this.parts.view.getRevision() })
  }

  private applyDecoded (decoded: DecodedItem, item: PublishedItem): void {
    const { log, tools } = this.parts
    if (decoded.kind === 'configuration') this.applyConfiguration(decoded.configuration, item)
    else if (decoded.kind === 'target') tools.table.observeTarget(decoded.target)
    else if (decoded.kind === 'targetRemoved' || decoded.kind === 'targetUnreadable') tools.table.observeRemoval(decoded.name)
    if (decoded.kind === 'targetUnreadable' || decoded.kind === 'refused') log.recordBelief('published key refused', { key: item.key, revision: item.revision, problem: decoded.problem })
  }

  private applyConfiguration (configuration: RouteTable['configuration'], item: PublishedItem): void {
    const before = this.routes?.configuration.version
    if (before !== undefined && configuration.version <= before) return
    this.routes = RouteTable.create(configuration)
    this.parts.log.recordBelief('configuration in force', { before, version: configuration.version, revision: item.revision, routes: configuration.routes.length })
  }

  private async runUpkeep (): Promise<void> {
    const { clock } = this.options
    while (!this.stopping.signal.aborted) {
      await clock.sleep(UPKEEP_MS, this.stopping.signal)
      this.parts.tools.table.settle()
    }
  }
}
