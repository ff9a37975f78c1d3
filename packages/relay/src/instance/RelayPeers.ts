import { type BufferBudget, type Clock, type Logger, type PeerTransport, type Random, rankByRendezvous } from '@fescuespoke/common'
import { type Member, Membership, NewsPush, parsePeerAddress, PeerNetwork } from '@fescuespoke/peers'
import { type Result } from 'true-myth'
import { type DecisionLog } from '../logs/DecisionLog.js'
import { formatSummary, parseSummary, type PublishedSummary } from '../published/PublishedPosition.js'
import { computeGroup, type InstanceGroup, type ZonedInstance } from './computeGroup.js'
import { FleetSizeEstimator } from './FleetSizeEstimator.js'
import { type CensusState, InstanceCensus } from './InstanceCensus.js'
import { pickAddressesBySize } from './pickAddressesBySize.js'
import { type RelayIdentity } from './RelayInstanceOptions.js'
import { type TargetNewsExchange } from './TargetNewsExchange.js'

/** Availability zone and region of an instance. */
export type InstancePlace = Pick<Member, 'availabilityZone' | 'region'>

/** Options of a list of addresses for a caller. */
export interface AddressListOptions {
  /** Whether this instance accepts requests. */
  readonly isSelfReady: boolean
  /** IP address of the caller. */
  readonly callerAddress?: string
  /** Returns whether an instance may be listed; by default, all may. */
  readonly mayList?: (instance: InstancePlace) => boolean
}

/** Options of the peers of a relay instance. */
export interface RelayPeersOptions {
  readonly identity: RelayIdentity
  readonly clock: Clock
  readonly random: Random
  readonly logger: Logger
  readonly log: DecisionLog
  /** Returns what this instance has of the published keys. */
  readonly getSummary: () => PublishedSummary
  /** Handles what a peer has of the published keys. */
  readonly handlePeerSummary: (peer: string, summary: PublishedSummary) => void
  /** News about targets that instances tell one another. */
  readonly targetNews: TargetNewsExchange
  /** Called when a peer is declared dead. */
  readonly onPeerDead: (peer: string) => void
  /** Bounds the bytes that the process buffers. */
  readonly bufferBudget?: BufferBudget
}

/** Limits of the membership protocol: times in milliseconds, of which `suspicionMs` is that in which a suspected instance may refute the suspicion, and the members in one gossip message. */
export const PROBE_LIMITS = { probeMs: 500, probeTimeoutMs: 250, suspicionMs: 1500, syncMs: 5000, searchMs: 1000, maxGossipMembers: 32 }

/** Minimum number of instances in the caller's availability zone for which instances in other zones are not listed. */
const MIN_LOCAL_INSTANCES = 2

/** Number of instances of a group that watch the store, and the key with which they are ranked. */
const WATCHERS_PER_GROUP = 3
const WATCHERS_KEY = 'watchers'

/** Number of random bytes in the incarnation of the process. */
const INCARNATION_BYTES = 9

/** The other instances. Instances are named by their peer addresses, so that the published seeds are enough to join. */
export class RelayPeers {
  /**
   * Creates peers without listening for connections yet.
   * @param options - Options of the peers.
   */
  static create (options: RelayPeersOptions): RelayPeers {
    return new RelayPeers(options)
  }

  /** Census of the instances that may be running. */
  readonly census: InstanceCensus
  private readonly network: PeerNetwork
  private readonly membership: Membership
  private readonly newsPush: NewsPush
  private readonly fleetSize: FleetSizeEstimator
  private group: InstanceGroup | undefined
  /** Rank among the watchers of the group; asked for several times a second. */
  private watchRank: number | undefined
  private seeds: readonly string[] = []

  /** @internal */
  private constructor (private readonly options: RelayPeersOptions) {
    const { identity, clock, random, logger, bufferBudget } = options
    const { peerAddress: instance, availabilityZone, region, cores, linkMbps } = identity
    const incarnation = random.nextString(INCARNATION_BYTES)
    const { host, port } = parsePeerAddress(instance).unwrapOr({ host: instance, port: 0 })
    this.network = PeerNetwork.create({
      ...identity, instance, incarnation, clock, random, logger, bufferBudget, host, port, findPeerAddress: name => parsePeerAddress(name).map(() => name)
    })
    this.membership = Membership.create({
      instance,
      incarnation,
      url: identity.callerAddress,
      peerAddress: instance,
      availabilityZone,
      region,
      cores,
      linkMbps,
      transport: this.network,
      clock,
      random,
      getGossipPayload: () => ({ ...formatSummary(options.getSummary()), listVersion: 0, listAgeMs: 0, ...options.targetNews.createNews() }),
      handleGossipPayload: (from, payload) => {
        options.handlePeerSummary(from, parseSummary(payload))
        options.targetNews.handleNews(from, payload)
      },
      limits: PROBE_LIMITS
    })
    this.census = InstanceCensus.create({ clock, instance, listSeeds: () => this.seeds })
    this.newsPush = NewsPush.create({ clock, push: () => this.membership.pushGossip() })
    this.fleetSize = FleetSizeEstimator.create({ clock, countAlive: () => this.membership.listAlive().length, countSeeds: () => this.seeds.length })
    this.membership.addListener(change => this.handleMemberChange(change.member, change.cause, change.previousState))
    this.setSeeds(identity.seeds)
  }

