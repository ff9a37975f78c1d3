import { type ListedEntry } from '@fescuespoke/schema'
import { Maybe } from 'true-myth'
import { ListedInstances } from './ListedInstances.js'
import { convertToNews, type Member, type MemberChange } from './Member.js'
import { type MemberTable } from './MemberTable.js'
import { DEFAULT_MEMBERSHIP_LIMITS, type MembershipLimits, type MembershipOptions } from './MembershipOptions.js'
import { NewsExchange } from './NewsExchange.js'
import { pickSome, ProbeOrder } from './ProbeOrder.js'
import { Prober } from './Prober.js'
import { recordMemberChange } from './recordMemberChange.js'

/** Receives each change of a member. */
export type MemberListener = (change: MemberChange) => void

/**
 * Which instances answer: each probes one other in an interval, asks others to probe a silent one, and passes news on
 * with the probes, so that the cost of an instance does not grow with the fleet. The published list says where to look.
 * Source: A. Das, I. Gupta and A. Motivala, "SWIM: scalable weakly-consistent infection-style process group membership
 * protocol", 2002. What it says is a belief: it may steer preferences, never decide whether a request may run.
 */
export class Membership {
  /**
   * Creates a membership that answers probes and does not probe yet.
   * @param options - Options of the membership.
   */
  static create (options: MembershipOptions): Membership {
    return new Membership(options)
  }

  private readonly limits: MembershipLimits
  private readonly exchange: NewsExchange
  private readonly table: MemberTable
  private readonly prober: Prober
  private readonly listed: ListedInstances
  private readonly order: ProbeOrder
  private readonly listeners = new Set<MemberListener>()
  private readonly stopped = new AbortController()
  private running: Promise<void> | undefined
  private alive: readonly string[] | undefined
  private lastSyncMs = -Infinity
  private lastSearchMs = -Infinity

  /** @internal */
  private constructor (private readonly options: MembershipOptions) {
    const { clock, random, instance } = options
    this.limits = { ...DEFAULT_MEMBERSHIP_LIMITS, ...options.limits }
    this.exchange = NewsExchange.create({
      membership: options,
      clock,
      maxNews: this.limits.maxNews,
      onChange: change => this.handleChange(change),
      onOwnChange: () => { this.alive = undefined },
      // An instance found again may bring a whole part of the fleet along.
      onFound: () => { this.lastSyncMs = Math.min(this.lastSyncMs, clock.nowMs() - this.limits.syncMs) }
    })
    this.table = this.exchange.table
    this.prober = Prober.create({ membership: options, limits: this.limits, exchange: this.exchange, signal: this.stopped.signal })
    this.listed = ListedInstances.create(instance)
    this.order = ProbeOrder.create(random)
    this.setHandlers()
  }

  /** Starts to probe. */
  start (): void {
    this.running ??= this.run()
  }

  /** Stops to probe and to answer. After `announceLeaving` some peers are told first that this instance is gone. */
  async stop (): Promise<void> {
    const announced = this.exchange.getOwn().state === 'leaving'
    this.stopped.abort()
    if (announced) await this.sendFarewell()
    await this.running
  }

  /** Announces that this instance drains: it is alive, and nothing new should come to it. */
  announceLeaving (): void {
    this.exchange.setOwnState('leaving')
    this.announceNews()
  }

  /** Announces that what `getNews` gets has changed: probes some members at once, so that it need not wait for the interval. */
  announceNews (): void {
    const told = pickSome(this.options.random, this.table.listNames(['alive']), this.limits.announceProbes)
    for (const instance of told) this.prober.sendPing(instance)
  }

  /**
   * Sets the instances that the platform publishes. They are looked for; nobody who answers is removed by a list.
   * @param entries - Entries of the published list, of any role.
   */
  setListed (entries: readonly ListedEntry[]): void {
    this.listed.replace(entries)
  }

  /** Lists the names of the instances that are alive, the own one included, sorted. */
  listAlive (): readonly string[] {
    this.alive ??= this.listMembers().filter(({ state }) => state === 'alive').map(({ instance }) => instance)
    return this.alive
  }

  /** Lists all members, the own instance included, sorted by name. */
  listMembers (): Member[] {
    return [this.exchange.getOwn(), ...this.table.list()].sort((a, b) => a.instance < b.instance ? -1 : 1)
  }

  /**
   * Finds a member.
   * @param instance - Name of the instance.
   */
  findMember (instance: string): Maybe<Member> {
    return Maybe.of(instance === this.options.instance ? this.exchange.getOwn() : this.table.get(instance))
  }

  /**
   * Finds where an instance listens for peers: as it says itself, or as it is listed while it is not known or dead.
   * @param instance - Name of the instance.
   */
  findPeerAddress (instance: string): Maybe<string> {
    const member = this.table.get(instance)
    const listed = this.listed.getAddress(instance)
    return Maybe.of(this.table.isPresent(instance) ? member?.peerAddress : listed ?? member?.peerAddress)
  }

