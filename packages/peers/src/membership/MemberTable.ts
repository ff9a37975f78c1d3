import { type Clock } from '@fescuespoke/common'
import { type MemberNews, type MemberState } from '@fescuespoke/schema'
import murmurhash from 'murmurhash'
import { convertToNews, isNewer, type Member, type MemberChange } from './Member.js'

/** Incarnations of one instance that are remembered as replaced. */
const MAX_REPLACED_INCARNATIONS = 4

/** Members held at once. */
const MAX_MEMBERS = 8192

interface Entry {
  member: Member
  /** Earlier incarnations; news of them is ignored. */
  readonly replaced: string[]
}

/** Where news of an instance comes from: from itself or from another one. */
export type NewsSource = 'itself' | 'another'

/** Options of a member table. @internal */
export interface MemberTableOptions {
  readonly clock: Clock
  /** Receives each change. */
  readonly onChange: (change: MemberChange) => void
}

/** The other instances and what this one believes of them. @internal */
export class MemberTable {
  /**
   * Creates an empty table.
   * @param options - Options of the table.
   */
  static create (options: MemberTableOptions): MemberTable {
    return new MemberTable(options)
  }

  private readonly entries = new Map<string, Entry>()

  /** @internal */
  private constructor (private readonly options: MemberTableOptions) {}

  /**
   * Gets a member.
   * @param instance - Name of the instance.
   */
  get (instance: string): Member | undefined {
    return this.entries.get(instance)?.member
  }

  /** Lists the members in no order. */
  list (): Member[] {
    return [...this.entries.values()].map(({ member }) => member)
  }

  /**
   * Lists the names of the members in some states, in no order.
   * @param states - The states.
   */
  listNames (states: readonly MemberState[]): string[] {
    return this.list().filter(({ state }) => states.includes(state)).map(({ instance }) => instance)
  }

  /**
   * Tells whether an instance is known and not dead.
   * @param instance - Name of the instance.
   */
  isPresent (instance: string): boolean {
    const member = this.get(instance)
    return member !== undefined && member.state !== 'dead'
  }

  /** Counts the members that are not dead. */
  countPresent (): number {
    let count = 0
    for (const { member } of this.entries.values()) if (member.state !== 'dead') count++
    return count
  }

  /**
   * Accepts news of a member unless what is known is newer.
   * @param news - The news.
   * @param source - Where it comes from.
   * @param cause - Why, for operators.
   */
  acceptNews (news: MemberNews, source: NewsSource, cause: string): void {
    const entry = this.entries.get(news.instance)
    if (entry?.replaced.includes(news.incarnation) === true) return
    if (entry === undefined) this.insertMember(news, cause)
    else if (news.incarnation !== entry.member.incarnation) this.acceptIncarnation(entry, news, source)
    else if (isNewer(news, entry.member)) this.replaceMember(entry, news, cause)
  }

  /**
   * Sets the state of a member that this instance has judged itself.
   * @param instance - Name of the instance.
   * @param state - The state.
   * @param cause - Why, for operators.
   */
  setState (instance: string, state: MemberState, cause: string): void {
    const entry = this.entries.get(instance)
    if (entry !== undefined) this.replaceMember(entry, { ...convertToNews(entry.member), state }, cause)
  }

  /** Restarts the time of every state, after a pause of this process. */
  restartTimes (): void {
    const changedAtMs = this.options.clock.nowMs()
    for (const entry of this.entries.values()) entry.member = { ...entry.member, changedAtMs }
  }

  /**
   * Removes the members that have been dead for longer than a duration.
   * @param forgetMs - Duration in milliseconds.
   */
  pruneDead (forgetMs: number): void {
    const nowMs = this.options.clock.nowMs()
    for (const [instance, { member }] of this.entries) {
      if (member.state === 'dead' && nowMs - member.changedAtMs > forgetMs) this.entries.delete(instance)
    }
  }

  /**
   * Computes a number that two instances have in common when they believe the same.
   * @param own - News of the instance itself.
   */
  computeDigest (own: MemberNews): number {
    let digest = computeHash(own)
    for (const { member } of this.entries.values()) {
      if (member.state !== 'dead') digest ^= computeHash(member)
    }
    return digest >>> 0
  }

  private insertMember (news: MemberNews, cause: string): void {
    if (news.state === 'dead' || this.entries.size >= MAX_MEMBERS) return
    const member: Member = { ...news, changedAtMs: this.options.clock.nowMs() }
    this.entries.set(news.instance, { member, replaced: [] })
    this.options.onChange({ member, isRestart: false, cause })
  }

  private acceptIncarnation (entry: Entry, news: MemberNews, source: NewsSource): void {
    const { member, replaced } = entry
    if (source === 'another' && news.counter <= member.counter) return
    replaced.push(member.incarnation)
    if (replaced.length > MAX_REPLACED_INCARNATIONS) replaced.shift()
    const counter = Math.max(news.counter, member.counter + 1)
    this.replaceMember(entry, { ...news, counter }, `incarnation ${news.incarnation} replaces ${member.incarnation}`)
  }

  private replaceMember (entry: Entry, news: MemberNews, cause: string): void {
    const before = entry.member
    const isRestart = before.incarnation !== news.incarnation
    const changedAtMs = before.state === news.state && !isRestart ? before.changedAtMs : this.options.clock.nowMs()
    entry.member = { ...news, changedAtMs }
    this.options.onChange({ member: entry.member, before: before.state, isRestart, cause })
  }
}

function computeHash ({ instance, incarnation, counter, state }: MemberNews): number {
  return murmurhash.v3(`${instance}\u0000${incarnation}\u0000${counter}\u0000${state}`)
}
