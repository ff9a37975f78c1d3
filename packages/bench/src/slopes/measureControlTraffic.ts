import { AuditTrail, type Clock, type ModelReference, SeededRandom, type Service, type Snapshot, type Target, VirtualClock } from '@fescuespoke/common'
import { ConfigurationFollower, type ConfigurationSource, ConfigurationView } from '@fescuespoke/configuration'
import { InMemoryNetwork, type InMemoryPeer } from '@fescuespoke/peers'
import { type AliveInstance, createScheduler, type TargetScheduler } from '@fescuespoke/scheduling'
import { ConfigurationCore } from '@fescuespoke/standins'
import { fitLine, type LinearFit, type DataPoint } from './LinearFit.js'

const SEED = 1
const FLEET_SIZES = [8, 16, 32, 64]
const REQUEST_RATES_PER_SECOND = [2, 4, 8, 16]
const SETTLING_MS = 10_000
const MEASURED_MS = 60_000

/** Interval between amendments of the configuration: 2,900 a day. */
const CHANGE_INTERVAL_MS = 86_400_000 / 2900

/** Number of instances and targets, and duration, length and steps of an answer, for the measurement of credits. */
const CREDIT_INSTANCE_COUNT = 8
const CREDIT_TARGET_COUNT = 16
const ANSWER_DURATION_MS = 6000
const ANSWER_TOKENS = 200
const ANSWER_STEPS = 20

/** Measures, in virtual time, the traffic of an instance for propagating revisions and for credits of targets. */
export async function measureControlTraffic (): Promise<LinearFit[]> {
  const propagation: PropagationCost[] = []
  for (const size of FLEET_SIZES) propagation.push(await measurePropagation(size))
  const credits: DataPoint[] = []
  for (const rate of REQUEST_RATES_PER_SECOND) credits.push({ size: rate, value: await measureCreditTraffic(rate) })
  return [
    fitLine({ name: 'spreadControl', unit: 'bytes a second', per: 'instance', points: propagation.map(({ size, bytes }) => ({ size, value: bytes })) }),
    fitLine({ name: 'serviceReads', unit: 'reads a second over all instances', per: 'instance', points: propagation.map(({ size, reads }) => ({ size, value: reads })) }),
    fitLine({ name: 'creditControl', unit: 'bytes a second', per: 'request a second of an instance', points: credits })
  ]
}

interface PropagationCost {
  readonly size: number
  readonly bytes: number
  readonly reads: number
}

interface FollowerNode {
  readonly peer: InMemoryPeer
  readonly follower: ConfigurationFollower
}

async function measurePropagation (size: number): Promise<PropagationCost> {
  const clock = VirtualClock.create()
  const network = InMemoryNetwork.create({ clock, random: SeededRandom.create(SEED), shouldEncode: true })
  const core = ConfigurationCore.create({ clock, readsPerSecond: 1_000_000 })
  core.publish(Object.fromEntries(Array.from({ length: 200 }, (_, index) => [`workspace/${index}`, createWorkspace(index, 1)])))
  const members = createMembers(size)
  const followers = members.map(self => startFollower(network, core, self, members))
  await clock.advance(SETTLING_MS)
  const before = { bytes: countBytes(followers.map(({ peer }) => peer)), reads: core.getCallCount() }
  for (let elapsedMs = 0; elapsedMs < MEASURED_MS; elapsedMs += CHANGE_INTERVAL_MS) {
    core.setValue('workspace/7', createWorkspace(7, 2 + elapsedMs))
    await clock.advance(CHANGE_INTERVAL_MS)
  }
  const seconds = Math.ceil(MEASURED_MS / CHANGE_INTERVAL_MS) * CHANGE_INTERVAL_MS / 1000
  const bytes = countBytes(followers.map(({ peer }) => peer)) - before.bytes
  const reads = core.getCallCount() - before.reads
  for (const { follower } of followers) follower.stop()
  await clock.advance(SETTLING_MS)
  return { size, bytes: bytes / size / seconds, reads: reads / seconds }
}

function startFollower (network: InMemoryNetwork, core: ConfigurationCore, self: AliveInstance, members: readonly AliveInstance[]): FollowerNode {
  const peer = network.createPeer(self.instance)
  const audit = AuditTrail.create({ instance: self.instance, incarnation: 'n' })
  const view = ConfigurationView.create({ clock: peer.clock, audit })
  const source: ConfigurationSource = {
    fetchSnapshot: async () => core.readSnapshot().mapErr(() => ({ kind: 'refused', detail: 'refused' })),
    fetchChange: async (after, waitMs, signal) => (await core.watch(after, waitMs, signal)).mapErr(() => ({ kind: 'refused', detail: 'refused' }))
  }
  const listPeers = (): readonly AliveInstance[] => members.filter(({ instance }) => instance !== self.instance)
  const follower = ConfigurationFollower.create({ view, source, transport: peer, clock: peer.clock, random: SeededRandom.create(SEED), audit, self, listPeers })
  follower.start()
  return { peer, follower }
}

