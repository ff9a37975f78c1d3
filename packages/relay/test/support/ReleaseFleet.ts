import { pickIndex, type Random, SeededRandom, VirtualClock } from '@fescuespoke/common'
import { InMemoryNetwork } from '@fescuespoke/peers'
import { type RelayTarget } from '../../src/model/RelayTarget.js'
import { RouteTable } from '../../src/model/RouteTable.js'
import { type RelayRequest } from '../../src/requests/RelayRequest.js'
import { RelayService } from '../../src/requests/RelayService.js'
import { createConfiguration, createRequest, createRoute, createTarget, createTestDependencies, ENGINES, type TestDependencies } from './createTestDependencies.js'
import { FakeEngines } from './FakeEngines.js'
import { FakeSink } from './FakeSink.js'

/** Options of a fleet. */
export interface ReleaseFleetOptions {
  readonly instanceCount: number
  readonly seed: number
  /** Whether callers resume an interrupted stream at another instance. */
  readonly doCallersReturn: boolean
  /** Time for which a caller tries to complete its stream, in milliseconds. */
  readonly patienceMs?: number
  /** Timeout of the route, in milliseconds. */
  readonly timeoutMs?: number
  /** Whether callers name the request that brought the first event. By default, they do. */
  readonly doCallersNameRequest?: boolean
}

/** What a caller received of one stream. */
export interface CallerStream {
  readonly sentAtMs: number
  /** Software versions of the events. */
  readonly versions: Set<string>
  wasResumed: boolean
  hasContinued: boolean
}

/** Streams that callers sent or resumed, and how many of them brought an event. */
export interface StreamCounts {
  sent: number
  begun: number
  resumed: number
  continued: number
}

/** What a caller names to resume a stream; nothing before its first event. */
interface StreamProgress {
  /** Id of the request that brought the first event. */
  readonly resumedId?: string
  readonly lastEventId?: string
}

interface FleetInstance {
  readonly dependencies: TestDependencies
  readonly service: RelayService
  readonly sinks: Set<FakeSink>
}

/** Maximum delay until an instance learns of a change of an engine, in milliseconds. */
const MAX_VIEW_DELAY_MS = 100

/** Time from the notice of an engine to its end, in milliseconds. */
const NOTICE_MS = 1700

/** Time for which a caller tries to complete its stream by default, and delay before it resumes one, in milliseconds. */
const PATIENCE_MS = 8000
const RETURN_DELAY_MS = 30

/** Timeout of the route by default, in milliseconds. */
const TIMEOUT_MS = 6000

/** Instances before engines of several software versions in virtual time, and callers that resume interrupted streams. */
export class ReleaseFleet {
  /** Creates a fleet without engines. */
  static create (options: ReleaseFleetOptions): ReleaseFleet {
    return new ReleaseFleet(options)
  }

  readonly clock = VirtualClock.create()
  readonly counts: StreamCounts = { sent: 0, begun: 0, resumed: 0, continued: 0 }
  readonly streams: CallerStream[] = []
  readonly network: InMemoryNetwork
  private readonly random: Random
  private readonly engines = FakeEngines.create(this.clock)
  private readonly targets = new Map<string, RelayTarget>()
  private readonly instances: FleetInstance[] = []
  private readonly routes: RouteTable
  private requestCount = 0

  private constructor (private readonly options: ReleaseFleetOptions) {
    this.random = SeededRandom.create(options.seed)
    const { timeoutMs = TIMEOUT_MS } = options
    this.routes = RouteTable.create(createConfiguration([createRoute({ kind: 'stream', isResumable: true, maxAttempts: 3, timeoutMs, objectiveMs: 1000, maxGapMs: 200, services: [{ service: ENGINES.name, weight: 1 }] })]))
    this.network = InMemoryNetwork.create({ clock: this.clock, random: SeededRandom.create(options.seed + 1), shouldEncode: true })
    for (let index = 0; index < options.instanceCount; index++) this.startInstance(index)
  }

  /** Starts an engine. */
  startEngine (name: string, softwareVersion: string): void {
    this.engines.start(name)
    this.targets.set(name, createTarget(name, { service: ENGINES.name, softwareVersion, slots: 4 }))
    this.announce(name)
  }

  /** Gives an engine notice; it ends later. */
  retireEngine (name: string): void {
    const target = this.targets.get(name)
    if (target === undefined) return
    this.targets.set(name, { ...target, phase: 'leaving' })
    this.announce(name)
    this.clock.startTimer(NOTICE_MS, () => this.crashEngine(name))
  }

