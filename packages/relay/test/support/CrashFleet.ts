import { type PeerTransport, pickIndex, type Random, rankByRendezvous, SeededRandom, VirtualClock } from '@fescuespoke/common'
import { InMemoryNetwork, Membership, NewsPush } from '@fescuespoke/peers'
import { PROBE_LIMITS } from '../../src/instance/RelayPeers.js'
import { InstanceCensus } from '../../src/instance/InstanceCensus.js'
import { TargetNewsExchange } from '../../src/instance/TargetNewsExchange.js'
import { type RelayTarget } from '../../src/model/RelayTarget.js'
import { RouteTable } from '../../src/model/RouteTable.js'
import { type RelayRequest } from '../../src/requests/RelayRequest.js'
import { RelayService } from '../../src/requests/RelayService.js'
import { type ArrivedRequest, CrashingEngines, type EngineFault } from './CrashingEngines.js'
import { CALLS, createConfiguration, createRequest, createRoute, createTarget, createTestDependencies, ENGINES, type TestDependencies } from './createTestDependencies.js'
import { FakeSink } from './FakeSink.js'

/** Options of a fleet. */
export interface CrashFleetOptions {
  readonly instanceCount: number
  readonly engineCount: number
  readonly seed: number
  /** Parts of prompts on which engines crash. */
  readonly crashingParts?: readonly string[]
  /** Number of plain targets; none by default. */
  readonly plainCount?: number
  /** Returns whether a plain target crashes when it runs a call. */
  readonly isCrashingCall?: (call: CallIdentity) => boolean
  /** Share of the messages between instances that are lost. */
  readonly lossRate?: number
}

/** What a call has in common with its next coming. */
export type CallIdentity = Pick<RelayRequest, 'path' | 'key' | 'body' | 'method'>

/** A crash of an engine or a plain target. */
export interface RecordedCrash {
  readonly atMs: number
  /** Path of the call that caused it; absent when it had another cause, or was a stream. */
  readonly path?: string
  /** Shared parts of the request that caused it; absent when it had another cause. */
  readonly sharedParts?: readonly string[]
}

/** A request of a caller, without its repeats. */
export interface RecordedRequest {
  readonly sharedParts: readonly string[]
  readonly atMs: number
  /** Whether the first attempt of the caller brought an event. */
  hasBegun: boolean
  /** How the first attempt of the caller ended. */
  outcome?: string
}

interface FleetInstance {
  readonly dependencies: TestDependencies
  readonly service: RelayService
  readonly sinks: Set<FakeSink>
  readonly membership: Membership
  /** Clock reading of its restart; `-Infinity` when it has not restarted. */
  readonly restartedAtMs: number
}

/** Minimum and maximum time from a crash until the entry of the engine leaves the store, and until another engine takes its place, in milliseconds. */
const REMOVAL_RANGE_MS = [3000, 4000] as const
const REPLACEMENT_RANGE_MS = [1500, 5000] as const

/** Maximum delay until an instance learns of a change of an engine, in milliseconds. */
const MAX_VIEW_DELAY_MS = 100

/** Delay before a caller repeats a request that was not answered, unless it is told when to return, in milliseconds. */
const RETURN_DELAY_MS = 100

/** Time for which the caller of a call waits, in milliseconds, and maximum number of its attempts. */
const CALL_TIMEOUT_MS = 2000
const MAX_CALLER_ATTEMPTS = 4

/** Path below which calls are idempotent. */
export const IDEMPOTENT_PREFIX = '/idempotent/'

const ROUTE = createRoute({ kind: 'stream', isResumable: true, maxAttempts: 2, timeoutMs: 6000, objectiveMs: 1500, services: [{ service: ENGINES.name, weight: 1 }] })
const ROUTES = RouteTable.create(createConfiguration([
  ROUTE,
  createRoute({ name: 'safe', prefix: IDEMPOTENT_PREFIX, timeoutMs: CALL_TIMEOUT_MS }),
  createRoute({ name: 'once', prefix: '/once/', kind: 'once', timeoutMs: CALL_TIMEOUT_MS })
]))

/** Instances before engines that crash on certain parts of prompts, in virtual time, and callers that repeat once. */
export class CrashFleet {
  /** Creates a fleet. */
  static create (options: CrashFleetOptions): CrashFleet {
    return new CrashFleet(options)
  }

  readonly clock = VirtualClock.create()
  readonly crashes: RecordedCrash[] = []
  readonly requests: RecordedRequest[] = []
  readonly engines: CrashingEngines
  private readonly network: InMemoryNetwork
  private readonly random: Random
  private readonly targets = new Map<string, RelayTarget>()
  private readonly instances: FleetInstance[] = []
  /** Clock reading of the last restart of the instance that received a request, by its id. */
  private readonly restartedAtMs = new Map<string, number>()
  private engineCount = 0
  private requestCount = 0

