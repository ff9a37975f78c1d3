import { createValidator, type Settings, type StreamEvent, type SubmitRequest } from '@fescuespoke/schema'
import { type MemoryNetwork, PausableClock } from '@fescuespoke/peers'
import { type Clock, type Random } from '@fescuespoke/common'
import { type Deployment } from '@fescuespoke/standins'
import { Result } from 'true-myth'
import { createParts, type InstanceParts, startParts } from '../../src/instance/createParts.js'
import { type ListeningTransport } from '../../src/instance/InstanceOptions.js'
import { runDrain } from '../../src/instance/runDrain.js'
import { parseLease } from '../../src/leases/LeaseName.js'
import { describeUnknown, locateLease } from '../../src/leases/locateLease.js'
import { readEvents } from '../../src/requests/readEvents.js'
import { CoreOrderClient } from './CoreOrderClient.js'
import { CoreTargetClient } from './CoreTargetClient.js'
import { type Links } from './Links.js'
import { createPlatformSources } from './PlatformSources.js'

const checkSettings = createValidator<Settings>('settings', 'Settings')
const HEARTBEAT_MS = 500

/** Silence after which the owner of a forwarded request counts as unreachable, in milliseconds. */
const FORWARD_SILENCE_MS = 1000

/** What all instances of a simulated fleet share. */
export interface FleetWorld {
  readonly clock: Clock
  readonly random: Random
  readonly links: Links
  readonly network: MemoryNetwork
  readonly deployment: Deployment
  readonly deadTargets: Set<string>
  readonly silentTargets: Set<string>
  readonly resettingTargets: Set<string>
  /** Finds a running instance by name. */
  readonly findInstance: (name: string) => SimulatedInstance | undefined
}

/** Options of a simulated instance. */
export interface SimulatedInstanceOptions {
  readonly name: string
  readonly availabilityZone: string
  readonly world: FleetWorld
}

/** The parts of one daemon without HTTP, in a process that can be paused and killed. */
export class SimulatedInstance {
  readonly clock: PausableClock
  readonly parts: InstanceParts
  /** Revisions in force, in order. */
  readonly revisions: number[] = []
  isDrained = false
  private isDead = false
  private isRefusing = false
  private isDraining = false
  private isHandingOver = false
  private exchanges = 0

  constructor (readonly options: SimulatedInstanceOptions) {
    const { name, world } = options
    this.clock = PausableClock.create(world.clock)
    this.parts = createParts({
      settings: this.createSettings(),
      clock: this.clock,
      random: world.random,
      orderClient: new CoreOrderClient({ ...world, clock: this.clock, instance: name }),
      targetClient: new CoreTargetClient({ ...world, worldClock: world.clock, clock: this.clock, instance: name }),
      createTransport: () => this.createTransport(),
      ...createPlatformSources({ ...world, clock: this.clock, instance: name })
    }, { isRefusing: () => this.isRefusing })
    this.parts.configuration.addListener(({ revision }) => {
      this.revisions.push(revision)
      this.parts.poller.refreshTargets()
    })
  }

  async start (): Promise<void> {
    await this.parts.peers.listen(`http://${this.options.name}`)
    startParts(this.parts)
  }

  pause (): void {
    this.clock.pause()
    this.options.world.network.pause(this.options.name)
  }

  resume (): void {
    if (this.isDead) return
    this.clock.resume()
    this.options.world.network.resume(this.options.name)
  }

  /** Ends the process: nothing of it runs again. */
  kill (): void {
    this.isDead = true
    this.clock.pause()
  }

  isRunning (): boolean {
    return !this.isDead
  }

  async drain (): Promise<void> {
    if (this.isDraining) return
    this.isDraining = true
    await runDrain({
      parts: this.parts,
      refuseRequests: () => { this.isRefusing = true },
      handOver: () => { this.isHandingOver = true },
      countExchanges: () => this.exchanges
    })
    this.isDrained = true
    this.kill()
  }

