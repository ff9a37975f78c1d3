import { type Clock } from '@fescuespoke/common'
import { type MemberNews, type MemberState } from '@fescuespoke/schema'
import murmurhash from 'murmurhash'
import { convertToMemberUpdate, isNewer, type Member, type MemberChange } from './Member.js'

/** Maximum number of replaced incarnations stored per instance. */
const MAX_REPLACED_INCARNATIONS = 4

/** Maximum number of members. */
const MAX_MEMBERS = 8192

interface MemberEntry {
  member: Member
  /** Previous incarnations, whose updates are ignored. */
  readonly replacedIncarnations: string[]
}

/** Origin of an update: the instance that it is about (`subject`) or another instance (`thirdParty`). */
export type UpdateSource = 'subject' | 'thirdParty'

/** Options of a member table. @internal */
export interface MemberTableOptions {
  readonly clock: Clock
  /** Called on each change of a member. */
  readonly onChange: (change: MemberChange) => void
}

/** The other instances of the fleet, as known to the local instance. @internal */
export class MemberTable {
  /**
   * Creates an empty table.
   * @param options - Options of the table.
   */
  static create (options: MemberTableOptions): MemberTable {
    return new MemberTable(options)
  }

  private readonly entries = new Map<string, MemberEntry>()

  /** @internal */
  private constructor (private readonly options: MemberTableOptions) {}

  /**
   * Returns a member, or undefined if the instance is not known.
   * @param instance - Name of the instance.
   */
  get (instance: string): Member | undefined {
    return this.entries.get(instance)?.member
  }

  /** Returns the members in unspecified order. */
  list (): Member[] {
    return [...this.entries.values()].map(({ member }) => member)
  }

  /**
   * Returns the names of the members in any of the given states, in unspecified order.
   * @param states - States of the members to return.
   */
  listNames (states: readonly MemberState[]): string[] {
    return this.list().filter(({ state }) => states.includes(state)).map(({ instance }) => instance)
  }

  /**
   * Returns whether an instance is known and not dead.
   * @param instance - Name of the instance.
   */
  isPresent (instance: string): boolean {
    const member = this.get(instance)
    return member !== undefined && member.state !== 'dead'
  }

  /** Returns the number of members that are not dead. */
  countPresent (): number {
    let count = 0
    for (const { member } of this.entries.values()) if (member.state !== 'dead') count++
    return count
  }

  /**
   * Applies an update of an instance, unless the current record is newer.
   * @param update - Received update.
   * @param source - Origin of the update.
   * @param cause - Cause of the change, shown to operators.
   */
  applyUpdate (update: MemberNews, source: UpdateSource, cause: string): void {
    const entry = this.entries.get(update.instance)
    if (entry?.replacedIncarnations.includes(update.incarnation) === true) return
    if (entry === undefined) this.insertMember(update, cause)
    else if (update.incarnation !== entry.member.incarnation) this.applyNewIncarnation(entry, update, source)
    else if (isNewer(update, entry.member)) this.replaceMember(entry, update, cause)
  }

  /**
   * Sets the state of a member to a state that the local instance has detected.
   * @param instance - Name of the instance.
   * @param state - New state.
   * @param cause - Cause of the change, shown to operators.
   */
  setState (instance: string, state: MemberState, cause: string): void {
    const entry = this.entries.get(instance)
    if (entry !== undefined) this.replaceMember(entry, { ...convertToMemberUpdate(entry.member), state }, cause)
  }

  /** Resets the time of the last state change of all members to now. Called after a pause of the process. */
  resetStateTimes (): void {
    const changedAtMs = this.options.clock.nowMs()
    for (const entry of this.entries.values()) entry.member = { ...entry.member, changedAtMs }
  }

  /**
   * Removes the members that have been dead for longer than a retention period.
   * @param retentionMs - Retention period in milliseconds.
   */
  pruneDeadMembers (retentionMs: number): void {
    const nowMs = this.options.clock.nowMs()
    for (const [instance, { member }] of this.entries) {
      if (member.state === 'dead' && nowMs - member.changedAtMs > retentionMs) this.entries.delete(instance)
    }
  }

  /**
   * Computes a digest of the members that are not dead. Two instances with the same view compute the same digest.
   * @param localMember - Record of the local instance.
   */
  computeDigest (localMember: MemberNews): number {
    let digest = computeHash(localMember)
    for (const { member } of this.entries.values()) {
      if (member.state !== 'dead') digest ^= computeHash(member)
    }
    return digest >>> 0
  }

  private insertMember (update: MemberNews, cause: string): void {
    if (update.state === 'dead' || this.entries.size >= MAX_MEMBERS) return
    const member: Member = { ...update, changedAtMs: this.options.clock.nowMs() }
    this.entries.set(update.instance, { member, replacedIncarnations: [] })
    this.options.onChange({ member, isRestart: false, cause })
  }

  private applyNewIncarnation (entry: MemberEntry, update: MemberNews, source: UpdateSource): void {
    const { member, replacedIncarnations } = entry
    if (source === 'thirdParty' && update.counter <= member.counter) return
    replacedIncarnations.push(member.incarnation)
    if (replacedIncarnations.length > MAX_REPLACED_INCARNATIONS) replacedIncarnations.shift()
    const counter = Math.max(update.counter, member.counter + 1)
    this.replaceMember(entry, { ...update, counter }, `incarnation ${update.incarnation} replaces ${member.incarnation}`)
  }

  private replaceMember (entry: MemberEntry, update: MemberNews, cause: string): void {
    const previous = entry.member
    const isRestart = previous.incarnation !== update.incarnation
    const changedAtMs = previous.state === update.state && !isRestart ? previous.changedAtMs : this.options.clock.nowMs()
    entry.member = { ...update, changedAtMs }
    this.options.onChange({ member: entry.member, previousState: previous.state, isRestart, cause })
  }
}

function computeHash ({ instance, incarnation, counter, state }: MemberNews): number {
  return murmurhash.v3(`${instance}\u0000${incarnation}\u0000${counter}\u0000${state}`)
}
