import { AuditTrail, SeededRandom, VirtualClock } from '@fescuespoke/common'
import { type ListedEntry } from '@fescuespoke/schema'
import { type GossipPayload, type NetworkFaults, InMemoryNetwork, type InMemoryPeer, Membership, type MembershipLimits } from '../../src/index.js'

/** Options of a test fleet. */
export interface TestFleetOptions {
  readonly size: number
  readonly seed?: number
  readonly faults?: Partial<NetworkFaults>
  readonly limits?: Partial<MembershipLimits>
  /** Cores of each instance, by name. */
  readonly cores?: Readonly<Record<string, number>>
}

/** Instance of a test fleet. */
export interface TestInstance {
  readonly peer: InMemoryPeer
  readonly membership: Membership
  readonly audit: AuditTrail
  /** Gossip data received from peers, with the times of receipt and of the answered request. */
  readonly receivedPayloads: ReceivedPayload[]
  readonly getRevision: () => number
  /** Sets the revision that the instance sends to its peers, and gossips it immediately. */
  readonly setRevision: (revision: number) => void
}

interface ReceivedPayload {
  readonly from: string
  readonly payload: GossipPayload
  readonly atMs: number
  readonly sentAtMs: number | undefined
}

/** Memberships connected by an in-memory network in virtual time. */
export class TestFleet {
  static create (options: TestFleetOptions): TestFleet {
    return new TestFleet(options)
  }

  readonly clock = VirtualClock.create()
  readonly network: InMemoryNetwork
  readonly instances = new Map<string, TestInstance>()
  readonly names: string[]
  private startedCount = 0

  private constructor (private readonly options: TestFleetOptions) {
    const random = SeededRandom.create(options.seed ?? 1)
    this.network = InMemoryNetwork.create({ clock: this.clock, random, faults: options.faults })
    this.names = Array.from({ length: options.size }, (_, index) => `i${String(index + 1).padStart(2, '0')}`)
    for (const name of this.names) this.startInstance(name)
  }

  startInstance (instance: string, listedNames: readonly string[] = this.names): Membership {
    const peer = this.network.createPeer(instance)
    const incarnation = `run${++this.startedCount}`
    const audit = AuditTrail.create({ instance, incarnation, getTime: () => new Date(0) })
    const receivedPayloads: ReceivedPayload[] = []
    let revision = 1
    const setRevision = (accepted: number): void => {
      revision = accepted
      membership.pushGossip()
    }
    const membership = Membership.create({
      instance,
      incarnation,
      url: `http://${instance}`,
      peerAddress: `${instance}:1`,
      availabilityZone: 'az1',
      region: 'r1',
      cores: this.options.cores?.[instance],
      transport: peer,
      clock: peer.clock,
      random: SeededRandom.create((this.options.seed ?? 1) * 1000 + this.startedCount),
      audit,
      getGossipPayload: () => ({ revision, listVersion: 1, listAgeMs: 0 }),
      handleGossipPayload: (from, payload, sentAtMs) => {
        receivedPayloads.push({ from, payload, atMs: this.clock.nowMs(), sentAtMs: sentAtMs.isJust ? sentAtMs.value : undefined })
        if (payload.revision > revision) setRevision(payload.revision)
      },
      limits: this.options.limits
    })
    membership.setListedInstances(listedNames.map(createListedEntry))
    membership.start()
    this.instances.set(instance, { peer, membership, audit, receivedPayloads, getRevision: () => revision, setRevision })
    return membership
  }

  /** Ends a process without notifying its peers. */
  kill (instance: string): void {
    const killed = this.get(instance)
    killed.peer.close()
    killed.membership.stop()
    this.instances.delete(instance)
  }

  get (instance: string): TestInstance {
    const testInstance = this.instances.get(instance)
    if (testInstance === undefined) throw new Error(`instance ${instance} is not running`)
    return testInstance
  }

  /** Returns how many instances have each list of alive instances. */
  countViews (): Record<string, number> {
    const views: Record<string, number> = {}
    for (const { membership } of this.instances.values()) {
      const alive = membership.listAlive()
      const view = alive.length > 8 ? `${alive.length} alive` : alive.join(' ')
      views[view] = (views[view] ?? 0) + 1
    }
    return views
  }
}

/** Creates an entry of the published list. */
export function createListedEntry (id: string): ListedEntry {
  return { id, role: 'entry', state: 'live', peerAddress: `${id}:1`, availabilityZone: 'az1', region: 'r1' }
}
