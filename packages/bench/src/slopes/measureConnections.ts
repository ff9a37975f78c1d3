import { type Clock, SystemClock, SystemRandom } from '@fescuespoke/common'
import { Membership, PeerNetwork } from '@fescuespoke/peers'
import { type ListedEntry } from '@fescuespoke/schema'
import { measureHeapBytes } from './measureHeapBytes.js'
import { type MembershipCost } from './MembershipCost.js'

/** Time before the measurement in which the members discover each other and unused connections are closed. */
const SETTLING_MS = 20_000

const INCARNATION_BYTES = 8
const FLEET_KEY = 'key of the measurement'

interface Node {
  readonly network: PeerNetwork
  readonly membership: Membership
  readonly entry: ListedEntry
}

/**
 * Measures the cost of membership for a node over real TCP connections, including heartbeats, with all nodes in this
 * process. Each size takes the settling time plus the measured time.
 * @param sizes - Numbers of nodes of the fleets.
 * @param measuredMs - Duration of each measurement in milliseconds.
 */
export async function measureConnections (sizes: number[], measuredMs: number): Promise<MembershipCost[]> {
  const points: MembershipCost[] = []
  for (const size of sizes) points.push(await measureFleet(size, measuredMs))
  return points
}

async function measureFleet (size: number, measuredMs: number): Promise<MembershipCost> {
  const clock = SystemClock.create()
  const heapBefore = measureHeapBytes()
  const nodes = await Promise.all(Array.from({ length: size }, async (_, index) => await createNode(clock, `entry-${1000 + index}`)))
  const entries = nodes.map(({ entry }) => entry)
  for (const { membership } of nodes) {
    membership.setListedInstances(entries)
    membership.start()
  }
  await clock.sleep(SETTLING_MS)
  const heapBytes = (measureHeapBytes() - heapBefore) / size
  const before = countTraffic(nodes)
  const cpuBefore = process.cpuUsage()
  await clock.sleep(measuredMs)
  const cpu = process.cpuUsage(cpuBefore)
  const after = countTraffic(nodes)
  await Promise.all(nodes.map(async ({ membership, network }) => await Promise.all([membership.stop(), network.close()])))
  const nodeSeconds = size * measuredMs / 1000
  return {
    size,
    messagesPerSecond: (after.frames - before.frames) / nodeSeconds,
    bytesPerSecond: (after.bytes - before.bytes) / nodeSeconds,
    cpuMsPerSecond: (cpu.user + cpu.system) / 1000 / nodeSeconds,
    heapBytes
  }
}

async function createNode (clock: Clock, instance: string): Promise<Node> {
  const random = SystemRandom.create()
  const identity = { instance, incarnation: random.nextString(INCARNATION_BYTES), availabilityZone: 'region1-az1', region: 'region1' }
  const network = PeerNetwork.create({
    ...identity,
    clock,
    random,
    fleet: 'measured',
    fleetKey: FLEET_KEY,
    findPeerAddress: name => membership.findPeerAddress(name)
  })
  const address = await network.listen()
  if (address.isErr) throw new Error(`cannot listen: ${address.error}`)
  const membership = Membership.create({
    ...identity,
    url: 'http://10.1.22.12:8080',
    peerAddress: address.value,
    transport: network,
    clock,
    random,
    getGossipPayload: () => ({ revision: 123_456, listVersion: 4567, listAgeMs: 1234 }),
    handleGossipPayload: () => {}
  })
  return { network, membership, entry: { id: instance, role: 'entry', state: 'live', peerAddress: address.value } }
}

function countTraffic (nodes: readonly Node[]): { frames: number, bytes: number } {
  const counters = nodes.map(({ network }) => network.getCounters())
  const frames = counters.reduce((sum, { framesOut }) => sum + framesOut, 0)
  const bytes = counters.reduce((sum, { bytesIn, bytesOut }) => sum + bytesIn + bytesOut, 0)
  return { frames, bytes }
}
