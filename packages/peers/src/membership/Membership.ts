import { type ListedEntry } from '@fescuespoke/schema'
import { Maybe } from 'true-myth'
import { GossipExchange } from './GossipExchange.js'
import { ListedInstances } from './ListedInstances.js'
import { convertToMemberUpdate, type Member, type MemberChange } from './Member.js'
import { type MemberTable } from './MemberTable.js'
import { DEFAULT_MEMBERSHIP_LIMITS, type MembershipLimits, type MembershipOptions } from './MembershipOptions.js'
import { pickNeighbors } from './pickNeighbors.js'
import { pickSample, ProbeOrder } from './ProbeOrder.js'
import { Prober } from './Prober.js'
import { recordMemberChange } from './recordMemberChange.js'

/**
 * Number of members that are probed in a round for each one that was not reached in the round before, and maximum number of members that
 * are probed in a round. When many instances end at once, probes of one neighbor at a time find the last ones only after many rounds.
 */
const PROBES_PER_FAILURE = 4
const MAX_PROBES = 32

/** Called on each state change or restart of a member. */
export type MemberListener = (change: MemberChange) => void

/**
 * Detects which instances of the fleet are alive. Each instance probes one of its neighbors per interval. If that instance
 * does not answer, further instances are requested to probe it. Updates are gossiped with the probes. The messages per
 * instance therefore do not grow with the fleet, and its connections only with the logarithm of its size. New instances are
 * discovered through the published list.
 *
 * Based on A. Das, I. Gupta and A. Motivala, "SWIM: scalable weakly-consistent infection-style process group membership
 * protocol", 2002. The view is weakly consistent: use it for preferences, never to decide whether a request may run.
 */
export class Membership {
  /**
   * Creates a membership that answers probes but does not send them until started.
   * @param options - Options of the membership.
   */
  static create (options: MembershipOptions): Membership {
    return new Membership(options)
  }

  private readonly limits: MembershipLimits
  private readonly gossip: GossipExchange
  private readonly table: MemberTable
  private readonly prober: Prober
  private readonly listedInstances: ListedInstances
  private readonly probeOrder: ProbeOrder
  private readonly listeners = new Set<MemberListener>()
  private readonly stopController = new AbortController()
  private probeLoop: Promise<void> | undefined
  private aliveInstances: readonly string[] | undefined
  private neighbors: ReadonlySet<string> | undefined
  private lastSyncAtMs = -Infinity
  private lastSearchAtMs = -Infinity
  /** Number of members that the last round did not reach. */
  private failedProbes = 0

  /** @internal */
  private constructor (private readonly options: MembershipOptions) {
    const { clock, random, instance } = options
    this.limits = { ...DEFAULT_MEMBERSHIP_LIMITS, ...options.limits }
    this.gossip = GossipExchange.create({
      membership: options,
      clock,
      maxGossipMembers: this.limits.maxGossipMembers,
      onChange: change => this.handleMemberChange(change),
      onLocalChange: () => { this.aliveInstances = undefined },
      // The joined instance may know members of a partition that has healed, so synchronize in the next round.
      onMemberJoined: () => { this.lastSyncAtMs = Math.min(this.lastSyncAtMs, clock.nowMs() - this.limits.syncMs) }
    })
    this.table = this.gossip.table
    this.prober = Prober.create({ membership: options, limits: this.limits, gossip: this.gossip, onFailure: () => this.pushGossip(), signal: this.stopController.signal })
    this.listedInstances = ListedInstances.create(instance)
    this.probeOrder = ProbeOrder.create(random)
    this.setHandlers()
  }

  /** Starts to send probes. */
  start (): void {
    this.probeLoop ??= this.run()
  }

  /** Stops sending and answering probes. After `announceLeaving`, notifies some peers that this instance has left. */
  async stop (): Promise<void> {
    const isLeaving = this.gossip.getLocalMember().state === 'leaving'
    this.stopController.abort()
    if (isLeaving) await this.announceDeparture()
    await this.probeLoop
  }

