import { type AuditTrail, type Clock, type Random, type Snapshot } from '@fescuespoke/common'
import { type GossipPayload, type Member, Membership } from '@fescuespoke/peers'
import { type Address, type ListedEntry, type MemberStatus, type Settings } from '@fescuespoke/schema'
import { type AliveInstance, rankAddresses, type RankedMember } from '@fescuespoke/scheduling'
import { Maybe, Result } from 'true-myth'
import { type ListeningTransport, type TransportFactory } from '../instance/InstanceOptions.js'

/** Options of a peer group. */
export interface PeerGroupOptions {
  readonly settings: Settings
  readonly incarnation: string
  readonly clock: Clock
  readonly random: Random
  readonly audit: AuditTrail
  readonly createTransport: TransportFactory
  readonly getFleetVersions: () => GossipPayload
  readonly observeFleetVersions: (from: string, versions: GossipPayload, sentAtMs: Maybe<number>) => void
}

/** Options of ranking addresses. */
export interface PeerGroupRankingOptions {
  readonly service: string
  readonly workspace: string
  readonly rotationOffset: number
  readonly snapshot: Snapshot
}

/** The peers of an instance: the transport to them and their membership states. */
export class PeerGroup {
  /**
   * Creates a group that is not listening yet.
   * @param options - Options of the group.
   */
  static create (options: PeerGroupOptions): PeerGroup {
    return new PeerGroup(options)
  }

  readonly transport: ListeningTransport
  private membership: Membership | undefined
  private listedInstances: readonly ListedEntry[] = []
  private url = ''
  private address = ''

  /** @internal */
  private constructor (private readonly options: PeerGroupOptions) {
    this.transport = options.createTransport(instance => this.findPeerAddress(instance), options.incarnation)
  }

  /**
   * Starts listening for peers and probing them.
   * @param url - Base URL of this instance for callers.
   * @returns The host and port for peers, or the reason why the instance cannot listen.
   */
  async listen (url: string): Promise<Result<string, string>> {
    const address = await this.transport.listen()
    if (address.isErr) return address
    const { settings, incarnation, clock, random, audit, getFleetVersions, observeFleetVersions } = this.options
    const { id, availabilityZone, region } = settings.instance
    this.url = url
    this.address = address.value
    const limits = settings.peers
    this.membership = Membership.create({
      instance: id, incarnation, url, peerAddress: this.address, availabilityZone, region, transport: this.transport, clock, random, audit, getGossipPayload: getFleetVersions, handleGossipPayload: observeFleetVersions, limits
    })
    this.membership.setListedInstances(this.listedInstances)
    this.membership.start()
    return Result.ok(this.address)
  }

  /**
   * Sets the instances from the platform's instance list.
   * @param entries - Entries of the instance list.
   */
  setListedInstances (entries: readonly ListedEntry[]): void {
    this.listedInstances = entries
    this.membership?.setListedInstances(entries)
  }

  /** Returns the host and port for peers. */
  getAddress (): string {
    return this.address
  }

  /** Lists the instances in state `alive`, including this one if it is alive. */
  listAliveInstances (): AliveInstance[] {
    return this.listRankedMembers().filter(({ state }) => state === 'alive')
  }

  /** Lists the other instances in state `alive`. */
  listAlivePeers (): AliveInstance[] {
    return this.listAliveInstances().filter(({ instance }) => instance !== this.options.settings.instance.id)
  }

  /** Lists all members for operators. */
  listMemberStatus (): MemberStatus[] {
    return this.listRankedMembers().map(({ instance, state, availabilityZone, url }) => ({ instance, state, availabilityZone, url }))
  }

  /**
   * Finds the base URL of another instance.
   * @param instance - Name of the instance.
   * @returns The URL, or `undefined` when the instance is not known.
   */
  findInstanceUrl (instance: string): string | undefined {
    const member = this.membership?.findMember(instance).unwrapOr(undefined)
    return member?.url ?? this.listedInstances.find(entry => entry.id === instance)?.url
  }

  /**
   * Ranks the instance addresses for a service and workspace.
   * @param options - Options of the ranking.
   */
  rankAddresses (options: PeerGroupRankingOptions): Address[] {
    const { availabilityZone, region } = this.options.settings.instance
    return rankAddresses({ ...options, members: this.listRankedMembers(), availabilityZone, region })
  }

  /** Sends the new revision or list version to peers immediately. */
  announceFleetVersions (): void {
    this.membership?.pushGossip()
  }

  /** Announces to the peers that this instance is leaving. */
  announceLeaving (): void {
    this.membership?.announceLeaving()
  }

  /** Stops probing and closes every connection. */
  async close (): Promise<void> {
    await this.membership?.stop()
    await this.transport.close()
  }

  private findPeerAddress (instance: string): Maybe<string> {
    const memberAddress = this.membership?.findPeerAddress(instance) ?? Maybe.nothing<string>()
    return memberAddress.isJust ? memberAddress : Maybe.of(this.listedInstances.find(entry => entry.id === instance)?.peerAddress)
  }

  private listRankedMembers (): RankedMember[] {
    const { id, availabilityZone, region } = this.options.settings.instance
    const self: RankedMember = { instance: id, url: this.url, availabilityZone, region, state: 'alive' }
    const others = (this.membership?.listMembers() ?? []).filter(({ instance }) => instance !== id)
    const selfState = this.membership?.findMember(id).map(({ state }: Member) => state).unwrapOr('alive') ?? 'alive'
    return [...others, { ...self, state: selfState }].sort((a, b) => a.instance < b.instance ? -1 : 1)
  }
}
