import { type Clock } from '@fescuespoke/common'
import { type MemberNews, type MemberState, type News } from '@fescuespoke/schema'
import { type Maybe } from 'true-myth'
import { GossipQueue } from './GossipQueue.js'
import { convertToMemberUpdate, type Member, type MemberChange } from './Member.js'
import { MemberTable, type UpdateSource } from './MemberTable.js'
import { type MembershipOptions } from './MembershipOptions.js'

/** Options of a gossip exchange. @internal */
export interface GossipExchangeOptions {
  readonly membership: MembershipOptions
  readonly clock: Clock
  /** Maximum number of members in one gossip message besides the sender. */
  readonly maxGossipMembers: number
  /** Called on each change of another member. */
  readonly onChange: (change: MemberChange) => void
  /** Called on each change of the record of the local instance. */
  readonly onLocalChange: () => void
  /** Called when an instance that was unknown or dead sends a gossip message and is added. */
  readonly onMemberJoined: () => void
}

/** Holds the records of the local instance and the other members, and creates and merges gossip messages. @internal */
export class GossipExchange {
  /**
   * Creates an exchange that contains only the local instance.
   * @param options - Options of the exchange.
   */
  static create (options: GossipExchangeOptions): GossipExchange {
    return new GossipExchange(options)
  }

  /** Records of the other members. */
  readonly table: MemberTable
  private readonly queue = GossipQueue.create()
  private localMember: Member
  private shouldGossipChanges = true

  /** @internal */
  private constructor (private readonly options: GossipExchangeOptions) {
    const { clock, membership } = options
    const { instance, incarnation, url, peerAddress, availabilityZone, region, cores, linkMbps } = membership
    // Members of an earlier release do not know these fields, so they are absent where there is nothing to tell.
    const size = { ...(cores === undefined ? {} : { cores }), ...(linkMbps === undefined ? {} : { linkMbps }) }
    this.localMember = { instance, incarnation, url, peerAddress, availabilityZone, region, ...size, counter: 0, state: 'alive', changedAtMs: clock.nowMs() }
    this.table = MemberTable.create({ clock, onChange: change => this.handleChange(change) })
  }

  /** Returns the record of the local instance. */
  getLocalMember (): Member {
    return this.localMember
  }

  /**
   * Sets the state of the local instance and increments its counter, so that the new record overrides
   * those of the peers.
   * @param state - New state.
   */
  setLocalState (state: MemberState): void {
    this.updateLocalMember({ state, counter: this.localMember.counter + 1 })
  }

  /** Computes a digest of all members. Two instances with the same view compute the same digest. */
  computeDigest (): number {
    return this.table.computeDigest(this.localMember)
  }

  /**
   * Creates a gossip message from the record of the local instance and the queued updates. In two cases the message also
   * contains the record of the receiver, so that the receiver can refute it: the record differs from the one that the
   * receiver reported, or the receiver reported none and is recorded as suspect or dead.
   * @param receiver - Name of the receiver.
   * @param receivedGossip - Gossip message of the receiver that is being answered; absent for a request.
   */
  createGossip (receiver: string, receivedGossip?: News): News {
    const names = this.queue.takeNames(this.options.maxGossipMembers, this.table.countPresent() + 1)
    const conflictingNames = this.hasConflictingState(receiver, receivedGossip) ? [receiver] : []
    const includedNames = new Set([...conflictingNames, ...names].slice(0, this.options.maxGossipMembers))
    const members = [...includedNames].map(name => this.table.get(name)).filter(member => member !== undefined)
    return { members: [this.localMember, ...members].map(convertToMemberUpdate), ...this.options.membership.getGossipPayload() }
  }

  /**
   * Merges a received gossip message.
   * @param from - Name of the sender.
   * @param gossip - Received gossip message.
   * @param sentAtMs - Time on the local clock at which the answered request was sent; `Maybe.nothing()` if the message
   * was a request.
   */
  mergeGossip (from: string, { members, ...payload }: News, sentAtMs: Maybe<number>): void {
    const wasAbsent = !this.table.isPresent(from)
    for (const update of members) this.applyUpdate(update, from)
    if (wasAbsent && this.table.isPresent(from)) this.options.onMemberJoined()
    this.options.membership.handleGossipPayload(from, payload, sentAtMs)
  }

  /**
   * Merges all members of a peer. The changes are not gossiped, since the other instances synchronize in the same way.
   * @param members - Members of the peer.
   * @param from - Name of the peer.
   */
  mergeMembers (members: readonly MemberNews[], from: string): void {
    this.shouldGossipChanges = false
    for (const update of members) this.applyUpdate(update, from)
    this.shouldGossipChanges = true
  }

  private applyUpdate (update: MemberNews, from: string): void {
    const source: UpdateSource = update.instance === from ? 'subject' : 'thirdParty'
    if (update.instance === this.localMember.instance) this.applyUpdateOfLocalMember(update)
    else this.table.applyUpdate(update, source, source === 'subject' ? 'reported by itself' : `reported by ${from}`)
  }

  private applyUpdateOfLocalMember (update: MemberNews): void {
    if (update.counter < this.localMember.counter) return
    const isConsistent = update.incarnation === this.localMember.incarnation && update.state === this.localMember.state
    if (!isConsistent) this.updateLocalMember({ counter: update.counter + 1 })
    else if (update.counter > this.localMember.counter) this.updateLocalMember({ counter: update.counter })
  }

  private hasConflictingState (receiver: string, receivedGossip?: News): boolean {
    const current = this.table.get(receiver)
    if (current === undefined) return false
    const reported = receivedGossip?.members.find(({ instance }) => instance === receiver)
    if (reported === undefined) return current.state === 'suspect' || current.state === 'dead'
    return current.state !== reported.state || current.counter !== reported.counter
  }

  private updateLocalMember (changes: { readonly state?: MemberState, readonly counter: number }): void {
    this.localMember = { ...this.localMember, ...changes, changedAtMs: this.options.clock.nowMs() }
    this.options.onLocalChange()
  }

  private handleChange (change: MemberChange): void {
    if (this.shouldGossipChanges) this.queue.add(change.member.instance)
    this.options.onChange(change)
  }
}
