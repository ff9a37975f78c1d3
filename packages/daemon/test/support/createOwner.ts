import { MetricsRegistry, type Service, type Snapshot, type Target, VirtualClock, type Random, SeededRandom } from '@fescuespoke/common'
import { type StreamEvent, type SubmitRequest } from '@fescuespoke/schema'
import { type Placement, type PlacementRefusal, type PlacementRequest, type Scheduler } from '@fescuespoke/scheduling'
import { Result } from 'true-myth'
import { type Lease, LeaseRegistry, RequestService, ResumeTokenCodec, type RunnerDependencies } from '../../src/index.js'
import { RequestMetrics } from '../../src/metrics/RequestMetrics.js'
import { readEvents } from '../../src/requests/readEvents.js'
import { type CrashRecords } from '../../src/crashes/CrashRecords.js'
import { createCrashRecords, createHarmfulRequests } from './createHarmfulRequests.js'
import { FakeTargetClient } from './FakeTargetClient.js'

const TARGET_NAMES = ['t1', 't2', 't3']

/** Scheduler that selects the first target that has not failed. */
class FirstTargetScheduler implements Scheduler {
  readonly ends: string[] = []
  refusal: PlacementRefusal | undefined
  delayMs = 0

  constructor (private readonly clock: VirtualClock) {}

  async acquirePlacement (request: PlacementRequest): Promise<Result<Placement, PlacementRefusal>> {
    if (this.delayMs > 0) await this.clock.sleep(this.delayMs, request.signal)
    if (request.signal.aborted) return Result.err({ reason: 'cancelledByCaller', detail: 'aborted' })
    const name = request.service.targets.find(target => !request.failedTargets.includes(target))
    if (this.refusal !== undefined || name === undefined) return Result.err(this.refusal ?? { reason: 'noTarget', detail: 'none left' })
    return Result.ok({
      target: request.snapshot.targets.get(name) as Target,
      detail: 'first',
      observeTokens: () => undefined,
      observePreemption: () => undefined,
      release: end => { this.ends.push(`${name} ${end}`) }
    })
  }
}

/** An owner of requests with all its dependencies, without a network. */
export interface Owner {
  readonly clock: VirtualClock
  readonly targetClient: FakeTargetClient
  readonly scheduler: FirstTargetScheduler
  readonly leases: LeaseRegistry
  readonly requests: RequestService
  readonly crashRecords: CrashRecords
  readonly lease: Lease
  /** Targets with a recent report that they accept new work. */
  readonly readyTargets: Set<string>
  /** Whether a new report confirms a target. */
  canConfirmTargets: boolean
  isRejecting: boolean
  /** Whether the process was paused recently. */
  isRecovering: boolean
  isHandingOver: boolean
  /** Submits a request and collects its events. */
  submit(number: number, body: SubmitRequest, offset?: number): StreamEvent[]
  /** Reads a request again and collects its events. */
  read(number: number, offset: number): StreamEvent[]
}

/** Creates a configuration with two generation services, streamed and whole, and two call services, idempotent and not, on three targets. */
export function createSnapshot (): Snapshot {
  const targets = TARGET_NAMES.map(name => ({ name, url: `http://${name}`, availabilityZone: 'a', region: 'r', fencing: 'ignored' as const }))
  const base = { priority: 'normal', deadlineMs: 10_000, targets: TARGET_NAMES, copies: 3, overrides: new Map() } as const
  const services: Service[] = [
    { ...base, name: 'streamed', kind: 'generation', runs: { model: 'm' }, idempotent: true, delivery: 'stream' },
    { ...base, name: 'held', kind: 'generation', runs: { model: 'm' }, idempotent: true, delivery: 'whole' },
    { ...base, name: 'lookup', kind: 'call', idempotent: true, delivery: 'whole' },
    { ...base, name: 'charge', kind: 'call', idempotent: false, delivery: 'whole' }
  ]
  return {
    revision: 1,
    services: new Map(services.map(service => [service.name, service])),
    targets: new Map(targets.map(target => [target.name, target])),
    workspaces: new Map([['w', { name: 'w', weight: 1 }]])
  }
}