  private constructor (private readonly options: CrashFleetOptions) {
    this.random = SeededRandom.create(options.seed)
    this.network = InMemoryNetwork.create({ clock: this.clock, random: SeededRandom.create(options.seed + 1), shouldEncode: true, faults: { latencyMs: 2, jitterMs: 8, lossRate: options.lossRate ?? 0 } })
    this.engines = CrashingEngines.create({
      clock: this.clock, random: this.random, isCrashing: part => options.crashingParts?.includes(part) === true, isCrashingCall: options.isCrashingCall, onCrash: (engine, causedBy) => this.handleCrash(engine, causedBy)
    })
    for (let index = 0; index < options.instanceCount; index++) this.startInstance(index)
    for (let index = 0; index < options.engineCount; index++) this.startTarget(ENGINES.name)
    for (let index = 0; index < (options.plainCount ?? 0); index++) this.startTarget(CALLS.name)
  }

  /** Lets a fault happen to random engines. */
  injectFault (fault: EngineFault, engineCount = 1): void {
    for (let index = 0; index < engineCount; index++) {
      const names = this.engines.list()
      const name = names[pickIndex(this.random, names.length)]
      if (name === undefined) return
      if (fault === 'crash') this.engines.crash(name)
      else this.engines.cutOff(name, fault === 'reset')
    }
  }

  /** Ends an instance and all its answers, and starts a new one in its place. */
  restartInstance (index: number): void {
    const { sinks, membership } = this.instances[index]!
    for (const sink of sinks) sink.leave()
    membership.stop()
    this.startInstance(index)
  }

  /** Sends a request, which its caller repeats once unless it was answered. */
  async sendRequest (sharedParts: readonly string[]): Promise<void> {
    const record: RecordedRequest = { sharedParts, atMs: this.clock.nowMs(), hasBegun: false }
    this.requests.push(record)
    const sink = await this.serve(sharedParts)
    record.hasBegun = sink.text !== ''
    record.outcome = sink.endState === 'refused' ? sink.refusal?.reason : sink.endState
    if (sink.endState === 'complete') return
    await this.clock.sleep(sink.refusal?.retryAfterMs ?? RETURN_DELAY_MS)
    await this.serve(sharedParts)
  }

  /** Sends a call, which its caller sends again as callers do; returns what each attempt of the caller brought. */
  async sendCall (call: CallIdentity): Promise<string[]> {
    const endAtMs = this.clock.nowMs() + CALL_TIMEOUT_MS
    const outcomes: string[] = []
    while (outcomes.length < MAX_CALLER_ATTEMPTS && this.clock.nowMs() < endAtMs) {
      const { endState, refusal } = await this.serveRequest({ ...call, remainingMs: endAtMs - this.clock.nowMs() })
      outcomes.push(refusal === undefined ? String(endState) : `${refusal.status} ${refusal.reason}`)
      const mayReturn = endState !== 'complete' && (call.path.startsWith(IDEMPOTENT_PREFIX) || refusal?.status === 503)
      if (!mayReturn) break
      await this.clock.sleep(refusal?.retryAfterMs ?? RETURN_DELAY_MS * this.random.nextFloat())
    }
    return outcomes
  }

  /** Lists the times at which calls reached targets, except from instances that had restarted shortly before. */
  listArrivals (isWanted: (call: CallIdentity) => boolean, excusedMs: number): number[] {
    const isCounted = ({ requestId, request, atMs }: ArrivedRequest): boolean => isWanted(request) && atMs >= this.restartedAtMs.get(requestId)! + excusedMs
    return this.engines.arrived.filter(isCounted).map(({ atMs }) => atMs)
  }

  /** Counts the requests with a part that reached engines in a time, except those of instances that had restarted shortly before. */
  countArrived (part: string, { fromMs, untilMs = Infinity, excusedMs }: { readonly fromMs: number, readonly untilMs?: number, readonly excusedMs: number }): number {
    const isCounted = ({ sharedParts, atMs, requestId }: ArrivedRequest): boolean => sharedParts.includes(part) && atMs > fromMs && atMs < untilMs && atMs >= this.restartedAtMs.get(requestId)! + excusedMs
    return this.engines.arrived.filter(isCounted).length
  }

  /** Returns the clock readings of the crashes that requests with a part caused. */
  listCrashTimes (part: string): number[] {
    return this.crashes.filter(({ sharedParts }) => sharedParts?.includes(part)).map(({ atMs }) => atMs)
  }

