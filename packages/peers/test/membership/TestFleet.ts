import { AuditTrail, SeededRandom, VirtualClock } from '@fescuespoke/common'
import { type ListedEntry } from '@fescuespoke/schema'
import { type FleetNews, type MemoryFaults, MemoryNetwork, type MemoryPeer, Membership, type MembershipLimits } from '../../src/index.js'

/** Options of a fleet of a test. */
export interface TestFleetOptions {
  readonly size: number
  readonly seed?: number
  readonly faults?: Partial<MemoryFaults>
  readonly limits?: Partial<MembershipLimits>
}

/** One instance of a fleet. */
export interface TestInstance {
  readonly peer: MemoryPeer
  readonly membership: Membership
  readonly audit: AuditTrail
  /** What peers told it: when, and when the answered request was sent. */
  readonly observed: Observation[]
  readonly getRevision: () => number
  /** Sets the revision that it tells its peers and announces it. */
  readonly setRevision: (revision: number) => void
}

interface Observation {
  readonly from: string
  readonly news: FleetNews
  readonly atMs: number
  readonly sentAtMs: number | undefined
}

/** Memberships over a memory network in virtual time. */
export class TestFleet {
  static create (options: TestFleetOptions): TestFleet {
    return new TestFleet(options)
  }

  readonly clock = VirtualClock.create()
  readonly network: MemoryNetwork
  readonly instances = new Map<string, TestInstance>()
  readonly names: string[]
  private incarnations = 0

  private constructor (private readonly options: TestFleetOptions) {
    const random = SeededRandom.create(options.seed ?? 1)
    this.network = MemoryNetwork.create({ clock: this.clock, random, faults: options.faults })
    this.names = Array.from({ length: options.size }, (_, index) => `i${String(index + 1).padStart(2, '0')}`)
    for (const name of this.names) this.startInstance(name)
  }

  startInstance (instance: string, listed: readonly string[] = this.names): Membership {
    const peer = this.network.createPeer(instance)
    const incarnation = `run${++this.incarnations}`
    const audit = AuditTrail.create({ instance, incarnation, getTime: () => new Date(0) })
    const observed: Observation[] = []
    let revision = 1
    const setRevision = (accepted: number): void => {
      revision = accepted
      membership.announceNews()
    }
    const membership = Membership.create({
      instance,
      incarnation,
      url: `http://${instance}`,
      peerAddress: `${instance}:1`,
      availabilityZone: 'az1',
      region: 'r1',
      transport: peer,
      clock: peer.clock,
      random: SeededRandom.create((this.options.seed ?? 1) * 1000 + this.incarnations),
      audit,
      getNews: () => ({ revision, listVersion: 1, listAgeMs: 0 }),
      observeNews: (from, news, sentAtMs) => {
        observed.push({ from, news, atMs: this.clock.nowMs(), sentAtMs: sentAtMs.isJust ? sentAtMs.value : undefined })
        if (news.revision > revision) setRevision(news.revision)
      },
      limits: this.options.limits
    })
    membership.setListed(listed.map(createEntry))
    membership.start()
    this.instances.set(instance, { peer, membership, audit, observed, getRevision: () => revision, setRevision })
    return membership
  }

  /** Ends a process without any notice. */
  kill (instance: string): void {
    const killed = this.get(instance)
    killed.peer.close()
    killed.membership.stop()
    this.instances.delete(instance)
  }

  get (instance: string): TestInstance {
    const found = this.instances.get(instance)
    if (found === undefined) throw new Error(`no instance ${instance}`)
    return found
  }

  /** Counts how many instances believe in which list of alive instances. */
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
export function createEntry (id: string): ListedEntry {
  return { id, role: 'entry', state: 'live', peerAddress: `${id}:1`, availabilityZone: 'az1', region: 'r1' }
}
