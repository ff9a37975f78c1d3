import { pickIndex, type Random, SeededRandom, VirtualClock } from '@fescuespoke/common'
import { InMemoryNetwork } from '@fescuespoke/peers'
import { type EndEvent, type SubmitRequest } from '@fescuespoke/schema'
import { Deployment, type DeploymentSpec } from '@fescuespoke/standins'
import { Links } from '../fleet/Links.js'
import { type FleetEnvironment, SimulatedInstance } from '../fleet/SimulatedInstance.js'
import { CrashingTargetClient } from './CrashingTargetClient.js'
import { CrashingTargets } from './CrashingTargets.js'

const INSTANCES = ['i1', 'i2', 'i3', 'i4']
const REQUEST_DEADLINE_MS = 10_000
const READY_AFTER_MS = 3000

const GENERATION = { pool: 'engines', schemaVersion: 2, runs: { model: 'm' }, priority: 'normal', idempotent: true, deadlineMs: REQUEST_DEADLINE_MS } as const
const CALL = { pool: 'plain', schemaVersion: 1, priority: 'normal', delivery: 'whole', deadlineMs: REQUEST_DEADLINE_MS } as const

const SPEC: DeploymentSpec = {
  region: 'r',
  availabilityZones: ['a', 'b'],
  pools: [
    { name: 'engines', kind: 'engine', targets: 8, schemaVersion: 2 },
    { name: 'plain', kind: 'plain', targets: 8, schemaVersion: 1 }
  ],
  services: [
    { ...GENERATION, name: 'streamed', delivery: 'stream' },
    { ...GENERATION, name: 'held', delivery: 'whole' },
    { ...CALL, name: 'lookup', idempotent: true },
    { ...CALL, name: 'charge', idempotent: false }
  ],
  workspaces: [{ name: 'w', weight: 1, schemaVersion: 2 }, { name: 'w2', weight: 1, schemaVersion: 2 }]
}

/** What a caller got for one request. */
export interface CallerResult {
  readonly workspace: string
  readonly body: SubmitRequest
  readonly submittedAtMs: number
  readonly endedAtMs: number
  readonly end: EndEvent | undefined
}

/** Options of a fleet. */
export interface CrashFleetOptions {
  readonly seed: number
  /** Time for which a crashed target is gone, in milliseconds. */
  readonly restartMs: number
}

/** Several daemons in one process whose targets crash under contents that begin with `deadly`. */
export class CrashFleet {
  readonly clock = VirtualClock.create()
  readonly results: CallerResult[] = []
  readonly targets: CrashingTargets
  readonly random: Random
  private readonly environment: FleetEnvironment
  private readonly instances = new Map<string, SimulatedInstance>()

  constructor ({ seed, restartMs }: CrashFleetOptions) {
    const { clock } = this
    this.random = SeededRandom.create(seed)
    this.targets = new CrashingTargets({ clock, restartMs, isDeadly: content => content.startsWith('deadly') })
    const deployment = Deployment.create({ clock, random: this.random, spec: SPEC })
    this.environment = {
      clock,
      random: this.random,
      links: new Links(),
      network: InMemoryNetwork.create({ clock, random: this.random }),
      deployment,
      deadTargets: new Set(),
      replyLosingTargets: new Set(),
      resettingTargets: new Set(),
      findInstance: name => this.instances.get(name),
      createTargetClient: options => new CrashingTargetClient({ ...options, targets: this.targets })
    }
  }

  /** Starts the platform and all instances and waits until they are ready. */
  async start (): Promise<void> {
    const { deployment } = this.environment
    deployment.publish(name => `http://${name}`)
    deployment.instanceList.setEntries(INSTANCES.map((name, index) => ({
      id: name, role: 'entry', state: 'live', url: `http://${name}`, peerAddress: `${name}:1`, availabilityZone: getZone(index), region: 'r'
    })))
    for (const [index] of INSTANCES.entries()) await this.restartInstance(index)
    await this.clock.advance(READY_AFTER_MS)
  }

  /** Starts an instance as a new incarnation that remembers nothing. */
  async restartInstance (index: number): Promise<void> {
    const name = INSTANCES[index]!
    this.instances.get(name)?.kill()
    const instance = new SimulatedInstance({ name, availabilityZone: getZone(index), environment: this.environment })
    this.instances.set(name, instance)
    await instance.start()
  }

  /** Submits a request under a new lease, at an instance picked at random. */
  submit (body: SubmitRequest, workspace = 'w'): void {
    const instance = this.instances.get(INSTANCES[pickIndex(this.random, INSTANCES.length)]!)!
    this.readAnswer(instance, body, workspace)
  }

  /** Waits until all requests have ended, except those whose instance has ended. */
  async finish (): Promise<void> {
    await this.clock.advance(2 * REQUEST_DEADLINE_MS)
  }

  private async readAnswer (instance: SimulatedInstance, body: SubmitRequest, workspace: string): Promise<void> {
    const submittedAtMs = this.clock.nowMs()
    const lease = await instance.grantLease(workspace)
    let end: EndEvent | undefined
    if (lease !== undefined) {
      for await (const event of instance.openRequest(lease, 1, body, 0)) if (event.type === 'end') end = event
    }
    this.results.push({ workspace, body, submittedAtMs, endedAtMs: this.clock.nowMs(), end })
  }
}

function getZone (index: number): string {
  return SPEC.availabilityZones[index % SPEC.availabilityZones.length]!
}
