import { pickIndex, SeededRandom, VirtualClock } from '@fescuespoke/common'
import { InMemoryNetwork } from '@fescuespoke/peers'
import { Deployment, type DeploymentSpec } from '@fescuespoke/standins'
import { Links } from './Links.js'
import { PLATFORM } from './PlatformSources.js'
import { type CallerReport, runCaller } from './SimulatedCaller.js'
import { type FleetEnvironment, SimulatedInstance } from './SimulatedInstance.js'

const INSTANCE_COUNT = 4
const MAX_ANSWER_TOKENS = 60

/** Step and limit of the wait after the last operation, in milliseconds. Records must be in force after one step. */
const WAIT_STEP_MS = 5000
const MAX_WAIT_MS = 400_000

const DEPLOYMENT_SPEC: DeploymentSpec = {
  region: 'r',
  availabilityZones: ['a', 'b'],
  pools: [
    { name: 'engines', kind: 'engine', targets: 3, schemaVersion: 2 },
    { name: 'plain', kind: 'plain', targets: 2, schemaVersion: 1 }
  ],
  services: [
    { name: 'streamed', pool: 'engines', schemaVersion: 2, runs: { model: 'm' }, priority: 'normal', idempotent: true, delivery: 'stream', deadlineMs: 60_000 },
    { name: 'held', pool: 'engines', schemaVersion: 2, runs: { model: 'm' }, priority: 'high', idempotent: true, delivery: 'whole', deadlineMs: 60_000 },
    { name: 'charge', pool: 'plain', schemaVersion: 1, priority: 'high', idempotent: false, delivery: 'whole', deadlineMs: 20_000 }
  ],
  workspaces: [{ name: 'w', weight: 1, schemaVersion: 2 }]
}

/** One step of a run: a delay followed by an operation. */
export interface FleetStep {
  readonly operation: FleetOperation
  /** Index that selects the instance, target or variant of the operation. */
  readonly subject: number
  readonly delayMs: number
}

/** Several daemons in one process, with targets and a platform that can fail. */
export class SimulatedFleet {
  readonly clock = VirtualClock.create()
  readonly deployment: Deployment
  readonly reports: CallerReport[] = []
  /** All instances that have been started, including ended ones. */
  readonly history: SimulatedInstance[] = []
  readonly leavingSinceMs = new Map<string, number>()
  private readonly environment: FleetEnvironment
  private readonly instances = new Map<string, SimulatedInstance>()
  private readonly runningCallers: Array<Promise<void>> = []
  private requestCount = 0

  constructor (seed: number) {
    const random = SeededRandom.create(seed)
    const links = new Links()
    this.deployment = Deployment.create({
      clock: this.clock,
      random,
      spec: DEPLOYMENT_SPEC,
      engine: { computeOutputTokens: ({ prompt }) => Number(prompt) }
    })
    this.environment = {
      clock: this.clock,
      random,
      links,
      network: InMemoryNetwork.create({ clock: this.clock, random }),
      deployment: this.deployment,
      deadTargets: new Set(),
      replyLosingTargets: new Set(),
      resettingTargets: new Set(),
      findInstance: name => this.instances.get(name)
    }
  }

  /** Starts the platform and all instances and waits until they are ready. */
  async start (): Promise<void> {
    this.deployment.publish(name => `http://${name}`)
    this.deployment.instanceList.setEntries(listNames().map((name, index) => ({
      id: name, role: 'entry', state: 'live', url: `http://${name}`, peerAddress: `${name}:1`, availabilityZone: getZone(index), region: 'r'
    })))
    for (const name of listNames()) await this.startInstance(name)
    await this.clock.advance(3000)
  }

