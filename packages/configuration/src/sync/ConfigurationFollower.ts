import { type AuditTrail, type Clock, type PeerTransport, type Random } from '@fescuespoke/common'
import { type ConfigurationSource } from '../sources/ConfigurationSource.js'
import { type ConfigurationView } from '../view/ConfigurationView.js'
import { ConfigurationExchange } from './ConfigurationExchange.js'
import { ConfigurationReader } from './ConfigurationReader.js'
import { type FleetMember } from './FleetMember.js'
import { SourceMonitor } from './SourceMonitor.js'
import { type FollowerTiming, type RefreshOptions, ViewFollower } from './ViewFollower.js'

/** Options of a follower of the published records. */
export interface ConfigurationFollowerOptions {
  readonly view: ConfigurationView
  readonly source: ConfigurationSource
  readonly transport: PeerTransport
  readonly clock: Clock
  readonly random: Random
  readonly audit: AuditTrail
  /** This instance. */
  readonly self: FleetMember
  /** Lists the other instances that are considered alive. */
  readonly listPeers: () => readonly FleetMember[]
  readonly timing?: Partial<FollowerTiming>
}

const DEFAULT_TIMING: FollowerTiming = {
  longPollMs: 500,
  peerPollIntervalMs: 800,
  stalePeerPollIntervalMs: 300,
  staleAfterMs: 2500,
  staleCheckIntervalMs: 250,
  initialBackoffMs: 200,
  maxBackoffMs: 1500
}

/** Maximum time to wait for the instance list before the initial refresh, in milliseconds. */
const MAX_LIST_WAIT_MS = 2000

const LIST_CHECK_INTERVAL_MS = 50

/** Follows the published records through the configuration service and through peers. */
export class ConfigurationFollower {
  /**
   * Creates a follower that answers peers immediately, but reads and polls nothing until it is started.
   * @param options - Options of the follower.
   */
  static create (options: ConfigurationFollowerOptions): ConfigurationFollower {
    return new ConfigurationFollower(options)
  }

  private readonly exchange: ConfigurationExchange
  private readonly follower: ViewFollower
  private pendingFetch: Promise<void> | undefined

  /** @internal */
  private constructor (private readonly options: ConfigurationFollowerOptions) {
    const { view, source, transport, clock, random, audit, self, listPeers, timing } = options
    const createMonitor = (subject: string): SourceMonitor =>
      SourceMonitor.create({ audit, subject, getRevision: () => view.getRevision() })
    const reader = ConfigurationReader.create({ view, source, clock, monitor: createMonitor('configuration service') })
    this.exchange = ConfigurationExchange.create({ view, transport, clock, monitor: createMonitor('configuration of peers') })
    this.follower = ViewFollower.create({
      clock,
      random,
      subject: 'configuration',
      self,
      listPeers,
      getAgeMs: () => view.getAgeMs(),
      readSource: async (waitMs, signal) => await reader.readSource(waitMs, signal),
      pollPeer: async instance => await this.exchange.pollPeer(instance),
      timing: { ...DEFAULT_TIMING, ...timing }
    })
  }

  /** Starts following. */
  start (): void {
    this.follower.start()
  }

  /** Stops following and waits for the end of all tasks. */
  async stop (): Promise<void> {
    await this.follower.stop()
    await this.pendingFetch
  }

  /** Returns whether this instance reads the configuration service for its availability zone. */
  isWatcher (): boolean {
    return this.follower.isWatcher()
  }

  /**
   * Reads the service and polls a few peers at the same time.
   * @param options - Limits of the wait.
   */
  async refresh (options: RefreshOptions = {}): Promise<void> {
    await this.follower.refresh(options)
  }

  /**
   * Waits for the instance list and then for a first refresh, so that a new instance does not start with records that
   * its fleet has already replaced.
   * @param hasInstanceList - Returns whether the instance list has been read, so that peers can be polled.
   */
  async waitForInitialRefresh (hasInstanceList: () => boolean): Promise<void> {
    const { clock } = this.options
    const deadlineAtMs = clock.nowMs() + MAX_LIST_WAIT_MS
    while (!hasInstanceList() && clock.nowMs() < deadlineAtMs) await clock.sleep(LIST_CHECK_INTERVAL_MS)
    await this.follower.refresh()
  }

  /**
   * Starts fetching a revision that a peer, a request lease or a target has reported, unless it is already accepted or
   * another fetch is running.
   * @param revision - The reported revision.
   * @param hintPeer - Instance that is likely to have the revision; it is polled first.
   */
  requestRevision (revision: number, hintPeer?: string): void {
    if (revision <= this.options.view.getRevision() || this.pendingFetch !== undefined) return
    this.pendingFetch = this.fetchRevision(revision, hintPeer).finally(() => { this.pendingFetch = undefined })
  }

  private async fetchRevision (revision: number, hintPeer?: string): Promise<void> {
    if (hintPeer !== undefined) await this.exchange.pollPeer(hintPeer)
    if (this.options.view.getRevision() < revision) await this.follower.refresh()
  }
}