function createWorkspace (index: number, weight: number): string {
  return JSON.stringify({ schemaVersion: 2, kind: 'workspace', name: `workspace-${index}`, weight })
}

/** Measures the bytes per second of an instance for credits while each instance places requests at a rate. */
async function measureCreditTraffic (requestsPerSecond: number): Promise<number> {
  const clock = VirtualClock.create()
  const network = InMemoryNetwork.create({ clock, random: SeededRandom.create(SEED), shouldEncode: true })
  const members = createMembers(CREDIT_INSTANCE_COUNT)
  const snapshot = createSnapshot()
  const peers = members.map(({ instance }) => network.createPeer(instance))
  const schedulers = members.map((member, index) => startScheduler(member, members, peers[index] as InMemoryPeer, snapshot))
  const stopController = new AbortController()
  for (const scheduler of schedulers) placeRequests(scheduler, clock, snapshot, requestsPerSecond, stopController.signal)
  await clock.advance(SETTLING_MS)
  const before = countBytes(peers)
  await clock.advance(MEASURED_MS)
  const bytes = countBytes(peers) - before
  stopController.abort()
  for (const scheduler of schedulers) scheduler.stop()
  return bytes / CREDIT_INSTANCE_COUNT / (MEASURED_MS / 1000)
}

function startScheduler (member: AliveInstance, members: readonly AliveInstance[], peer: InMemoryPeer, snapshot: Snapshot): TargetScheduler {
  const scheduler = createScheduler({
    ...member,
    clock: peer.clock,
    random: SeededRandom.create(SEED),
    transport: peer,
    listAliveInstances: () => members
  })
  for (const name of snapshot.targets.keys()) {
    scheduler.observeTargetState(name, {
      target: name, incarnation: 'n', state: 'active', running: 0, waiting: 0, usedTokens: 0, capacityTokens: 65_536, maxSequences: 64, stepMs: 25
    }, peer.clock.nowMs())
  }
  scheduler.start()
  return scheduler
}

async function placeRequests (scheduler: TargetScheduler, clock: Clock, snapshot: Snapshot, requestsPerSecond: number, signal: AbortSignal): Promise<void> {
  for (let index = 0; !signal.aborted; index++) {
    runRequest(scheduler, clock, snapshot, String(index), signal)
    await clock.sleep(1000 / requestsPerSecond, signal)
  }
}

async function runRequest (scheduler: TargetScheduler, clock: Clock, snapshot: Snapshot, requestId: string, signal: AbortSignal): Promise<void> {
  const service = snapshot.services.get('s') as Service
  const placementResult = await scheduler.acquirePlacement({
    requestId, workspace: 'w', service, modelReference: service.runs, snapshot, priority: 'normal', promptTokens: 100, deadlineMs: clock.nowMs() + 60_000, failedTargets: [], signal
  })
  if (placementResult.isErr) return
  for (let step = 1; step <= ANSWER_STEPS; step++) {
    await clock.sleep(ANSWER_DURATION_MS / ANSWER_STEPS, signal)
    placementResult.value.observeTokens(step * ANSWER_TOKENS / ANSWER_STEPS)
  }
  placementResult.value.release('complete')
}

function createSnapshot (): Snapshot {
  const runs: ModelReference = { model: 'm' }
  const targets = Array.from({ length: CREDIT_TARGET_COUNT }, (_, index): Target => ({
    name: `target-${index}`, url: 'http://127.0.0.1', availabilityZone: 'a', region: 'r', fencing: 'ignored'
  }))
  const service: Service = {
    name: 's', kind: 'generation', runs, idempotent: true, delivery: 'stream', priority: 'normal', deadlineMs: 60_000, targets: targets.map(({ name }) => name), copies: CREDIT_TARGET_COUNT, overrides: new Map()
  }
  return {
    revision: 1,
    services: new Map([['s', service]]),
    targets: new Map(targets.map(target => [target.name, target])),
    workspaces: new Map([['w', { name: 'w', weight: 1 }]])
  }
}

function createMembers (size: number): AliveInstance[] {
  return Array.from({ length: size }, (_, index) => ({ instance: `entry-${1000 + index}`, availabilityZone: `az${index % 3}`, region: 'r' }))
}

function countBytes (peers: readonly InMemoryPeer[]): number {
  return peers.map(peer => peer.getCounters()).reduce((sum, { bytesIn, bytesOut }) => sum + bytesIn + bytesOut, 0)
}