  /** Runs the steps, reverts the recoverable failures and waits until all requests have ended. */
  async run (steps: readonly FleetStep[]): Promise<void> {
    for (const { operation, subject, delayMs } of steps) {
      await this.clock.advance(delayMs)
      await OPERATIONS[operation](this, subject)
    }
    this.heal()
    for (let waitedMs = 0; waitedMs < MAX_WAIT_MS && (waitedMs === 0 || this.reports.length < this.runningCallers.length); waitedMs += WAIT_STEP_MS) {
      await this.clock.advance(WAIT_STEP_MS)
    }
    await Promise.all(this.runningCallers)
  }

  /** Lists the running instances. */
  listRunning (): SimulatedInstance[] {
    return [...this.instances.values()].filter(instance => instance.isRunning())
  }

  /** Sends a request that starts at a running instance. */
  makeRequest (service: 'streamed' | 'held' | 'charge', subject: number): void {
    const { random } = this.environment
    const running = this.listRunning()
    const owner = running[subject % running.length]
    if (owner === undefined) return
    const number = ++this.requestCount
    const body = service === 'charge' ? { service, body: number } : { service, prompt: String(1 + pickIndex(random, MAX_ANSWER_TOKENS)) }
    const options = { environment: this.environment, listInstances: () => this.listRunning(), owner, workspace: 'w', number, body, copies: pickIndex(random, 3) }
    this.runningCallers.push(runCaller(options).then(report => { this.reports.push(report) }))
  }

  /** Runs an action with a running instance. */
  withInstance (subject: number, action: (instance: SimulatedInstance, environment: FleetEnvironment) => void): void {
    const running = this.listRunning()
    const instance = running[subject % running.length]
    if (instance !== undefined) action(instance, this.environment)
  }

  /** Runs an action with the name of a target. */
  withTarget (subject: number, action: (target: string, environment: FleetEnvironment) => void): void {
    const targets = this.deployment.listTargets()
    action(targets[subject % targets.length]?.name ?? '', this.environment)
  }

  /** Kills an instance unless it is the last running one. */
  killInstance (subject: number): void {
    if (this.listRunning().length > 1) this.withInstance(subject, instance => instance.kill())
  }

  /** Restarts an ended instance as a new incarnation. */
  async restartInstance (subject: number): Promise<void> {
    const ended = [...this.instances.values()].filter(instance => !instance.isRunning())
    const instance = ended[subject % ended.length]
    if (instance !== undefined) await this.startInstance(instance.options.name)
  }

  /** Publishes that a target is leaving, unless it is the last one of its pool. */
  setLeaving (target: string): void {
    const pool = target.slice(0, target.lastIndexOf('-'))
    const remaining = this.deployment.listTargets().filter(({ name }) => name.startsWith(pool) && !this.leavingSinceMs.has(name))
    if (remaining.length <= 1 || this.leavingSinceMs.has(target)) return
    this.leavingSinceMs.set(target, this.clock.nowMs())
    this.deployment.setLeaving(target)
  }

  /** Restores every link, resumes every process and restores the platform. */
  heal (): void {
    this.environment.links.heal()
    this.environment.network.heal()
    for (const instance of this.listRunning()) instance.resume()
    this.deployment.configuration.setDown(false)
    this.deployment.configuration.setStale(false)
    this.deployment.instanceList.setDown(false)
    this.deployment.instanceList.setFault('none')
  }

  private async startInstance (name: string): Promise<void> {
    const instance = new SimulatedInstance({ name, availabilityZone: getZone(listNames().indexOf(name)), environment: this.environment })
    this.instances.set(name, instance)
    this.history.push(instance)
    await instance.start()
  }
}