  /** Ends an engine without notice. */
  crashEngine (name: string): void {
    this.engines.crash(name)
    this.targets.delete(name)
    this.announce(name)
  }

  /** Cuts off the streams of an engine. */
  resetEngine (name: string): void {
    this.engines.reset(name)
  }

  /** Lists the engines that accept requests. */
  listEngines (softwareVersion?: string): string[] {
    return [...this.targets.values()].filter(target => target.phase === 'ready' && (softwareVersion ?? target.softwareVersion) === target.softwareVersion).map(({ name }) => name)
  }

  /** Ends an instance and all its answers, and starts a new one in its place. */
  restartInstance (index: number): void {
    for (const sink of this.instances[index]!.sinks) sink.leave()
    this.startInstance(index)
  }

  /** Ends all instances and starts new ones, which learn of the engines one by one. */
  restartAll (): void {
    for (const { sinks } of this.instances) for (const sink of sinks) sink.leave()
    for (const index of this.instances.keys()) this.startInstance(index, [])
    for (const name of this.targets.keys()) this.announce(name)
  }

  /** Counts the streams of which the caller received events of several software versions. */
  countMixed (): number {
    return this.streams.filter(({ versions }) => versions.size > 1).length
  }

  /** Drops all messages between an instance and the others. */
  separateInstance (index: number): void {
    const names = this.listNames()
    this.network.partition([names[index]!], names.filter((_, position) => position !== index))
  }

  /** Sends one stream and resumes it until it is complete or the caller's time is over. */
  async sendStream (): Promise<void> {
    const { doCallersReturn, patienceMs = PATIENCE_MS } = this.options
    const stream: CallerStream = { sentAtMs: this.clock.nowMs(), versions: new Set(), wasResumed: false, hasContinued: false }
    this.streams.push(stream)
    const endMs = stream.sentAtMs + patienceMs
    let progress: StreamProgress = {}
    for (;;) {
      const id = `q${++this.requestCount}`
      const sink = await this.serve({ id, ...this.getResumption(progress), remainingMs: endMs - this.clock.nowMs() })
      const events = [...sink.text.matchAll(/id: (\d+)\ndata: (\S+)/g)]
      this.recordEvents(stream, progress, events.map(([, , version = '']) => version))
      const [lastEvent] = events.slice(-1)
      if (lastEvent !== undefined) progress = { resumedId: progress.resumedId ?? id, lastEventId: lastEvent[1] }
      await this.clock.sleep(Math.max(RETURN_DELAY_MS, sink.refusal?.retryAfterMs ?? 0))
      const mayReturn = progress.resumedId === undefined || doCallersReturn
      if (sink.endState === 'complete' || !mayReturn || this.clock.nowMs() >= endMs) return
    }
  }

  private getResumption ({ resumedId, lastEventId }: StreamProgress): StreamProgress {
    return { lastEventId, resumedId: this.options.doCallersNameRequest === false ? undefined : resumedId }
  }

  private recordEvents (stream: CallerStream, { resumedId }: StreamProgress, versions: readonly string[]): void {
    const isResumed = resumedId !== undefined
    for (const version of versions) stream.versions.add(version)
    this.countStream(isResumed, versions.length > 0)
    stream.wasResumed ||= isResumed
    stream.hasContinued ||= isResumed && versions.length > 0
  }

  private async serve (change: Partial<RelayRequest>): Promise<FakeSink> {
    const { service, sinks } = this.instances[pickIndex(this.random, this.instances.length)]!
    const sink = FakeSink.create()
    sinks.add(sink)
    await service.serve(createRequest({ ...change, receivedAtMs: this.clock.nowMs(), size: { promptTokens: 300, maxOutputTokens: 100 } }), sink)
    sinks.delete(sink)
    return sink
  }

  private countStream (isResumed: boolean, hasEvents: boolean): void {
    this.counts[isResumed ? 'resumed' : 'sent']++
    if (hasEvents) this.counts[isResumed ? 'continued' : 'begun']++
  }

  private startInstance (index: number, targets: Iterable<RelayTarget> = this.targets.values()): void {
    const names = this.listNames()
    const dependencies: TestDependencies = createTestDependencies({
      clock: this.clock, seed: this.options.seed * 100 + index, client: this.engines, transport: this.network.createPeer(names[index]!), listPeers: () => names.filter(name => name !== names[index])
    })
    for (const target of targets) dependencies.table.updateTarget(target)
    const service = RelayService.create({ dependencies, getRoutes: () => this.routes, getPauseMs: () => 0, isViewStale: () => false })
    this.instances[index] = { dependencies, service, sinks: new Set() }
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
}