  /** Grants a lease unless the instance is not ready. */
  async grantLease (workspace: string): Promise<string | undefined> {
    await this.arrive()
    if (this.isDraining || this.parts.configuration.getRevision() === 0) return undefined
    return this.parts.leases.grantLease(workspace).map(({ text }) => text).unwrapOr(undefined)
  }

  /** Submits or attaches to a request, at its owner or through it. */
  async * openRequest (lease: string, number: number, body: SubmitRequest, offset: number, isForwarded = false): AsyncGenerator<StreamEvent> {
    await this.arrive()
    const { settings, incarnation, leases, requests } = this.parts
    const name = parseLease(lease).unwrapOr(undefined)
    if (name === undefined) throw new Error(`not a lease: ${lease}`)
    const location = locateLease(name, lease, { instance: settings.instance.id, incarnation, leases, isForwarded })
    if (location.at === 'nowhere') yield location.end
    else if (location.at === 'elsewhere') yield * this.forward(location.instance, lease, number, body, offset)
    else {
      const entry = requests.submitRequest(location.lease, number, body)
      if (entry.isErr) throw new Error(entry.error)
      yield * this.passOn(readEvents({
        entry: entry.value,
        offset,
        clock: this.clock,
        heartbeatMs: HEARTBEAT_MS,
        signal: new AbortController().signal,
        isHandingOver: () => this.isHandingOver
      }))
    }
  }

  /** Resumes a generation at its target. */
  async * resumeRequest (resumeToken: string, offset: number): AsyncGenerator<StreamEvent> {
    await this.arrive()
    const name = this.parts.resumeTokens.decodeToken(resumeToken).unwrapOr(undefined)
    if (name === undefined) throw new Error('not a resume token')
    yield * this.passOn(this.parts.resumes.readResumed({ name, resumeToken, offset, signal: new AbortController().signal }))
  }

  private async * forward (owner: string, lease: string, number: number, body: SubmitRequest, offset: number): AsyncGenerator<StreamEvent> {
    const { world, name } = this.options
    const instance = world.findInstance(owner)
    if (instance === undefined || !world.links.isOpen(name, owner) || this.parts.peers.findUrl(owner) === undefined) {
      yield describeUnknown('ownerUnreachable')
      return
    }
    const events = this.passOn(instance.openRequest(lease, number, body, offset, true))
    const silence = this.clock.sleep(FORWARD_SILENCE_MS).then(() => undefined)
    const first = instance.isRunning() ? await Promise.race([events.next(), silence]) : undefined
    if (first?.value === undefined) {
      yield describeUnknown('ownerUnreachable')
      return
    }
    yield first.value
    yield * events
  }

  private async * passOn (events: AsyncIterable<StreamEvent>): AsyncGenerator<StreamEvent> {
    this.exchanges++
    try {
      for await (const event of events) {
        yield event
        await this.arrive()
      }
    } finally {
      this.exchanges--
    }
  }

  /** Waits until the process runs. */
  private async arrive (): Promise<void> {
    await this.clock.sleep(1)
  }

  private createTransport (): ListeningTransport {
    const peer = this.options.world.network.createPeer(this.options.name)
    return {
      request: async (...args) => await peer.request(...args),
      setHandler: (type, handler) => peer.setHandler(type, handler),
      listen: async () => Result.ok(`${this.options.name}:1`),
      close: async () => peer.close()
    }
  }

  private createSettings (): Settings {
    const checked = checkSettings({
      instance: {
        id: this.options.name,
        availabilityZone: this.options.availabilityZone,
        region: this.options.world.deployment.shape.region,
        fleet: 'test',
        fleetKey: 'key of the test fleet'
      },
      platform: { configurationUrl: 'http://platform', instanceListUrl: 'http://platform' },
      requests: { addressValidityMs: 2000, leaseMs: 60_000, retentionMs: 60_000 },
      peers: {},
      scheduling: {},
      log: {}
    })
    if (checked.isErr) throw new Error(JSON.stringify(checked.error))
    return checked.value
  }
}
