import { SeededRandom, VirtualClock, type Service, type Snapshot, type Target } from '@fescuespoke/common'
import { InMemoryNetwork } from '@fescuespoke/peers'
import { getPolicy, type AliveInstance } from '@fescuespoke/scheduling'
import { AnswerStatistics, type MeasuredRow } from './AnswerStatistics.js'
import { type Arrival } from './arrivals.js'
import { type Capacity } from './deployments.js'
import { startFaults } from './faults.js'
import { FleetView } from './FleetView.js'
import { type Scenario } from './scenarios.js'
import { SimulatedCallers } from './SimulatedCallers.js'
import { SimulatedInstance } from './SimulatedInstance.js'
import { SimulatedTarget } from './SimulatedTarget.js'

/** What one run of one policy is made from. */
export interface MeasurePolicyOptions {
  readonly scenario: Scenario
  readonly policy: string
  readonly seed: number
  readonly arrivals: readonly Arrival[]
  readonly capacity: Capacity
  readonly tokenIntervalMs: number
}

interface Fleet {
  readonly clock: VirtualClock
  readonly random: SeededRandom
  readonly network: InMemoryNetwork
  readonly view: FleetView
  readonly zones: readonly string[]
  readonly targets: readonly SimulatedTarget[]
  readonly instances: readonly SimulatedInstance[]
  readonly snapshot: Snapshot
  readonly statistics: AnswerStatistics
}

const REGION = 'r'
const MILLISECONDS = 1000

/**
 * Measures one policy on the arrivals of a scenario, in virtual time.
 * @param options - What the run is made from.
 */
export async function measurePolicy (options: MeasurePolicyOptions): Promise<MeasuredRow> {
  const fleet = createFleet(options)
  const callers = SimulatedCallers.create({
    clock: fleet.clock,
    random: fleet.random,
    snapshot: fleet.snapshot,
    instances: fleet.instances,
    listMembers: () => fleet.view.listMembers(),
    ranksAddresses: getPolicy(options.policy).ranksAddresses,
    availabilityZones: fleet.zones
  })
  for (const instance of fleet.instances) instance.start()
  startFaults({ ...fleet, availabilityZones: fleet.zones }, options.scenario.faults)
  for (const arrival of options.arrivals) fleet.clock.startTimer(arrival.atMs, () => sendArrival(arrival, callers, fleet))
  const { warmUpMs, countedMs, drainMs } = options.scenario.span
  const endMs = warmUpMs + countedMs + drainMs
  await fleet.clock.advance(endMs)
  const counters = fleet.instances.map(instance => instance.scheduler.getCounters())
  const asked = counters.reduce((sum, counter) => sum + counter.creditRequests, 0)
  const bypasses = counters.reduce((sum, counter) => sum + counter.bypasses, 0)
  return fleet.statistics.computeRow({ perSecond: asked * MILLISECONDS / endMs, bypasses }, endMs)
}

function sendArrival (arrival: Arrival, callers: SimulatedCallers, fleet: Fleet): void {
  fleet.statistics.recordArrival(arrival)
  callers.pickInstance(arrival)?.runRequest(arrival)
}

function createFleet (options: MeasurePolicyOptions): Fleet {
  const { scenario, seed } = options
  const { deployment } = scenario
  const clock = VirtualClock.create()
  const random = SeededRandom.create(seed)
  const zones = Array.from({ length: deployment.availabilityZones }, (_, index) => `z${index}`)
  const network = InMemoryNetwork.create({ clock, random: SeededRandom.create(seed + 1), faults: { latencyMs: deployment.latencyMs } })
  const alive = Array.from({ length: deployment.instances }, (_, index): AliveInstance => ({
    instance: `i${index}`, availabilityZone: zones[index % zones.length] as string, region: REGION
  }))
  const view = FleetView.create(clock, alive)
  const snapshot = createSnapshot(scenario, zones)
  const targets = createTargets(options, snapshot, clock)
  const statistics = AnswerStatistics.create({
    policy: options.policy,
    countedFromMs: scenario.span.warmUpMs,
    countedMs: scenario.span.countedMs,
    tokenIntervalMs: options.tokenIntervalMs,
    burstWorkspace: scenario.burst?.workspace
  })
  const byName = new Map(targets.map(target => [target.target.name, target]))
  const instances = alive.map((member, index) => {
    const peer = network.createPeer(member.instance)
    return SimulatedInstance.create({
      ...member,
      name: member.instance,
      clock: peer.clock,
      random: SeededRandom.create(seed * 100 + index),
      transport: peer,
      policy: options.policy,
      tokenIntervalMs: options.tokenIntervalMs,
      fixedSequences: options.capacity.sequences,
      latencyMs: deployment.latencyMs,
      snapshot,
      targets: byName,
      statistics,
      nowMs: () => clock.nowMs(),
      listAliveInstances: () => view.listAlive(member.instance)
    })
  })
  return { clock, random, network, view, zones, targets, instances, snapshot, statistics }
}

function createTargets (options: MeasurePolicyOptions, snapshot: Snapshot, clock: VirtualClock): SimulatedTarget[] {
  const { scenario, seed, arrivals } = options
  const byId = new Map(arrivals.map(arrival => [arrival.id, arrival]))
  return [...snapshot.targets.values()].map((target, index) => SimulatedTarget.create({
    clock,
    random: SeededRandom.create(seed * 1000 + index),
    target,
    engine: target.name.startsWith('e') ? scenario.deployment.engine : undefined,
    loadLagMs: scenario.loadLagMs,
    eventLossRate: scenario.eventLossRate,
    findArrival: id => byId.get(id) as Arrival
  }))
}

function createSnapshot (scenario: Scenario, zones: readonly string[]): Snapshot {
  const { deployment } = scenario
  const engines = Array.from({ length: deployment.engines }, (_, index) => `e${index}`)
  const plain = Array.from({ length: deployment.plainTargets }, (_, index) => `p${index}`)
  const targets = [...engines, ...plain].map((name, index): Target => ({
    name, url: `http://${name}`, availabilityZone: zones[index % zones.length] as string, region: REGION, fencing: 'ignored'
  }))
  const services = scenario.services.map((service): Service => ({
    name: service.name,
    kind: service.kind,
    idempotent: service.kind === 'generation',
    delivery: 'stream',
    priority: service.priority,
    deadlineMs: service.deadlineMs,
    targets: service.kind === 'generation' ? engines : plain,
    copies: engines.length,
    overrides: new Map()
  }))
  const workspaces = deployment.workspaceShares.map((weight, index) => ({ name: `w${index}`, weight }))
  return {
    revision: 1,
    services: new Map(services.map(service => [service.name, service])),
    targets: new Map(targets.map(target => [target.name, target])),
    workspaces: new Map(workspaces.map(workspace => [workspace.name, workspace]))
  }
}
