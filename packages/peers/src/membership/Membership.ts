import { type ListedEntry, type MemberNews, type MemberState, type News, type PingAnswer } from '@fescuespoke/schema'
import { Maybe } from 'true-myth'
import { ListedInstances } from './ListedInstances.js'
import { convertToNews, type Member, type MemberChange } from './Member.js'
import { type NewsSource, MemberTable } from './MemberTable.js'
import { DEFAULT_MEMBERSHIP_LIMITS, type MembershipLimits, type MembershipOptions } from './MembershipOptions.js'
import { NewsQueue } from './NewsQueue.js'
import { pickSome, ProbeOrder } from './ProbeOrder.js'
import { recordMemberChange } from './recordMemberChange.js'

interface Judgement {
  readonly state: MemberState
  readonly cause: string
}

/** What is believed of a member that answers no probe, by its state so far. */
const SILENCE_JUDGEMENTS: Partial<Record<MemberState, Judgement>> = {
  alive: { state: 'suspect', cause: 'no answer to probes' },
  leaving: { state: 'dead', cause: 'no answer to probes after it announced that it leaves' }
}

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
  private readonly table: MemberTable
  private readonly listed: ListedInstances
  private readonly queue = NewsQueue.create()
  private readonly order: ProbeOrder
  private readonly listeners = new Set<MemberListener>()
  private readonly stopped = new AbortController()
  private running: Promise<void> | undefined
  private own: Member
  private alive: readonly string[] | undefined
  private passesNewsOn = true
  private lastSyncMs = -Infinity
  private lastSearchMs = -Infinity

  /** @internal */
  private constructor (private readonly options: MembershipOptions) {
    const { instance, incarnation, url, peerAddress, availabilityZone, region, clock, random } = options
    this.limits = { ...DEFAULT_MEMBERSHIP_LIMITS, ...options.limits }
    this.table = MemberTable.create({ clock, onChange: change => this.handleChange(change) })
    this.listed = ListedInstances.create(instance)
    this.order = ProbeOrder.create(random)
    this.own = { instance, incarnation, url, peerAddress, availabilityZone, region, counter: 0, state: 'alive', changedAtMs: clock.nowMs() }
    this.setHandlers()
  }

  /** Starts to probe. */
  start (): void {
    this.running ??= this.run()
  }

  /** Stops to probe and to answer. After `announceLeaving` some peers are told first that this instance is gone. */
  async stop (): Promise<void> {
    const announced = this.own.state === 'leaving'
    this.stopped.abort()
    if (announced) await this.sendFarewell()
    await this.running
  }

  /** Announces that this instance drains: it is alive, and nothing new should come to it. */
  announceLeaving (): void {
    this.setOwn({ state: 'leaving', counter: this.own.counter + 1 })
    this.announceNews()
  }

  /** Announces that what `getNews` gets has changed: probes some members at once, so that it need not wait for the interval. */
  announceNews (): void {
    const told = pickSome(this.options.random, this.listStates(['alive']), this.limits.announceProbes)
    for (const instance of told) this.sendPing(instance)
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
    return [this.own, ...this.table.list()].sort((a, b) => a.instance < b.instance ? -1 : 1)
  }

  /**
   * Finds a member.
   * @param instance - Name of the instance.
   */
  findMember (instance: string): Maybe<Member> {
    return Maybe.of(instance === this.own.instance ? this.own : this.table.get(instance))
  }

  /**
   * Finds where an instance listens for peers: as it says itself, or as it is listed while it is not known or dead.
   * @param instance - Name of the instance.
   */
  findPeerAddress (instance: string): Maybe<string> {
    const member = this.table.get(instance)
    const listed = this.listed.getAddress(instance)
    const isPresent = member !== undefined && member.state !== 'dead'
    return Maybe.of(isPresent ? member.peerAddress : listed ?? member?.peerAddress)
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
      this.observeNews(from, news, Maybe.nothing())
      return { type: 'pingAnswer', news: this.createNews(from, news) }
    })
    transport.setHandler('indirectPing', async ({ instance }) => {
      const reached = await this.sendPing(instance)
      return { type: 'indirectPingAnswer', instance, reached }
    })
    transport.setHandler('membersRequest', ({ digest }) => {
      const isSame = digest === this.table.computeDigest(this.own)
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
    const suspects = pickSome(this.options.random, this.listStates(['suspect']), this.limits.indirectProbes)
    const next = this.order.takeNext(name => this.isPresent(name), () => this.listStates(['alive', 'leaving', 'suspect']))
    const probed = next === undefined || suspects.includes(next) ? [] : [next]
    await Promise.all([
      ...probed.map(async name => { await this.probeMember(name) }),
      ...[...suspects, ...this.takeSearched()].map(async name => { await this.sendPing(name) }),
      this.fetchMembers()
    ])
  }

  private async probeMember (instance: string): Promise<void> {
    const startedMs = this.options.clock.nowMs()
    if (await this.sendPing(instance)) return
    if (await this.sendIndirectPings(instance)) return
    const longestMs = 3 * this.limits.probeTimeoutMs
    // Answers that came during an own pause may wait unread, so nothing is concluded.
    const wasPaused = this.options.clock.nowMs() - startedMs > longestMs + this.limits.probeTimeoutMs / 2
    const member = this.table.get(instance)
    if (member === undefined || wasPaused || this.stopped.signal.aborted) return
    const judgement = SILENCE_JUDGEMENTS[member.state]
    if (judgement !== undefined) this.table.setState(instance, judgement.state, judgement.cause)
  }

  private async sendPing (instance: string): Promise<boolean> {
    const { transport, clock } = this.options
    const sentAtMs = clock.nowMs()
    const answer = await transport.request<'pingAnswer'>(instance, { type: 'ping', news: this.createNews(instance) }, this.limits.probeTimeoutMs)
    if (answer.isErr || this.stopped.signal.aborted) return answer.isOk
    this.observeAnswer(instance, answer.value, sentAtMs)
    return true
  }

  private async sendIndirectPings (instance: string): Promise<boolean> {
    const helpers = pickSome(this.options.random, this.listStates(['alive']).filter(name => name !== instance), this.limits.indirectProbes)
    const answers = await Promise.all(helpers.map(async helper =>
      await this.options.transport.request<'indirectPingAnswer'>(helper, { type: 'indirectPing', instance }, 2 * this.limits.probeTimeoutMs)))
    return answers.some(answer => answer.isOk && answer.value.reached)
  }

  private async sendFarewell (): Promise<void> {
    this.setOwn({ state: 'dead', counter: this.own.counter + 1 })
    const told = pickSome(this.options.random, this.listStates(['alive']), this.limits.indirectProbes)
    await Promise.all(told.map(async name => { await this.sendPing(name) }))
  }

  private async fetchMembers (): Promise<void> {
    const { clock, random, transport } = this.options
    if (clock.nowMs() - this.lastSyncMs < this.limits.syncMs) return
    const [peer] = pickSome(random, this.listStates(['alive']), 1)
    if (peer === undefined) return
    this.lastSyncMs = clock.nowMs()
    const digest = this.table.computeDigest(this.own)
    const answer = await transport.request<'membersAnswer'>(peer, { type: 'membersRequest', digest }, this.limits.probeMs)
    if (answer.isErr) this.lastSyncMs = -Infinity
    else this.acceptMembers(answer.value.members, peer)
  }

  private acceptMembers (members: readonly MemberNews[], from: string): void {
    // The others exchange members as well, so nothing of this is passed on.
    this.passesNewsOn = false
    for (const news of members) this.acceptNews(news, from)
    this.passesNewsOn = true
  }

  private takeSearched (): string[] {
    const { clock, random } = this.options
    const isAlone = this.listStates(['alive']).length === 0
    if (!isAlone && clock.nowMs() - this.lastSearchMs < this.limits.searchMs) return []
    this.lastSearchMs = clock.nowMs()
    const absent = new Set([...this.listed.listNames(), ...this.listStates(['dead'])].filter(name => !this.isPresent(name)))
    return pickSome(random, [...absent], isAlone ? this.limits.indirectProbes : 1)
  }

  private observeAnswer (from: string, { news }: PingAnswer, sentAtMs: number): void {
    this.observeNews(from, news, Maybe.just(sentAtMs))
  }

  private observeNews (from: string, { members, ...fleetNews }: News, sentAtMs: Maybe<number>): void {
    const wasAbsent = !this.isPresent(from)
    for (const news of members) this.acceptNews(news, from)
    // An instance found again may bring a whole part of the fleet along.
    if (wasAbsent && this.isPresent(from)) this.lastSyncMs = Math.min(this.lastSyncMs, this.options.clock.nowMs() - this.limits.syncMs)
    this.options.observeNews(from, fleetNews, sentAtMs)
  }

  private acceptNews (news: MemberNews, from: string): void {
    const source: NewsSource = news.instance === from ? 'itself' : 'another'
    if (news.instance === this.own.instance) this.answerNewsOfOwn(news)
    else this.table.acceptNews(news, source, source === 'itself' ? 'told by itself' : `told by ${from}`)
  }

  private answerNewsOfOwn (news: MemberNews): void {
    if (news.counter < this.own.counter) return
    const agrees = news.incarnation === this.own.incarnation && news.state === this.own.state
    if (!agrees) this.setOwn({ counter: news.counter + 1 })
    else if (news.counter > this.own.counter) this.setOwn({ counter: news.counter })
  }

  private createNews (to: string, told?: News): News {
    const names = this.queue.takeNames(this.limits.maxNews, this.table.countPresent() + 1)
    const receiver = this.table.get(to)
    const stated = told?.members.find(({ instance }) => instance === to)
    const isDisputed = receiver !== undefined && (receiver.state !== (stated?.state ?? 'alive') || receiver.counter !== (stated?.counter ?? receiver.counter))
    const others = new Set([...(isDisputed ? [to] : []), ...names].slice(0, this.limits.maxNews))
    others.delete(this.own.instance)
    const members = [...others].map(name => this.table.get(name)).filter(member => member !== undefined)
    return { members: [this.own, ...members].map(convertToNews), ...this.options.getNews() }
  }

  private setOwn (changes: { readonly state?: MemberState, readonly counter: number }): void {
    this.own = { ...this.own, ...changes, changedAtMs: this.options.clock.nowMs() }
    this.alive = undefined
  }

  private handleChange (change: MemberChange): void {
    const { instance } = change.member
    this.alive = undefined
    if (this.passesNewsOn) this.queue.add(instance)
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

  private isPresent (instance: string): boolean {
    const member = this.table.get(instance)
    return member !== undefined && member.state !== 'dead'
  }

  private listStates (states: readonly MemberState[]): string[] {
    return this.table.list().filter(({ state }) => states.includes(state)).map(({ instance }) => instance)
  }
}
