import { createValidator, type Settings, type StreamEvent, type SubmitRequest } from '@fescuespoke/schema'
import { type InMemoryNetwork, PausableClock } from '@fescuespoke/peers'
import { type Clock, type Random } from '@fescuespoke/common'
import { type Deployment } from '@fescuespoke/standins'
import { Result } from 'true-myth'
import { type TargetClient } from '../../src/index.js'
import { createComponents, type InstanceComponents, startComponents } from '../../src/instance/createComponents.js'
import { type ListeningTransport } from '../../src/instance/InstanceOptions.js'
import { runDrain } from '../../src/instance/runDrain.js'
import { parseLeaseToken } from '../../src/leases/LeaseId.js'
import { createUnknownEnd, locateLease } from '../../src/leases/locateLease.js'
import { readEvents } from '../../src/requests/readEvents.js'
import { InMemoryOrderClient } from './InMemoryOrderClient.js'
import { InMemoryTargetClient, type InMemoryTargetClientOptions } from './InMemoryTargetClient.js'
import { type Links } from './Links.js'
import { createPlatformSources } from './PlatformSources.js'

const checkSettings = createValidator<Settings>('settings', 'Settings')
const HEARTBEAT_MS = 500

/** Time without a first event after which the owner of a forwarded request counts as unreachable, in milliseconds. */
const FORWARD_TIMEOUT_MS = 1000

/** Environment shared by all instances of a simulated fleet. */
export interface FleetEnvironment {
  readonly clock: Clock
  readonly random: Random
  readonly links: Links
  readonly network: InMemoryNetwork
  readonly deployment: Deployment
  readonly deadTargets: Set<string>
  readonly replyLosingTargets: Set<string>
  readonly resettingTargets: Set<string>
  /** Finds a running instance by name. */
  readonly findInstance: (name: string) => SimulatedInstance | undefined
  /** Creates the target client of an instance; in place of {@link InMemoryTargetClient}. */
  readonly createTargetClient?: (options: InMemoryTargetClientOptions) => TargetClient
}

/** Options of a simulated instance. */
export interface SimulatedInstanceOptions {
  readonly name: string
  readonly availabilityZone: string
  readonly environment: FleetEnvironment
}

/** The components of one daemon without HTTP, in a simulated process that can be paused and killed. */
export class SimulatedInstance {
  readonly clock: PausableClock
  readonly components: InstanceComponents
  /** Revisions in the order in which they came into force. */
  readonly revisions: number[] = []
  isDrained = false
  private isDead = false
  private isRejectingRequests = false
  private isDraining = false
  private isHandingOver = false
  private hasQueriedFleet = false
  private exchanges = 0

  constructor (readonly options: SimulatedInstanceOptions) {
    const { name, environment } = options
    const { createTargetClient = (clientOptions: InMemoryTargetClientOptions) => new InMemoryTargetClient(clientOptions) } = environment
    this.clock = PausableClock.create(environment.clock)
    this.components = createComponents({
      settings: this.createSettings(),
      clock: this.clock,
      random: environment.random,
      orderClient: new InMemoryOrderClient({ ...environment, clock: this.clock, instance: name }),
      targetClient: createTargetClient({ ...environment, globalClock: environment.clock, clock: this.clock, instance: name }),
      createTransport: () => this.createTransport(),
      ...createPlatformSources({ ...environment, clock: this.clock, instance: name })
    }, { isRejectingRequests: () => this.isRejectingRequests })
    this.components.configuration.addListener(({ revision }) => {
      this.revisions.push(revision)
      this.components.poller.refreshTargets()
    })
  }

  async start (): Promise<void> {
    await this.components.peers.listen(`http://${this.options.name}`)
    startComponents(this.components)
    this.queryFleet()
  }

  pause (): void {
    this.clock.pause()
    this.options.environment.network.pause(this.options.name)
  }

  resume (): void {
    if (this.isDead) return
    this.clock.resume()
    this.options.environment.network.resume(this.options.name)
  }

