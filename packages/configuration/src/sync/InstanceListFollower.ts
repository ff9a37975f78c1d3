import { addJitter, type AuditTrail, type Clock, type PeerMessageOf, type PeerTransport, type Random } from '@fescuespoke/common'
import { type ListAnswer, type ListedEntry } from '@fescuespoke/schema'
import { type InstanceListView, type ListUpdateOutcome } from '../list/InstanceListView.js'
import { checkList } from '../sources/checkList.js'
import { type InstanceListSource } from '../sources/InstanceListSource.js'
import { type FleetMember } from './FleetMember.js'
import { SourceMonitor } from './SourceMonitor.js'
import { type FollowerTiming, ViewFollower } from './ViewFollower.js'

/** Options of a follower of the instance list. */
export interface InstanceListFollowerOptions {
  readonly view: InstanceListView
  readonly source: InstanceListSource
  readonly transport: PeerTransport
  readonly clock: Clock
  readonly random: Random
  readonly audit: AuditTrail
  /** This instance. */
  readonly self: FleetMember
  /** Lists the other instances that are considered alive. */
  readonly listPeers: () => readonly FleetMember[]
  /** Returns the accepted configuration revision, which is recorded in audit events. */
  readonly getRevision?: () => number
  readonly timing?: Partial<FollowerTiming>
}

const DEFAULT_TIMING: FollowerTiming = {
  longPollMs: 400,
  peerPollIntervalMs: 500,
  stalePeerPollIntervalMs: 200,
  staleAfterMs: 1700,
  staleCheckIntervalMs: 100,
  initialBackoffMs: 200,
  maxBackoffMs: 1500
}

/** Maximum time to wait for the answer of a peer, in milliseconds. */
const ANSWER_TIMEOUT_MS = 500

/** Maximum duration of a refresh, in milliseconds. */
const REFRESH_TIMEOUT_MS = 300

/** Maximum time to wait for the platform before answering a peer, in milliseconds. It is shorter than a refresh of the peer. */
const ANSWER_READ_TIMEOUT_MS = 200

/** Interval at which the age of the list is checked and a stale list is refreshed, in milliseconds. */
const STALE_REFRESH_INTERVAL_MS = 800

const OUTCOME_PROBLEMS: Record<ListUpdateOutcome, string | undefined> = {
  accepted: undefined,
  current: undefined,
  older: 'serves a lower version than the accepted one',
  empty: 'serves an empty list',
  shrunk: 'serves a list that has shrunk to less than half'
}

/** Follows the instance list through the platform and through peers. */
export class InstanceListFollower {
  /**
   * Creates a follower that answers peers immediately, but reads and polls nothing until it is started.
   * @param options - Options of the follower.
   */
  static create (options: InstanceListFollowerOptions): InstanceListFollower {
    return new InstanceListFollower(options)
  }

  private readonly follower: ViewFollower
  private readonly monitor: SourceMonitor
  private readonly timing: FollowerTiming
  private readonly stopController = new AbortController()
  private lastRefreshAtMs = -Infinity
  private pendingRefresh: Promise<void> | undefined
  private staleRefreshTask: Promise<void> | undefined

  /** @internal */
  private constructor (private readonly options: InstanceListFollowerOptions) {
    const { view, transport, clock, random, audit, self, listPeers, timing, getRevision = () => 0 } = options
    this.timing = { ...DEFAULT_TIMING, ...timing }
    this.monitor = SourceMonitor.create({ audit, subject: 'instance list', getRevision })
    transport.setHandler('listRequest', async message => await this.handleListRequest(message))
    this.follower = ViewFollower.create({
      clock,
      random,
      subject: 'list',
      self,
      listPeers,
      getAgeMs: () => view.getAgeMs(),
      readSource: async (waitMs, signal) => await this.readSource(waitMs, signal),
      pollPeer: async instance => await this.pollPeer(instance),
      timing: this.timing
    })
  }

  /** Starts following. */
  start (): void {
    this.follower.start()
    this.staleRefreshTask = this.runStaleRefreshes()
  }

  /** Stops following and waits for the end of all tasks. */
  async stop (): Promise<void> {
    this.stopController.abort()
    await Promise.all([this.follower.stop(), this.staleRefreshTask])
  }

  /** Returns whether this instance reads the list for its availability zone. */
  isWatcher (): boolean {
    return this.follower.isWatcher()
  }

