import { SeededRandom, VirtualClock, type Service, type Snapshot, type Target } from '@fescuespoke/common'
import { InMemoryNetwork } from '@fescuespoke/peers'
import { getPolicy, type AliveInstance } from '@fescuespoke/scheduling'
import { AnswerStatistics, type PolicyMeasurement } from './AnswerStatistics.js'
import { type Arrival } from './arrivals.js'
import { type Capacity } from './deployments.js'
import { scheduleFaults } from './faults.js'
import { SimulatedMembership } from './SimulatedMembership.js'
import { type Scenario } from './scenarios.js'
import { SimulatedCallers } from './SimulatedCallers.js'
import { SimulatedInstance } from './SimulatedInstance.js'
import { SimulatedTarget } from './SimulatedTarget.js'

/** Options of a run of one policy. */
export interface MeasurePolicyOptions {
  readonly scenario: Scenario
  readonly policy: string
  readonly seed: number
  readonly arrivals: readonly Arrival[]
  readonly capacity: Capacity
  readonly tokenIntervalMs: number
}

interface SimulatedFleet {
  readonly clock: VirtualClock
  readonly random: SeededRandom
  readonly network: InMemoryNetwork
  readonly membership: SimulatedMembership
  readonly zones: readonly string[]
  readonly targets: readonly SimulatedTarget[]
  readonly instances: readonly SimulatedInstance[]
  readonly snapshot: Snapshot
  readonly statistics: AnswerStatistics
}

const REGION = 'r'
const MS_PER_SECOND = 1000

/**
 * Measures one policy on the arrivals of a scenario, in virtual time.
 * @param options - Options of the run.
 */
export async function measurePolicy (options: MeasurePolicyOptions): Promise<PolicyMeasurement> {
  const fleet = createFleet(options)
  const callers = SimulatedCallers.create({
    clock: fleet.clock,
    random: fleet.random,
    snapshot: fleet.snapshot,
    instances: fleet.instances,
    listMembers: () => fleet.membership.listMembers(),
    ranksAddresses: getPolicy(options.policy).ranksAddresses,
    availabilityZones: fleet.zones
  })
  for (const instance of fleet.instances) instance.start()
  scheduleFaults({ ...fleet, availabilityZones: fleet.zones }, options.scenario.faults)
  for (const arrival of options.arrivals) fleet.clock.startTimer(arrival.atMs, () => sendRequest(arrival, callers, fleet))
  const { warmUpMs, measuredMs, drainMs } = options.scenario.phases
  const endMs = warmUpMs + measuredMs + drainMs
  await fleet.clock.advance(endMs)
  const counters = fleet.instances.map(instance => instance.scheduler.getCounters())
  const creditRequestCount = counters.reduce((sum, counter) => sum + counter.creditRequests, 0)
  const bypasses = counters.reduce((sum, counter) => sum + counter.bypasses, 0)
  return fleet.statistics.computeMeasurement({ perSecond: creditRequestCount * MS_PER_SECOND / endMs, bypasses }, endMs)
}

function sendRequest (arrival: Arrival, callers: SimulatedCallers, fleet: SimulatedFleet): void {
  fleet.statistics.recordArrival(arrival)
  callers.pickInstance(arrival)?.runRequest(arrival)
}

function createFleet (options: MeasurePolicyOptions): SimulatedFleet {
  const { scenario, seed } = options
  const { deployment } = scenario
  const clock = VirtualClock.create()
  const random = SeededRandom.create(seed)
  const zones = Array.from({ length: deployment.availabilityZoneCount }, (_, index) => `z${index}`)
  const network = InMemoryNetwork.create({ clock, random: SeededRandom.create(seed + 1), faults: { latencyMs: deployment.latencyMs } })
  const members = Array.from({ length: deployment.instanceCount }, (_, index): AliveInstance => ({
    instance: `i${index}`, availabilityZone: zones[index % zones.length] as string, region: REGION
  }))
  const membership = SimulatedMembership.create(clock, members)
  const snapshot = createSnapshot(scenario, zones)
  const targets = createTargets(options, snapshot, clock)
  const statistics = AnswerStatistics.create({
    policy: options.policy,
    windowStartMs: scenario.phases.warmUpMs,
    windowMs: scenario.phases.measuredMs,
    tokenIntervalMs: options.tokenIntervalMs,
    burstWorkspaceIndex: scenario.burst?.workspaceIndex
  })
  const targetsByName = new Map(targets.map(target => [target.target.name, target]))
  const instances = members.map((member, index) => {
    const peer = network.createPeer(member.instance)
    return SimulatedInstance.create({
      ...member,
      name: member.instance,
      clock: peer.clock,
      random: SeededRandom.create(seed * 100 + index),
      transport: peer,
      policy: options.policy,
      tokenIntervalMs: options.tokenIntervalMs,
      fixedSequences: options.capacity.sequencesPerEngine,
      latencyMs: deployment.latencyMs,
      snapshot,
      targets: targetsByName,
      statistics,
      nowMs: () => clock.nowMs(),
      listAliveInstances: () => membership.listAliveInstances(member.instance)
    })
  })
  return { clock, random, network, membership, zones, targets, instances, snapshot, statistics }
}

function createTargets (options: MeasurePolicyOptions, snapshot: Snapshot, clock: VirtualClock): SimulatedTarget[] {
  const { scenario, seed, arrivals } = options
  const arrivalsById = new Map(arrivals.map(arrival => [arrival.id, arrival]))
  return [...snapshot.targets.values()].map((target, index) => SimulatedTarget.create({
    clock,
    random: SeededRandom.create(seed * 1000 + index),
    target,
    engine: target.name.startsWith('e') ? scenario.deployment.engine : undefined,
    loadLagMs: scenario.loadLagMs,
    eventLossRate: scenario.eventLossRate,
    findArrival: id => arrivalsById.get(id) as Arrival
  }))
}

function createSnapshot (scenario: Scenario, zones: readonly string[]): Snapshot {
  const { deployment } = scenario
  const engineNames = Array.from({ length: deployment.engineCount }, (_, index) => `e${index}`)
  const plainTargetNames = Array.from({ length: deployment.plainTargetCount }, (_, index) => `p${index}`)
  const targets = [...engineNames, ...plainTargetNames].map((name, index): Target => ({
    name, url: `http://${name}`, availabilityZone: zones[index % zones.length] as string, region: REGION, fencing: 'ignored'
  }))
  const services = scenario.services.map((service): Service => ({
    name: service.name,
    kind: service.kind,
    idempotent: service.kind === 'generation',
    delivery: 'stream',
    priority: service.priority,
    deadlineMs: service.deadlineMs,
    targets: service.kind === 'generation' ? engineNames : plainTargetNames,
    copies: engineNames.length,
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
