import { AuditTrail, SeededRandom, type Target, VirtualClock } from '@fescuespoke/common'
import { ConfigurationView, type FleetMember, LoadPermits, OrderGiver } from '../../src/index.js'
import { FakeEngines } from './FakeEngines.js'
import { FakeNetwork } from './FakeNetwork.js'

/** One order giver of a test fleet. */
export interface TestGiver {
  readonly self: FleetMember
  readonly audit: AuditTrail
  readonly configuration: ConfigurationView
  readonly permits: LoadPermits
  readonly giver: OrderGiver
  readonly revisionsNamed: number[]
  /** Runs before each answer of a target; false makes it unreachable. */
  around: (target: Target) => Promise<boolean>
}

/** Several order givers over fake engines in one process, on one virtual clock. */
export class OrderFleet {
  static create (): OrderFleet {
    return new OrderFleet()
  }

  readonly clock = VirtualClock.create()
  readonly network = FakeNetwork.create(this.clock)
  readonly engines = FakeEngines.create(this.clock)
  readonly givers = new Map<string, TestGiver>()
  readonly leaving = new Set<string>()
  fleetSize = 0
  private groups: string[][] = []
  private seed = 1

  /** Splits the fleet: instances of other groups are neither reached nor thought alive. */
  split (...groups: string[][]): void {
    this.groups = groups
    this.network.split(...groups)
  }

  startGiver (instance: string, availabilityZone: string, loadsPerMinute = 600): TestGiver {
    const { clock } = this
    const self = { instance, availabilityZone }
    const audit = AuditTrail.create({ instance, incarnation: '1', capacity: 10_000 })
    const random = SeededRandom.create(this.seed++)
    const configuration = ConfigurationView.create({ clock, audit })
    const listPeers = (): FleetMember[] => this.listPeers(instance)
    const getFleetSize = (): number => this.fleetSize
    const permits = LoadPermits.create({
      clock,
      random,
      transport: this.network.createTransport(instance),
      self: instance,
      listPeers: () => listPeers().map(peer => peer.instance),
      getFleetSize,
      loadsPerMinute
    })
    const revisionsNamed: number[] = []
    const client = this.engines.createClient(async target => await started.around(target))
    const giver = OrderGiver.create({
      clock,
      random,
      audit,
      configuration,
      client,
      self,
      listPeers,
      getFleetSize,
      evidence: { getState: target => this.leaving.has(target) ? 'leaving' : 'active', observeReport: () => {} },
      permits,
      refreshViews: async () => {},
      observeRevision: revision => revisionsNamed.push(revision)
    })
    const started: TestGiver = { self, audit, configuration, permits, giver, revisionsNamed, around: async () => true }
    this.givers.set(instance, started)
    this.fleetSize = Math.max(this.fleetSize, this.givers.size)
    permits.start()
    giver.start()
    return started
  }

  offer (revision: number, values: Record<string, string>, names: string[] = [...this.givers.keys()]): void {
    for (const name of names) this.givers.get(name)?.configuration.offer(values, revision, 'test')
  }

  async stopGiver (instance: string): Promise<void> {
    const running = this.givers.get(instance)
    if (running === undefined) return
    this.givers.delete(instance)
    this.network.handlers.delete(instance)
    const stopped = Promise.all([running.giver.stop(), running.permits.stop()])
    await this.clock.advance(5000)
    await stopped
  }

  async stop (): Promise<void> {
    for (const instance of [...this.givers.keys()]) await this.stopGiver(instance)
  }

  listAudit (instance: string): string[] {
    return (this.givers.get(instance)?.audit.getPage(0).events ?? [])
      .filter(({ kind }) => kind.startsWith('order') || kind === 'modelLost')
      .map(({ kind, subject, cause, fence, answer }) => `${kind} ${subject} ${cause}, fence ${fence}: ${answer}`)
  }

  private listPeers (instance: string): FleetMember[] {
    const group = this.groups.find(names => names.includes(instance))
    return [...this.givers.values()]
      .map(giver => giver.self)
      .filter(other => other.instance !== instance && (group === undefined || group.includes(other.instance)))
  }
}