  /**
   * Reads the platform and polls a few peers at the same time. Concurrent calls share one refresh.
   * @param maxAgeMs - Age of the view in milliseconds at which the wait ends early; 0 to wait for all answers.
   */
  async refresh (maxAgeMs: number = 0): Promise<void> {
    this.pendingRefresh ??= this.runRefresh(maxAgeMs).finally(() => { this.pendingRefresh = undefined })
    await this.pendingRefresh
  }

  /**
   * Returns the time in milliseconds since the start of the last completed refresh, whether or not it was answered. A
   * list that is stale in spite of a recent refresh means that no reachable source has a newer list.
   */
  getLastRefreshAgeMs (): number {
    return this.options.clock.nowMs() - this.lastRefreshAtMs
  }

  private async runRefresh (maxAgeMs: number): Promise<void> {
    const sentAtMs = this.options.clock.nowMs()
    await this.follower.refresh({ maxAgeMs, timeoutMs: REFRESH_TIMEOUT_MS })
    this.lastRefreshAtMs = sentAtMs
  }

  /** Keeps refreshing a stale list, so that dispatch does not have to wait for a refresh during an outage. */
  private async runStaleRefreshes (): Promise<void> {
    const { clock, random, view } = this.options
    while (!this.stopController.signal.aborted) {
      if (view.getAgeMs() > this.timing.staleAfterMs) await this.refresh(this.timing.staleAfterMs)
      await clock.sleep(addJitter(random, STALE_REFRESH_INTERVAL_MS), this.stopController.signal)
    }
  }

  private async readSource (waitMs: number, signal: AbortSignal): Promise<boolean> {
    const { view, source, clock } = this.options
    const sentAtMs = clock.nowMs()
    const answer = await source.fetchList(view.getVersion(), waitMs, signal)
    const problem = answer.match({
      Ok: list => OUTCOME_PROBLEMS[view.update(list, 'platform', sentAtMs)],
      Err: error => error.detail
    })
    if (!signal.aborted) this.monitor.recordOutcome(problem)
    return problem === undefined
  }

  private async pollPeer (instance: string): Promise<boolean> {
    const { view, transport, clock } = this.options
    const sentAtMs = clock.nowMs()
    const base = view.getAcceptedEntries()
    const request = { type: 'listRequest' as const, haveVersion: view.getVersion() }
    const reply = await transport.request<'listAnswer'>(instance, request, ANSWER_TIMEOUT_MS)
    if (reply.isErr || reply.value.version < Math.max(1, request.haveVersion)) return false
    const answer = reply.value
    const confirmedAtMs = sentAtMs - answer.ageMs
    if (answer.version === request.haveVersion) view.recordConfirmation(answer.version, confirmedAtMs)
    else this.applyAnswer(answer, base, confirmedAtMs, instance)
    return answer.version === view.getVersion()
  }

  private applyAnswer (answer: ListAnswer, base: ReadonlyMap<string, ListedEntry>, confirmedAtMs: number, instance: string): void {
    const checked = checkList({ version: answer.version, entries: answer.entries })
    if (checked.isErr) return
    const entries = new Map(answer.baseVersion === undefined ? [] : base)
    for (const entry of checked.value.entries) entries.set(entry.id, entry)
    for (const id of answer.removed ?? []) entries.delete(id)
    this.options.view.update({ version: answer.version, entries: [...entries.values()] }, `peer ${instance}`, confirmedAtMs)
  }

  /** Answers a peer. An instance that resumes after a pause reads the list first, so that the peer does not receive a stale age. */
  private async handleListRequest (request: PeerMessageOf<'listRequest'>): Promise<ListAnswer | undefined> {
    const { view, clock } = this.options
    if (view.getAgeMs() > this.timing.staleAfterMs && !this.monitor.hasProblem()) {
      await Promise.race([this.readSource(0, this.stopController.signal), clock.sleep(ANSWER_READ_TIMEOUT_MS)])
    }
    if (view.getVersion() === 0) return undefined
    const version = view.getVersion()
    const answer = { type: 'listAnswer' as const, version, ageMs: Math.ceil(Math.min(view.getAgeMs(), Number.MAX_SAFE_INTEGER)) }
    if (request.haveVersion >= version) return { ...answer, entries: [] }
    const difference = view.findDifference(request.haveVersion)
    if (difference === undefined) return { ...answer, entries: [...view.getAcceptedEntries().values()] }
    return { ...answer, entries: [...difference.changed], baseVersion: request.haveVersion, removed: [...difference.removed] }
  }
}
