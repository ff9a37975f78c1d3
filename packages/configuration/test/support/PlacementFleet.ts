import { AuditTrail, SeededRandom, type Target, VirtualClock } from '@fescuespoke/common'
import { ConfigurationView, type FleetMember, LoadPermits, PlacementController } from '../../src/index.js'
import { FakeEngines } from './FakeEngines.js'
import { FakeNetwork } from './FakeNetwork.js'

/** A placement controller of a test fleet, with its dependencies. */
export interface TestController {
  readonly self: FleetMember
  readonly audit: AuditTrail
  readonly configuration: ConfigurationView
  readonly permits: LoadPermits
  readonly controller: PlacementController
  readonly reportedRevisions: number[]
  /** Called before the state of a target is returned; the target is unreachable when the result is false. */
  beforeAnswer: (target: Target) => Promise<boolean>
}

/** Several placement controllers with fake engines and one virtual clock. */
export class PlacementFleet {
  static create (): PlacementFleet {
    return new PlacementFleet()
  }

  readonly clock = VirtualClock.create()
  readonly network = FakeNetwork.create(this.clock)
  readonly engines = FakeEngines.create(this.clock)
  readonly controllers = new Map<string, TestController>()
  readonly leavingTargets = new Set<string>()
  fleetSize = 0
  private groups: string[][] = []
  private seed = 1

  /** Splits the fleet into groups. Instances of other groups are neither reachable nor considered alive. Without groups, ends the split. */
  split (...groups: string[][]): void {
    this.groups = groups
    this.network.split(...groups)
  }

  startController (instance: string, availabilityZone: string, loadsPerMinute = 600): TestController {
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
    const reportedRevisions: number[] = []
    const client = this.engines.createClient(async target => await started.beforeAnswer(target))
    const controller = PlacementController.create({
      clock,
      random,
      audit,
      configuration,
      client,
      self,
      listPeers,
      getFleetSize,
      targetStates: { getState: target => this.leavingTargets.has(target) ? 'leaving' : 'active', recordReport: () => {} },
      permits,
      refreshViews: async () => {},
      notifyRevision: revision => reportedRevisions.push(revision)
    })
    const started: TestController = { self, audit, configuration, permits, controller, reportedRevisions, beforeAnswer: async () => true }
    this.controllers.set(instance, started)
    this.fleetSize = Math.max(this.fleetSize, this.controllers.size)
    permits.start()
    controller.start()
    return started
  }

  publish (revision: number, values: Record<string, string>, names: string[] = [...this.controllers.keys()]): void {
    for (const name of names) this.controllers.get(name)?.configuration.update(values, revision, 'test')
  }

  async stopController (instance: string): Promise<void> {
    const running = this.controllers.get(instance)
    if (running === undefined) return
    this.controllers.delete(instance)
    this.network.handlers.delete(instance)
    const stopped = Promise.all([running.controller.stop(), running.permits.stop()])
    await this.clock.advance(5000)
    await stopped
  }

  async stop (): Promise<void> {
    for (const instance of [...this.controllers.keys()]) await this.stopController(instance)
  }

  listAudit (instance: string): string[] {
    return (this.controllers.get(instance)?.audit.getPage(0).events ?? [])
      .filter(({ kind }) => kind.startsWith('order') || kind === 'modelLost')
      .map(({ kind, subject, cause, fence, answer }) => `${kind} ${subject} ${cause}, fence ${fence}: ${answer}`)
  }

  private listPeers (instance: string): FleetMember[] {
    const group = this.groups.find(names => names.includes(instance))
    return [...this.controllers.values()]
      .map(controller => controller.self)
      .filter(other => other.instance !== instance && (group === undefined || group.includes(other.instance)))
  }
}
