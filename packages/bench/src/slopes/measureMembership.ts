import { SeededRandom, VirtualClock } from '@fescuespoke/common'
import { InMemoryNetwork, Membership, type InMemoryPeer } from '@fescuespoke/peers'
import { type ListedEntry } from '@fescuespoke/schema'
import { measureHeapBytes } from './measureHeapBytes.js'
import { type MembershipCost } from './MembershipCost.js'

/** Virtual time before the measurement in which the members discover each other and finish gossiping the updates. */
const SETTLING_MS = 30_000
const SETTLING_MS_PER_NODE = 1500

/** Virtual duration of the measurement. */
const MEASURED_MS = 60_000

/** Size of a fleet that is measured first and discarded, so that no result includes the compilation of the code. */
const WARM_UP_FLEET_SIZE = 4

const INCARNATION_BYTES = 8

interface Node {
  readonly peer: InMemoryPeer
  readonly membership: Membership
}

/**
 * Measures the cost of membership for a node in fleets of several sizes, in virtual time. Messages are encoded, decoded
 * and checked as on TCP. The processor time includes that of the simulated network.
 * @param sizes - Numbers of nodes of the fleets.
 * @param seed - Seed of the random numbers.
 */
export async function measureMembership (sizes: number[], seed: number): Promise<MembershipCost[]> {
  const points: MembershipCost[] = []
  await measureFleet(WARM_UP_FLEET_SIZE, seed)
  for (const size of sizes) points.push(await measureFleet(size, seed))
  return points
}

async function measureFleet (size: number, seed: number): Promise<MembershipCost> {
  const heapBefore = measureHeapBytes()
  const clock = VirtualClock.create()
  const network = InMemoryNetwork.create({ clock, random: SeededRandom.create(seed), shouldEncode: true })
  const names = Array.from({ length: size }, (_, index) => `entry-${1000 + index}`)
  const entries = names.map(createEntry)
  const nodes = names.map((name, index) => startNode(network, name, entries, SeededRandom.create(seed + 1 + index)))
  await clock.advance(SETTLING_MS + SETTLING_MS_PER_NODE * size)
  const heapBytes = (measureHeapBytes() - heapBefore) / size
  const trafficBefore = countTraffic(nodes)
  const cpuBefore = process.cpuUsage()
  await clock.advance(MEASURED_MS)
  const cpu = process.cpuUsage(cpuBefore)
  const traffic = countTraffic(nodes)
  await Promise.all(nodes.map(async ({ membership }) => { await membership.stop() }))
  const nodeSeconds = size * MEASURED_MS / 1000
  return {
    size,
    messagesPerSecond: (traffic.messages - trafficBefore.messages) / nodeSeconds,
    bytesPerSecond: (traffic.bytes - trafficBefore.bytes) / nodeSeconds,
    cpuMsPerSecond: (cpu.user + cpu.system) / 1000 / nodeSeconds,
    heapBytes
  }
}

function startNode (network: InMemoryNetwork, instance: string, entries: readonly ListedEntry[], random: SeededRandom): Node {
  const peer = network.createPeer(instance)
  const membership = Membership.create({
    instance,
    incarnation: random.nextString(INCARNATION_BYTES),
    url: 'http://10.1.22.12:8080',
    peerAddress: '10.1.22.12:7000',
    availabilityZone: 'region1-az1',
    region: 'region1',
    transport: peer,
    clock: peer.clock,
    random,
    getGossipPayload: () => ({ revision: 123_456, listVersion: 4567, listAgeMs: 1234 }),
    handleGossipPayload: () => {}
  })
  membership.setListedInstances(entries)
  membership.start()
  return { peer, membership }
}

function createEntry (id: string): ListedEntry {
  return { id, role: 'entry', state: 'live', peerAddress: '10.1.22.12:7000', availabilityZone: 'region1-az1', region: 'region1' }
}

function countTraffic (nodes: readonly Node[]): { messages: number, bytes: number } {
  const counters = nodes.map(({ peer }) => peer.getCounters())
  const messages = counters.reduce((sum, { framesOut }) => sum + framesOut, 0)
  const bytes = counters.reduce((sum, { bytesIn, bytesOut }) => sum + bytesIn + bytesOut, 0)
  return { messages, bytes }
}
