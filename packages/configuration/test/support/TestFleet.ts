import { AuditTrail, SeededRandom, VirtualClock } from '@fescuespoke/common'
import { ConfigurationFollower, ConfigurationView, InstanceListFollower, InstanceListView, type FleetMember } from '../../src/index.js'
import { FakeNetwork } from './FakeNetwork.js'
import { FakePlatform } from './FakePlatform.js'

/** One instance of a test fleet. */
export interface TestInstance {
  readonly self: FleetMember
  readonly audit: AuditTrail
  readonly configuration: ConfigurationView
  readonly follower: ConfigurationFollower
  readonly list: InstanceListView
  readonly listFollower: InstanceListFollower
}

/** Several instances with a fake platform, a fake network and one virtual clock. */
export class TestFleet {
  static create (): TestFleet {
    return new TestFleet()
  }

  readonly clock = VirtualClock.create()
  readonly network = FakeNetwork.create(this.clock)
  readonly platform = FakePlatform.create(this.clock)
  readonly instances = new Map<string, TestInstance>()
  private seed = 1

  /** Starts an instance. If it is running, restarts it as a new incarnation without any state. */
  async startInstance (instance: string, availabilityZone: string): Promise<TestInstance> {
    await this.stopInstance(instance)
    const { clock } = this
    const self = { instance, availabilityZone }
    const audit = AuditTrail.create({ instance, incarnation: String(this.seed) })
    const random = SeededRandom.create(this.seed++)
    const transport = this.network.createTransport(instance)
    const listPeers = (): FleetMember[] => [...this.instances.values()].map(other => other.self).filter(other => other.instance !== instance)
    const configuration = ConfigurationView.create({ clock, audit })
    const list = InstanceListView.create({ clock, audit })
    const common = { transport, clock, random, audit, self, listPeers }
    const follower = ConfigurationFollower.create({ ...common, view: configuration, source: this.platform.createSource(instance) })
    const listFollower = InstanceListFollower.create({ ...common, view: list, source: this.platform.createListSource(instance) })
    const started = { self, audit, configuration, follower, list, listFollower }
    this.instances.set(instance, started)
    follower.start()
    listFollower.start()
    return started
  }

  async stopInstance (instance: string): Promise<void> {
    const running = this.instances.get(instance)
    if (running === undefined) return
    this.instances.delete(instance)
    this.network.handlers.delete(instance)
    const stopped = Promise.all([running.follower.stop(), running.listFollower.stop()])
    await this.clock.advance(2000)
    await stopped
  }

  async stop (): Promise<void> {
    for (const instance of [...this.instances.keys()]) await this.stopInstance(instance)
  }

  listRevisions (): string {
    return [...this.instances].map(([name, { configuration }]) => `${name}:${configuration.getRevision()}`).join(' ')
  }
}