  /** Announces that this instance is draining: it is alive but should not receive new requests. */
  announceLeaving (): void {
    this.gossip.setLocalState('leaving')
    this.pushGossip()
  }

  /** Spreads changed gossip data by probing some neighbors immediately instead of at the next interval. */
  pushGossip (): void {
    const neighbors = this.getNeighbors()
    const recipients = pickSample(this.options.random, this.table.listNames(['alive']).filter(name => neighbors.has(name)), this.limits.gossipFanout)
    for (const instance of recipients) this.prober.sendPing(instance)
  }

  /**
   * Sets the instances published by the platform, which are probed for discovery. Members that are not in the list are
   * not removed.
   * @param entries - Entries of the published list, of any role.
   */
  setListedInstances (entries: readonly ListedEntry[]): void {
    this.listedInstances.replace(entries)
  }

  /** Returns the names of the instances that are alive, including the local instance, sorted. */
  listAlive (): readonly string[] {
    this.aliveInstances ??= this.listMembers().filter(({ state }) => state === 'alive').map(({ instance }) => instance)
    return this.aliveInstances
  }

  /** Returns all members, including the local instance, sorted by name. */
  listMembers (): Member[] {
    return [this.gossip.getLocalMember(), ...this.table.list()].sort((a, b) => a.instance < b.instance ? -1 : 1)
  }

  /**
   * Returns a member, or `Maybe.nothing()` if the instance is not known.
   * @param instance - Name of the instance.
   */
  findMember (instance: string): Maybe<Member> {
    return Maybe.of(instance === this.options.instance ? this.gossip.getLocalMember() : this.table.get(instance))
  }

  /**
   * Returns the peer address of an instance: the address that it reported, or the listed address if it is unknown or
   * dead. Returns `Maybe.nothing()` if there is none.
   * @param instance - Name of the instance.
   */
  findPeerAddress (instance: string): Maybe<string> {
    const member = this.table.get(instance)
    const listedAddress = this.listedInstances.getAddress(instance)
    return Maybe.of(this.table.isPresent(instance) ? member?.peerAddress : listedAddress ?? member?.peerAddress)
  }

  /**
   * Adds a listener and returns a function that removes it.
   * @param listener - Called on each state change or restart of a member.
   */
  addListener (listener: MemberListener): () => void {
    this.listeners.add(listener)
    return () => { this.listeners.delete(listener) }
  }

  private setHandlers (): void {
    const { transport } = this.options
    transport.setHandler('ping', ({ news }, from) => {
      if (this.stopController.signal.aborted) return undefined
      this.gossip.mergeGossip(from, news, Maybe.nothing())
      return { type: 'pingAnswer', news: this.gossip.createGossip(from, news) }
    })
    transport.setHandler('indirectPing', async ({ instance }) => {
      if (this.stopController.signal.aborted) return undefined
      const reached = await this.prober.sendPing(instance)
      return { type: 'indirectPingAnswer', instance, reached }
    })
    transport.setHandler('membersRequest', ({ digest }) => {
      if (this.stopController.signal.aborted) return undefined
      const isInSync = digest === this.gossip.computeDigest()
      return { type: 'membersAnswer', members: isInSync ? [] : this.listMembers().map(convertToMemberUpdate) }
    })
  }

  private async run (): Promise<void> {
    const { clock, random } = this.options
    const { signal } = this.stopController
    await clock.sleep(random.nextFloat() * this.limits.probeMs, signal)
    while (!signal.aborted) {
      const startedAtMs = clock.nowMs()
      await Promise.all([clock.sleep(this.limits.probeMs, signal), this.runProbeRound()])
      const wasPaused = clock.nowMs() - startedAtMs > 2 * this.limits.probeMs
      // Restart the suspicion timeouts after a pause of the local process, since refutations may be waiting unread.
      if (wasPaused) this.table.resetStateTimes()
    }
  }