/** Creates an owner on a virtual clock. */
export function createOwner (): Owner {
  const clock = VirtualClock.create()
  const targetClient = new FakeTargetClient(clock)
  const scheduler = new FirstTargetScheduler(clock)
  const random: Random = SeededRandom.create(1)
  const leases = LeaseRegistry.create({ instance: 'i', incarnation: 'n', clock, random, leaseMs: 60_000, retentionMs: 60_000, maxLeases: 10 })
  const readyTargets = new Set(TARGET_NAMES)
  const flags = { canConfirmTargets: false, isRejecting: false, isRecovering: false, isHandingOver: false }
  const crashRecords = createCrashRecords(clock)
  let generationCount = 0
  const runnerDependencies: RunnerDependencies = {
    clock,
    scheduler,
    targetClient,
    targetReadiness: { isReady: ({ name }) => readyTargets.has(name), confirmReady: async ({ name }) => flags.canConfirmTargets && readyTargets.add(name).has(name) },
    harmfulRequests: createHarmfulRequests(clock, targetClient, crashRecords),
    resumeTokenCodec: ResumeTokenCodec.create({ fleetKey: 'key-of-this-test' }),
    observer: RequestMetrics.create({ metrics: MetricsRegistry.create({ clock }), clock, tokenIntervalMs: 43 }),
    createGenerationId: () => `g${++generationCount}`,
    maxBufferedTokens: 8
  }
  const requests = RequestService.create({
    clock,
    leases,
    runnerDependencies,
    getSnapshot: createSnapshot,
    isRejectingRequests: () => flags.isRejecting,
    isRecovering: () => flags.isRecovering,
    defaultDeadlineMs: 10_000,
    maxRequests: 100,
    answerRetentionMs: 5000
  })
  const lease = leases.grantLease('w').unwrapOrElse(() => { throw new Error('no lease') })
  const read = (number: number, offset: number): StreamEvent[] => {
    const events: StreamEvent[] = []
    const entry = requests.findRequest(lease, number).unwrapOr(undefined)
    if (entry !== undefined) collectEvents(entry, offset, clock, flags, events)
    return events
  }
  return Object.assign(flags, {
    clock,
    targetClient,
    scheduler,
    leases,
    requests,
    crashRecords,
    lease,
    readyTargets,
    read,
    submit: (number: number, body: SubmitRequest, offset = 0) => {
      requests.submitRequest(lease, number, body)
      return read(number, offset)
    }
  })
}

async function collectEvents (
  entry: Parameters<typeof readEvents>[0]['entry'], offset: number, clock: VirtualClock, flags: { isHandingOver: boolean }, events: StreamEvent[]
): Promise<void> {
  const signal = new AbortController().signal
  const stream = readEvents({ entry, offset, clock, heartbeatMs: 1000, signal, isHandingOver: () => flags.isHandingOver })
  for await (const event of stream) events.push(event)
}

/** Formats each event as one line, without resume tokens. */
export function formatEvents (events: readonly StreamEvent[]): string[] {
  return events.filter(({ type }) => type !== 'heartbeat').map(event => EVENT_FORMATTERS[event.type](event as never))
}

const EVENT_FORMATTERS: { [T in StreamEvent['type']]: (event: Extract<StreamEvent, { type: T }>) => string } = {
  accepted: event => `accepted ${event.request} ${event.delivery}`,
  generation: event => `generation ${event.generation}`,
  tokens: event => `tokens ${event.generation} ${event.offset} ${event.tokens.join(' ')}`,
  reply: event => `reply ${event.status} ${JSON.stringify(event.body)}`,
  heartbeat: () => 'heartbeat',
  handover: () => 'handover',
  end: event => `end ${event.outcome} ${event.reason}`
}
