import { type Clock } from '@fescuespoke/common'
import { type MemberNews, type MemberState, type News } from '@fescuespoke/schema'
import { type Maybe } from 'true-myth'
import { convertToNews, type Member, type MemberChange } from './Member.js'
import { MemberTable, type NewsSource } from './MemberTable.js'
import { type MembershipOptions } from './MembershipOptions.js'
import { NewsQueue } from './NewsQueue.js'

/** Options of a news exchange. @internal */
export interface NewsExchangeOptions {
  readonly membership: MembershipOptions
  readonly clock: Clock
  /** Number of members in the news of one message besides the sender. */
  readonly maxNews: number
  /** Receives each change of another member. */
  readonly onChange: (change: MemberChange) => void
  /** Observes a change of the own record. */
  readonly onOwnChange: () => void
  /** Observes that an instance that was absent has sent news itself. */
  readonly onFound: () => void
}

/** What this instance believes of itself and the others, and the news of it that messages carry. @internal */
export class NewsExchange {
  /**
   * Creates an exchange that knows only the own instance.
   * @param options - Options of the exchange.
   */
  static create (options: NewsExchangeOptions): NewsExchange {
    return new NewsExchange(options)
  }

  /** The other members. */
  readonly table: MemberTable
  private readonly queue = NewsQueue.create()
  private own: Member
  private passesNewsOn = true

  /** @internal */
  private constructor (private readonly options: NewsExchangeOptions) {
    const { clock, membership } = options
    const { instance, incarnation, url, peerAddress, availabilityZone, region } = membership
    this.own = { instance, incarnation, url, peerAddress, availabilityZone, region, counter: 0, state: 'alive', changedAtMs: clock.nowMs() }
    this.table = MemberTable.create({ clock, onChange: change => this.handleChange(change) })
  }

  /** Gets the own record. */
  getOwn (): Member {
    return this.own
  }

  /**
   * Sets the own state and raises the counter, so that it replaces what others believe.
   * @param state - The state.
   */
  setOwnState (state: MemberState): void {
    this.setOwn({ state, counter: this.own.counter + 1 })
  }

  /** Computes a number that two instances have in common when they believe the same. */
  computeDigest (): number {
    return this.table.computeDigest(this.own)
  }

  /**
   * Creates the news of a message: the own record, what is disputed with the receiver, and what is to be passed on.
   * @param to - Name of the receiver.
   * @param told - What the receiver has just told.
   */
  createNews (to: string, told?: News): News {
    const names = this.queue.takeNames(this.options.maxNews, this.table.countPresent() + 1)
    const disputed = this.isDisputed(to, told) ? [to] : []
    const others = new Set([...disputed, ...names].slice(0, this.options.maxNews))
    const members = [...others].map(name => this.table.get(name)).filter(member => member !== undefined)
    return { members: [this.own, ...members].map(convertToNews), ...this.options.membership.getNews() }
  }

  /**
   * Observes the news of a message.
   * @param from - Name of the sender.
   * @param news - The news.
   * @param sentAtMs - Reading of the own clock when the answered request was sent.
   */
  observeNews (from: string, { members, ...fleetNews }: News, sentAtMs: Maybe<number>): void {
    const wasAbsent = !this.table.isPresent(from)
    for (const news of members) this.acceptNews(news, from)
    if (wasAbsent && this.table.isPresent(from)) this.options.onFound()
    this.options.membership.observeNews(from, fleetNews, sentAtMs)
  }

  /**
   * Accepts all members that a peer knows. They are not passed on, since the others make the same exchange.
   * @param members - The members.
   * @param from - Name of the peer.
   */
  acceptMembers (members: readonly MemberNews[], from: string): void {
    this.passesNewsOn = false
    for (const news of members) this.acceptNews(news, from)
    this.passesNewsOn = true
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

  private isDisputed (receiver: string, told?: News): boolean {
    const known = this.table.get(receiver)
    if (known === undefined) return false
    const stated = told?.members.find(({ instance }) => instance === receiver)
    if (stated === undefined) return known.state === 'suspect' || known.state === 'dead'
    return known.state !== stated.state || known.counter !== stated.counter
  }

  private setOwn (changes: { readonly state?: MemberState, readonly counter: number }): void {
    this.own = { ...this.own, ...changes, changedAtMs: this.options.clock.nowMs() }
    this.options.onOwnChange()
  }

  private handleChange (change: MemberChange): void {
    if (this.passesNewsOn) this.queue.add(change.member.instance)
    this.options.onChange(change)
  }
}