  private async runProbeRound (): Promise<void> {
    this.expireSuspects()
    this.table.pruneDeadMembers(this.computeDeadRetentionMs())
    const suspects = pickSample(this.options.random, this.table.listNames(['suspect']), this.limits.indirectProbeCount)
    const neighbors = this.getNeighbors()
    const next = this.probeOrder.takeNext(name => neighbors.has(name), () => [...neighbors])
    const probeCandidates = next === undefined || suspects.includes(next) ? [] : [next]
    await Promise.all([
      this.probeMembers([...probeCandidates, ...this.pickFurtherMembers(probeCandidates)]),
      ...[...suspects, ...this.pickAbsentInstances()].map(async name => { await this.prober.sendPing(name) }),
      this.syncMembers()
    ])
  }

  private async probeMembers (names: readonly string[]): Promise<void> {
    const outcomes = await Promise.all(names.map(async name => await this.prober.probeMember(name)))
    this.failedProbes = outcomes.filter(isReached => !isReached).length
  }

  /** Picks members to probe beside a neighbor while probes fail. */
  private pickFurtherMembers (probed: readonly string[]): string[] {
    const count = Math.min(MAX_PROBES, this.failedProbes * PROBES_PER_FAILURE) - probed.length
    const others = this.table.listNames(['alive']).filter(name => !probed.includes(name))
    return count > 0 ? pickSample(this.options.random, others, count) : []
  }

  /** Returns the members that this instance probes. */
  private getNeighbors (): ReadonlySet<string> {
    this.neighbors ??= new Set(pickNeighbors(this.options.instance, this.table.listNames(['alive', 'leaving', 'suspect'])))
    return this.neighbors
  }

  private async announceDeparture (): Promise<void> {
    this.gossip.setLocalState('dead')
    const recipients = pickSample(this.options.random, this.table.listNames(['alive']), this.limits.indirectProbeCount)
    await Promise.all(recipients.map(async name => { await this.prober.sendPing(name) }))
  }

  private async syncMembers (): Promise<void> {
    const { clock, random, transport } = this.options
    if (clock.nowMs() - this.lastSyncAtMs < this.limits.syncMs) return
    const [peer] = pickSample(random, this.table.listNames(['alive']), 1)
    if (peer === undefined) return
    this.lastSyncAtMs = clock.nowMs()
    const digest = this.gossip.computeDigest()
    const answer = await transport.request<'membersAnswer'>(peer, { type: 'membersRequest', digest }, this.limits.probeMs)
    if (answer.isErr) this.lastSyncAtMs = -Infinity
    else this.gossip.mergeMembers(answer.value.members, peer)
  }

  private pickAbsentInstances (): string[] {
    const { clock, random } = this.options
    const isAlone = this.table.listNames(['alive']).length === 0
    if (!isAlone && clock.nowMs() - this.lastSearchAtMs < this.limits.searchMs) return []
    this.lastSearchAtMs = clock.nowMs()
    const absent = new Set([...this.listedInstances.listNames(), ...this.table.listNames(['dead'])].filter(name => !this.table.isPresent(name)))
    return pickSample(random, [...absent], isAlone ? this.limits.indirectProbeCount : 1)
  }

  private handleMemberChange (change: MemberChange): void {
    const { instance } = change.member
    this.aliveInstances = undefined
    this.neighbors = undefined
    if (change.previousState === undefined || change.previousState === 'dead') this.probeOrder.insert(instance)
    if (change.previousState === change.member.state && !change.isRestart) return
    if (this.options.audit !== undefined) recordMemberChange(this.options.audit, change, this.options.getGossipPayload().revision)
    for (const listener of this.listeners) listener(change)
  }

  private expireSuspects (): void {
    const { clock } = this.options
    const timeoutMs = this.limits.suspicionMs * Math.max(1, Math.log10(this.table.countPresent() + 1))
    for (const { instance, state, changedAtMs } of this.table.list()) {
      if (state === 'suspect' && clock.nowMs() - changedAtMs >= timeoutMs) this.table.setState(instance, 'dead', 'suspicion was not refuted')
    }
  }

  private computeDeadRetentionMs (): number {
    return Math.max(this.limits.deadRetentionMs, 2 * this.table.countPresent() * this.limits.probeMs)
  }
}