  /**
   * Adds a listener and returns what removes it.
   * @param listener - Receives each later change.
   */
  addListener (listener: MemberListener): () => void {
    this.listeners.add(listener)
    return () => { this.listeners.delete(listener) }
  }

  private setHandlers (): void {
    const { transport } = this.options
    transport.setHandler('ping', ({ news }, from) => {
      if (this.stopped.signal.aborted) return undefined
      this.exchange.observeNews(from, news, Maybe.nothing())
      return { type: 'pingAnswer', news: this.exchange.createNews(from, news) }
    })
    transport.setHandler('indirectPing', async ({ instance }) => {
      if (this.stopped.signal.aborted) return undefined
      const reached = await this.prober.sendPing(instance)
      return { type: 'indirectPingAnswer', instance, reached }
    })
    transport.setHandler('membersRequest', ({ digest }) => {
      if (this.stopped.signal.aborted) return undefined
      const isSame = digest === this.exchange.computeDigest()
      return { type: 'membersAnswer', members: isSame ? [] : this.listMembers().map(convertToNews) }
    })
  }

  private async run (): Promise<void> {
    const { clock, random } = this.options
    const { signal } = this.stopped
    await clock.sleep(random.nextFloat() * this.limits.probeMs, signal)
    while (!signal.aborted) {
      const startedMs = clock.nowMs()
      await Promise.all([clock.sleep(this.limits.probeMs, signal), this.runRound()])
      const wasPaused = clock.nowMs() - startedMs > 2 * this.limits.probeMs
      // Suspects get their whole time again: their refutations may wait unread.
      if (wasPaused) this.table.restartTimes()
    }
  }

  private async runRound (): Promise<void> {
    this.settleSuspects()
    this.table.pruneDead(this.computeForgetMs())
    const suspects = pickSome(this.options.random, this.table.listNames(['suspect']), this.limits.indirectProbes)
    const next = this.order.takeNext(name => this.table.isPresent(name), () => this.table.listNames(['alive', 'leaving', 'suspect']))
    const probed = next === undefined || suspects.includes(next) ? [] : [next]
    await Promise.all([
      ...probed.map(async name => { await this.prober.probeMember(name) }),
      ...[...suspects, ...this.takeSearched()].map(async name => { await this.prober.sendPing(name) }),
      this.fetchMembers()
    ])
  }

  private async sendFarewell (): Promise<void> {
    this.exchange.setOwnState('dead')
    const told = pickSome(this.options.random, this.table.listNames(['alive']), this.limits.indirectProbes)
    await Promise.all(told.map(async name => { await this.prober.sendPing(name) }))
  }

  private async fetchMembers (): Promise<void> {
    const { clock, random, transport } = this.options
    if (clock.nowMs() - this.lastSyncMs < this.limits.syncMs) return
    const [peer] = pickSome(random, this.table.listNames(['alive']), 1)
    if (peer === undefined) return
    this.lastSyncMs = clock.nowMs()
    const digest = this.exchange.computeDigest()
    const answer = await transport.request<'membersAnswer'>(peer, { type: 'membersRequest', digest }, this.limits.probeMs)
    if (answer.isErr) this.lastSyncMs = -Infinity
    else this.exchange.acceptMembers(answer.value.members, peer)
  }

  private takeSearched (): string[] {
    const { clock, random } = this.options
    const isAlone = this.table.listNames(['alive']).length === 0
    if (!isAlone && clock.nowMs() - this.lastSearchMs < this.limits.searchMs) return []
    this.lastSearchMs = clock.nowMs()
    const absent = new Set([...this.listed.listNames(), ...this.table.listNames(['dead'])].filter(name => !this.table.isPresent(name)))
    return pickSome(random, [...absent], isAlone ? this.limits.indirectProbes : 1)
  }

  private handleChange (change: MemberChange): void {
    const { instance } = change.member
    this.alive = undefined
    if (change.before === undefined || change.before === 'dead') this.order.insert(instance)
    if (change.before === change.member.state && !change.isRestart) return
    if (this.options.audit !== undefined) recordMemberChange(this.options.audit, change, this.options.getNews().revision)
    for (const listener of this.listeners) listener(change)
  }

  private settleSuspects (): void {
    const { clock } = this.options
    const timeoutMs = this.limits.suspicionMs * Math.max(1, Math.log10(this.table.countPresent() + 1))
    for (const { instance, state, changedAtMs } of this.table.list()) {
      if (state === 'suspect' && clock.nowMs() - changedAtMs >= timeoutMs) this.table.setState(instance, 'dead', 'suspicion was not refuted')
    }
  }

  private computeForgetMs (): number {
    return Math.max(this.limits.forgetMs, 2 * this.table.countPresent() * this.limits.probeMs)
  }
}
