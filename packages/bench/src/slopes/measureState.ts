import { AuditTrail, SeededRandom, VirtualClock } from '@fescuespoke/common'
import { ConfigurationView } from '@fescuespoke/configuration'
import { LeaseRegistry, RequestEntry } from '@fescuespoke/daemon'
import { rankAddresses, type RankedMember } from '@fescuespoke/scheduling'
import { measureCpuMicros } from './measureCpuMicros.js'
import { measureHeapBytes } from './measureHeapBytes.js'
import { fitLine, type LinearFit, type DataPoint } from './LinearFit.js'

const LEASE_COUNTS = [1000, 2000, 4000, 8000]
const RECORD_COUNTS = [500, 1000, 2000, 4000]
const MEMBER_COUNTS = [8, 32, 128, 490]
const TOKEN_COUNTS = [500, 1000, 2000, 4000]
const ADDRESS_ANSWER_ROUNDS = 200

/** Measures the heap and the processor time that the state of an instance takes. */
export function measureState (): LinearFit[] {
  return [
    measureFit('addressAnswerCpu', 'microseconds an answer', 'instance', MEMBER_COUNTS, measureAddressAnswerMicros),
    measureFit('leaseHeap', 'bytes', 'lease', LEASE_COUNTS, size => measureRetainedHeapBytes(() => createLeases(size))),
    measureFit('requestHeap', 'bytes', 'ended request without tokens', LEASE_COUNTS, size => measureRetainedHeapBytes(() => createRequests(size))),
    measureFit('tokenHeap', 'bytes', 'held token', TOKEN_COUNTS, size => measureRetainedHeapBytes(() => createTokens(size)) / TOKEN_REQUEST_COUNT),
    measureFit('targetHeap', 'bytes', 'target record', RECORD_COUNTS, size => measureRetainedHeapBytes(() => createView(createTargetRecords(size)))),
    measureFit('workspaceHeap', 'bytes', 'workspace record', RECORD_COUNTS, size => measureRetainedHeapBytes(() => createView(createWorkspaceRecords(size)))),
    measureFit('acceptCpu', 'microseconds a revision', 'target record', RECORD_COUNTS, size => measureAcceptMicros(size))
  ]
}

function measureFit (name: string, unit: string, per: string, sizes: readonly number[], measure: (size: number) => number): LinearFit {
  const points: DataPoint[] = sizes.map(size => ({ size, value: measure(size) }))
  return fitLine({ name, unit, per, points })
}

/** Returns the bytes of heap that the result of a function retains. */
function measureRetainedHeapBytes (createState: () => unknown): number {
  createState()
  const before = measureHeapBytes()
  const retained = [createState()]
  const after = measureHeapBytes()
  return retained.length === 1 ? after - before : 0
}

function measureAddressAnswerMicros (size: number): number {
  const members: RankedMember[] = Array.from({ length: size }, (_, index) => ({
    instance: `entry-${index}`, url: `http://10.0.0.${index}`, availabilityZone: `az${index % 12}`, region: `r${index % 5}`, state: 'alive'
  }))
  const snapshot = createView(createWorkspaceRecords(1)).getSnapshot()
  return measureCpuMicros(ADDRESS_ANSWER_ROUNDS, () => { rankAddresses({ service: 's', workspace: 'w', members, snapshot, region: 'r0', availabilityZone: 'az0' }) })
}

function createLeases (size: number): LeaseRegistry {
  const registry = LeaseRegistry.create({
    instance: 'entry-1', incarnation: 'n', clock: VirtualClock.create(), random: SeededRandom.create(1), leaseMs: 1000, retentionMs: 1000, maxLeases: size
  })
  for (let index = 0; index < size; index++) registry.grantLease('workspace')
  return registry
}

function createRequests (size: number): RequestEntry[] {
  const snapshot = createView(createTargetRecords(1)).getSnapshot()
  const service = snapshot.services.get('s')
  if (service === undefined) throw new Error('the configuration view did not accept the service')
  const clock = VirtualClock.create()
  return Array.from({ length: size }, (_, index) => {
    const body = { service: 's', prompt: `a prompt of some length, number ${index}`.repeat(PROMPT_REPEATS) }
    const entry = RequestEntry.create({
      id: `entry-1~n~1~${index}`, workspace: 'w', body, digest: `digest ${index}`, service, snapshot, priority: 'normal', clock, deadlineMs: 1000
    })
    entry.setEnd({ outcome: 'complete', reason: 'finished' })
    entry.dropAnswer()
    return entry
  })
}

const PROMPT_REPEATS = 20

/** Number of requests over which the heap of buffered tokens is averaged. */
const TOKEN_REQUEST_COUNT = 20

function createTokens (size: number): RequestEntry[] {
  return createRequests(TOKEN_REQUEST_COUNT).map(entry => {
    entry.addTokens(0, Array.from({ length: size }, (_, index) => ` token${index}`))
    return entry
  })
}

function createView (values: Record<string, string>): ConfigurationView {
  const view = ConfigurationView.create({ clock: VirtualClock.create(), audit: AuditTrail.create({ instance: 'i', incarnation: 'n' }) })
  view.update(values, 1, 'slopes')
  return view
}

function measureAcceptMicros (size: number): number {
  const values = createTargetRecords(size)
  return measureCpuMicros(3, () => { createView(values) })
}

function createTargetRecords (size: number): Record<string, string> {
  const targets = Array.from({ length: size }, (_, index) => [`target/${index}`, JSON.stringify({
    schemaVersion: 2, kind: 'target', name: `target-${index}`, url: `http://10.1.2.3:${index}`, pool: 'p', availabilityZone: `az${index % 12}`, region: 'r', fencing: 'enforced'
  })])
  const service = JSON.stringify({ schemaVersion: 2, kind: 'service', name: 's', pool: 'p', runs: { model: 'm', version: '1' } })
  return Object.fromEntries([...targets, ['service/s', service]])
}

function createWorkspaceRecords (size: number): Record<string, string> {
  return Object.fromEntries(Array.from({ length: size }, (_, index) => [`workspace/${index}`, JSON.stringify({
    schemaVersion: 2, kind: 'workspace', name: `workspace-${index}`, weight: 1
  })]))
}