  /** Returns the transport to other instances. */
  get transport (): PeerTransport {
    return this.network
  }

  /** Starts to listen and to probe peers; returns the address. */
  async listen (): Promise<Result<string, string>> {
    const address = await this.network.listen()
    if (address.isOk) this.membership.start()
    return address
  }

  /**
   * Sets the seeds from which other instances are discovered.
   * @param seeds - Peer addresses.
   */
  setSeeds (seeds: readonly string[]): void {
    this.seeds = seeds.filter(seed => seed !== this.options.identity.peerAddress)
    this.census.refresh()
    this.membership.setListedInstances(seeds.map(seed => ({ id: seed, role: 'entry', state: 'live', peerAddress: seed })))
  }

  /** Lists the names of the other instances that are considered alive. */
  listAlivePeers (): readonly string[] {
    const thisInstance = this.options.identity.peerAddress
    return this.membership.listAlive().filter(name => name !== thisInstance)
  }

  /** Returns the group of instances that exchange their loads. */
  getGroup (): InstanceGroup {
    this.group ??= computeGroup(this.getThisInstance(), this.membership.listMembers().filter(({ state }) => state === 'alive'))
    return this.group
  }

  /** Returns whether this instance knows only a part of the loads of targets, since the fleet has instances outside its group. */
  isLoadPartial (): boolean {
    return this.getGroup().instances.length < this.membership.listAlive().length
  }

  /** Returns whether this instance watches the store for its group; in a fleet with a single group all instances do. */
  isWatcher (): boolean {
    return this.getWatchRank() < WATCHERS_PER_GROUP
  }

  /** Returns the rank of this instance among the watchers of its group; 0 is the first. */
  getWatchRank (): number {
    this.watchRank ??= this.computeWatchRank()
    return this.watchRank
  }

  /**
   * Returns the rank of this instance among all instances that are considered alive; 0 is the first.
   * @param key - Key on which the order depends.
   */
  getRank (key: string): number {
    const thisInstance = this.options.identity.peerAddress
    return rankByRendezvous(key, [thisInstance, ...this.listAlivePeers()]).indexOf(thisInstance)
  }

  /** Lists the other instances of the group. */
  listGroupPeers (): readonly string[] {
    return this.getGroup().instances.filter(name => name !== this.options.identity.peerAddress)
  }

  /** Returns the estimated number of instances of the fleet; see `FleetSizeEstimator`. */
  estimateFleetSize (): number {
    return this.fleetSize.estimateSize()
  }

  /**
   * Lists the addresses that a caller should use; larger instances are named to more callers, see `pickAddressesBySize`.
   * @param availabilityZone - Availability zone of the caller.
   * @param options - Whether this instance accepts requests, the caller, and which instances may be listed.
   */
  listCallerAddresses (availabilityZone: string, { isSelfReady, callerAddress = '', mayList = () => true }: AddressListOptions): string[] {
    const thisInstance = this.options.identity.peerAddress
    const members = this.membership.listMembers().filter(({ state, instance }) => instance === thisInstance ? isSelfReady : state === 'alive').filter(mayList)
    const localMembers = members.filter(member => member.availabilityZone === availabilityZone)
    const selected = localMembers.length >= MIN_LOCAL_INSTANCES ? localMembers : members
    return pickAddressesBySize(selected, callerAddress)
  }

  /** Tells some peers soon what this instance has learned, instead of with its next probe. */
  pushNews (): void {
    this.newsPush.schedulePush()
  }

  /** Announces to the peers that this instance stops. */
  announceLeaving (): void {
    this.membership.announceLeaving()
  }

  /** Stops probing and closes all connections. */
  async close (): Promise<void> {
    await this.membership.stop()
    await this.network.close()
  }

  private computeWatchRank (): number {
    const { instances, count } = this.getGroup()
    return count === 1 ? 0 : rankByRendezvous(WATCHERS_KEY, instances).indexOf(this.options.identity.peerAddress)
  }

  private getThisInstance (): ZonedInstance {
    const { peerAddress, availabilityZone } = this.options.identity
    return { instance: peerAddress, availabilityZone }
  }

  private handleMemberChange ({ instance, state }: Member, cause: string, previousState: string | undefined): void {
    this.options.log.recordStateChange('peer changed', { peer: instance, before: previousState, state, cause })
    this.census.recordInstance(instance, classifyMember(state, previousState))
    this.group = undefined
    this.watchRank = undefined
    if (state === 'dead') this.options.onPeerDead(instance)
  }
}

/** Classifies a member for the census: an instance that announced that it leaves and was declared dead has ended. */
function classifyMember (state: Member['state'], previousState: string | undefined): CensusState {
  if (state !== 'dead') return 'present'
  return previousState === 'leaving' ? 'left' : 'lost'
}