  /** Returns whether all instances refuse requests with certain parts. */
  isRefusedEverywhere (sharedParts: readonly string[]): boolean {
    return this.instances.every(({ dependencies: { crashes } }) => crashes.getTrialWaitMs({ request: createRequest({ sharedParts }) }) !== undefined)
  }

  private async serve (sharedParts: readonly string[]): Promise<FakeSink> {
    return await this.serveRequest({ sharedParts, size: { promptTokens: 300, maxOutputTokens: 100 } })
  }

  /** Lets a random instance serve a request. */
  private async serveRequest (change: Partial<RelayRequest>): Promise<FakeSink> {
    const { service, sinks, restartedAtMs } = this.instances[pickIndex(this.random, this.instances.length)]!
    const sink = FakeSink.create()
    sinks.add(sink)
    const id = `q${++this.requestCount}`
    this.restartedAtMs.set(id, restartedAtMs)
    await service.serve(createRequest({ id, receivedAtMs: this.clock.nowMs(), ...change }), sink)
    sinks.delete(sink)
    return sink
  }

  private handleCrash (name: string, causedBy: RelayRequest | undefined): void {
    const { service } = this.targets.get(name)!
    this.crashes.push({ atMs: this.clock.nowMs(), sharedParts: causedBy?.sharedParts, path: service === CALLS.name ? causedBy?.path : undefined })
    this.clock.startTimer(this.pickDuration(REMOVAL_RANGE_MS), () => {
      this.targets.delete(name)
      this.announce(name)
    })
    this.clock.startTimer(this.pickDuration(REPLACEMENT_RANGE_MS), () => this.startTarget(service))
  }

  private startTarget (service: string): void {
    const name = `engine${++this.engineCount}`
    this.engines.start(name)
    this.targets.set(name, createTarget(name, { service, startedAtMs: this.engineCount, slots: 4 }))
    this.announce(name)
  }

  private startInstance (index: number): void {
    const names = this.listNames()
    const transport = this.network.createPeer(names[index]!)
    const dependencies: TestDependencies = createTestDependencies({
      clock: this.clock,
      seed: this.options.seed * 100 + index,
      client: this.engines,
      transport,
      listPeers: () => names.filter(name => name !== names[index]),
      instanceCount: names.length,
      getRank: key => rankByRendezvous(key, names).indexOf(names[index]!)
    })
    for (const target of this.targets.values()) dependencies.table.updateTarget(target)
    const service = RelayService.create({ dependencies, getRoutes: () => ROUTES, getPauseMs: () => 0, isViewStale: () => false })
    this.instances[index] = { dependencies, service, sinks: new Set(), restartedAtMs: this.clock.nowMs() > 0 ? this.clock.nowMs() : -Infinity, membership: this.startMembership(names[index]!, dependencies, transport) }
  }

  /** Starts the gossip of an instance. */
  private startMembership (instance: string, { clock, random, evidence, limits, coldTargets, notices }: TestDependencies, transport: PeerTransport): Membership {
    const census = InstanceCensus.create({ clock, instance, listSeeds: () => [] })
    const news = TargetNewsExchange.create({ limits, coldTargets, getCensus: () => census, crashes: evidence, getNotices: () => notices })
    const membership = Membership.create({
      instance,
      incarnation: random.nextString(9),
      url: instance,
      peerAddress: formatPeerAddress(instance),
      availabilityZone: 'z1',
      region: 'r1',
      transport,
      clock,
      random,
      getGossipPayload: () => ({ revision: 0, listVersion: 0, listAgeMs: 0, ...news.createNews() }),
      handleGossipPayload: (peer, payload) => news.handleNews(peer, payload),
      limits: PROBE_LIMITS
    })
    const push = NewsPush.create({ clock, push: () => membership.pushGossip() })
    evidence.addListener(() => push.schedulePush())
    membership.setListedInstances(this.listNames().map(id => ({ id, role: 'entry', state: 'live', peerAddress: formatPeerAddress(id) })))
    membership.start()
    return membership
  }

  private listNames (): string[] {
    return Array.from({ length: this.options.instanceCount }, (_, index) => `instance${index}`)
  }

  /** Lets each instance know the present state of an engine after a delay of its own. */
  private announce (name: string): void {
    for (const { dependencies: { table } } of this.instances) {
      this.clock.startTimer(this.random.nextFloat() * MAX_VIEW_DELAY_MS, () => {
        const target = this.targets.get(name)
        if (target === undefined) table.handleRemoval(name)
        else table.updateTarget(target)
      })
    }
  }

  private pickDuration ([shortestMs, longestMs]: readonly [number, number]): number {
    return shortestMs + this.random.nextFloat() * (longestMs - shortestMs)
  }
}

function formatPeerAddress (instance: string): string {
  return `${instance}:1`
}