/** Operations of steps by name. */
export const OPERATIONS = {
  requestStreamed: (fleet: SimulatedFleet, subject: number) => fleet.makeRequest('streamed', subject),
  requestHeld: (fleet: SimulatedFleet, subject: number) => fleet.makeRequest('held', subject),
  requestCharge: (fleet: SimulatedFleet, subject: number) => fleet.makeRequest('charge', subject),
  killInstance: (fleet: SimulatedFleet, subject: number) => fleet.killInstance(subject),
  restartInstance: async (fleet: SimulatedFleet, subject: number) => await fleet.restartInstance(subject),
  pauseInstance: (fleet: SimulatedFleet, subject: number) => fleet.withInstance(subject, instance => instance.pause()),
  resumeInstance: (fleet: SimulatedFleet, subject: number) => fleet.withInstance(subject, instance => instance.resume()),
  drainInstance: (fleet: SimulatedFleet, subject: number) => fleet.withInstance(subject, instance => { instance.drain() }),
  cutCaller: (fleet: SimulatedFleet, subject: number) => fleet.withInstance(subject, ({ options }, { links }) => links.setCut('caller', options.name, true)),
  cutPlatform: (fleet: SimulatedFleet, subject: number) => fleet.withInstance(subject, ({ options }, { links }) => links.setCut(PLATFORM, options.name, true)),
  cutTarget: (fleet: SimulatedFleet, subject: number) => fleet.withInstance(subject, ({ options }, { links }) =>
    fleet.withTarget(subject, target => links.setCut(target, options.name, true))),
  splitFleet: (fleet: SimulatedFleet, subject: number) => fleet.withInstance(subject, ({ options }, { network, links }) => {
    const others = listNames().filter(name => name !== options.name)
    network.partition([options.name], others)
    for (const other of others) links.setCut(options.name, other, true)
  }),
  killTarget: (fleet: SimulatedFleet, subject: number) => fleet.withTarget(subject, (target, { deadTargets, deployment }) => {
    if (deadTargets.size > 1) return
    deadTargets.add(target)
    deployment.engines.get(target)?.kill()
  }),
  loseReplies: (fleet: SimulatedFleet, subject: number) => fleet.withTarget(subject, (target, { replyLosingTargets }) => { replyLosingTargets.add(target) }),
  resetReplies: (fleet: SimulatedFleet, subject: number) => fleet.withTarget(subject, (target, { resettingTargets }) => { resettingTargets.add(target) }),
  restoreReplies: (fleet: SimulatedFleet, subject: number) => fleet.withTarget(subject, (target, { replyLosingTargets, resettingTargets }) => {
    replyLosingTargets.delete(target)
    resettingTargets.delete(target)
  }),
  leaveTarget: (fleet: SimulatedFleet, subject: number) => fleet.withTarget(subject, target => fleet.setLeaving(target)),
  loseMessages: (fleet: SimulatedFleet) => fleet.withInstance(0, (_, { network }) => network.setFaults({ lossRate: 0.2, duplicateRate: 0.1, jitterMs: 20 })),
  configurationDown: (fleet: SimulatedFleet, subject: number) => fleet.deployment.configuration.setDown(subject % 2 === 0),
  configurationStale: (fleet: SimulatedFleet, subject: number) => fleet.deployment.configuration.setStale(subject % 2 === 0),
  configurationOlder: (fleet: SimulatedFleet) => fleet.deployment.configuration.serveRevision(1),
  listDown: (fleet: SimulatedFleet, subject: number) => fleet.deployment.instanceList.setDown(subject % 2 === 0),
  listFault: (fleet: SimulatedFleet, subject: number) => fleet.deployment.instanceList.setFault((['empty', 'half', 'garbage', 'none'] as const)[subject % 4] ?? 'none'),
  amend: (fleet: SimulatedFleet, subject: number) => {
    fleet.deployment.configuration.setValue('workspace/extra', JSON.stringify({ schemaVersion: 2, kind: 'workspace', name: 'extra', weight: 1 + subject }))
  },
  heal: (fleet: SimulatedFleet) => fleet.heal()
} as const

/** Name of an operation. */
export type FleetOperation = keyof typeof OPERATIONS

function listNames (): string[] {
  return Array.from({ length: INSTANCE_COUNT }, (_, index) => `i${index + 1}`)
}

function getZone (index: number): string {
  return DEPLOYMENT_SPEC.availabilityZones[index % DEPLOYMENT_SPEC.availabilityZones.length] ?? 'a'
}