  /** Ends the process permanently. */
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
      components: this.components,
      rejectRequests: () => { this.isRejectingRequests = true },
      handOver: () => { this.isHandingOver = true },
      countExchanges: () => this.exchanges
    })
    this.isDrained = true
    this.kill()
  }

  /** Grants a lease unless the instance is not ready. */
  async grantLease (workspace: string): Promise<string | undefined> {
    await this.waitUntilRunning()
    if (this.isDraining || !this.hasQueriedFleet || this.components.configuration.getRevision() === 0) return undefined
    return this.components.leases.grantLease(workspace).map(({ token }) => token).unwrapOr(undefined)
  }

  /** Submits or attaches to a request on its owner, forwarding it if this instance is not the owner. */
  async * openRequest (lease: string, number: number, body: SubmitRequest, offset: number, isForwarded = false): AsyncGenerator<StreamEvent> {
    await this.waitUntilRunning()
    const { settings, incarnation, leases, requests } = this.components
    const leaseId = parseLeaseToken(lease).unwrapOr(undefined)
    if (leaseId === undefined) throw new Error(`invalid lease token: ${lease}`)
    const location = locateLease(leaseId, lease, { instance: settings.instance.id, incarnation, leases, isForwarded })
    if (location.kind === 'unresolved') yield location.end
    else if (location.kind === 'remote') yield * this.forward(location.instance, lease, number, body, offset)
    else {
      const entry = requests.submitRequest(location.lease, number, body)
      if (entry.isErr) throw new Error(entry.error)
      yield * this.relayEvents(readEvents({
        entry: entry.value,
        offset,
        clock: this.clock,
        heartbeatMs: HEARTBEAT_MS,
        signal: new AbortController().signal,
        isHandingOver: () => this.isHandingOver
      }))
    }
  }

  /** Resumes a generation from its target. */
  async * resumeRequest (resumeToken: string, offset: number): AsyncGenerator<StreamEvent> {
    await this.waitUntilRunning()
    const payload = this.components.resumeTokenCodec.decodeToken(resumeToken).unwrapOr(undefined)
    if (payload === undefined) throw new Error('invalid resume token')
    yield * this.relayEvents(this.components.resumes.resumeGeneration({ tokenPayload: payload, resumeToken, offset, signal: new AbortController().signal }))
  }

  private async * forward (owner: string, lease: string, number: number, body: SubmitRequest, offset: number): AsyncGenerator<StreamEvent> {
    const { environment, name } = this.options
    const instance = environment.findInstance(owner)
    if (instance === undefined || !environment.links.isOpen(name, owner) || this.components.peers.findInstanceUrl(owner) === undefined) {
      yield createUnknownEnd('ownerUnreachable')
      return
    }
    const events = this.relayEvents(instance.openRequest(lease, number, body, offset, true))
    const timeout = this.clock.sleep(FORWARD_TIMEOUT_MS).then(() => undefined)
    const first = instance.isRunning() ? await Promise.race([events.next(), timeout]) : undefined
    if (first?.value === undefined) {
      yield createUnknownEnd('ownerUnreachable')
      return
    }
    yield first.value
    yield * events
  }

  private async * relayEvents (events: AsyncIterable<StreamEvent>): AsyncGenerator<StreamEvent> {
    this.exchanges++
    try {
      for await (const event of events) {
        yield event
        await this.waitUntilRunning()
      }
    } finally {
      this.exchanges--
    }
  }

  private async queryFleet (): Promise<void> {
    const { configurationFollower, instanceList, crashExchange } = this.components
    await configurationFollower.waitForInitialRefresh(() => instanceList.getVersion() > 0)
    await crashExchange.fetchCrashes()
    this.hasQueriedFleet = true
  }

  /** Waits until the process is not paused. */
  private async waitUntilRunning (): Promise<void> {
    await this.clock.sleep(1)
  }

  private createTransport (): ListeningTransport {
    const peer = this.options.environment.network.createPeer(this.options.name)
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
        region: this.options.environment.deployment.spec.region,
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
