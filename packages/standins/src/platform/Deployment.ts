import { type Clock, type Random, SeededRandom } from '@fescuespoke/common'
import { type ListedEntry } from '@fescuespoke/schema'
import { type Result } from 'true-myth'
import { ConfigurationCore } from '../configuration/ConfigurationCore.js'
import { EngineCore } from '../engine/EngineCore.js'
import { type EngineOptions } from '../engine/EngineOptions.js'
import { InstanceListCore } from '../instances/InstanceListCore.js'
import { PlainServiceCore, type PlainServiceCoreOptions } from '../service/PlainServiceCore.js'
import { WeightStoreCore } from '../weights/WeightStoreCore.js'
import { createRecordValues, type DeployedTarget } from './createRecordValues.js'
import { DEPLOYMENT_SPECS, type DeploymentName, type DeploymentShape, type PoolSpec } from './DeploymentSpec.js'

/** Options of a deployment. */
export interface DeploymentOptions {
  readonly clock: Clock
  /** Source of random numbers; one of seed 1 when absent. */
  readonly random?: Random
  /** Name of a known shape, or a shape. */
  readonly shape?: DeploymentName | DeploymentShape
  /** Options of all engines. */
  readonly engine?: Partial<EngineOptions>
  /** Options of all plain services. */
  readonly plainService?: Partial<PlainServiceCoreOptions>
  /** Reads of the configuration service allowed in each second. */
  readonly readsPerSecond?: number
  /** Delay of the instance list. */
  readonly listLagMs?: number
  /** Fetches from the weight store allowed in each minute. */
  readonly fetchesPerMinute?: number
}

/** A target before it has a URL. */
export type PlannedTarget = Omit<DeployedTarget, 'url'>

/** The platform and all targets of one deployment within this process. */
export class Deployment {
  /**
   * Creates a deployment that has published nothing yet.
   * @param options - Options of the deployment.
   */
  static create (options: DeploymentOptions): Deployment {
    return new Deployment(options)
  }

  readonly shape: DeploymentShape
  readonly configuration: ConfigurationCore
  readonly instances: InstanceListCore
  readonly weightStore: WeightStoreCore
  readonly engines: ReadonlyMap<string, EngineCore>
  readonly plainServices: ReadonlyMap<string, PlainServiceCore>
  private readonly targets: readonly PlannedTarget[]
  private readonly random: Random

  /** @internal */
  private constructor (private readonly options: DeploymentOptions) {
    const { clock, shape: specOrName = 'spas', readsPerSecond, listLagMs, fetchesPerMinute } = options
    this.shape = typeof specOrName === 'string' ? DEPLOYMENT_SPECS[specOrName] : specOrName
    this.random = options.random ?? SeededRandom.create(1)
    this.configuration = ConfigurationCore.create({ clock, readsPerSecond })
    this.instances = InstanceListCore.create({ clock, lagMs: listLagMs })
    this.weightStore = WeightStoreCore.create({ clock, fetchesPerMinute })
    this.targets = this.shape.pools.flatMap(pool => this.listPoolTargets(pool))
    this.engines = this.createCores('engine', target => this.createEngine(target))
    this.plainServices = this.createCores('plain', target => this.createPlainService(target))
  }

  /** Lists the targets, pool by pool. */
  listTargets (): readonly PlannedTarget[] {
    return this.targets
  }

  /**
   * Lists the targets, publishes the records of the deployment and returns their revision.
   * @param getUrl - Gets the URL of a target by its name.
   */
  publish (getUrl: (target: string) => string): Result<number, string> {
    const deployedTargets = this.targets.map(target => ({ ...target, url: getUrl(target.name) }))
    this.instances.setEntries(deployedTargets.map(createListedEntry))
    return this.configuration.publish(createRecordValues(this.shape, deployedTargets))
  }

  /**
   * Publishes that a target is leaving, in its own state and in the instance list.
   * @param target - Name of the target.
   */
  setLeaving (target: string): void {
    this.engines.get(target)?.setLeaving()
    this.plainServices.get(target)?.setLeaving()
    this.instances.setState(target, 'leaving')
  }

  private listPoolTargets (pool: PoolSpec): PlannedTarget[] {
    const { availabilityZones, region } = this.shape
    return Array.from({ length: pool.targets }, (_, index) => ({
      name: `${pool.name}-${index + 1}`,
      pool,
      availabilityZone: availabilityZones[index % availabilityZones.length] as string,
      region
    }))
  }

  private createCores<T> (kind: PoolSpec['kind'], create: (target: PlannedTarget) => T): Map<string, T> {
    const targets = this.targets.filter(({ pool }) => pool.kind === kind)
    return new Map(targets.map(target => [target.name, create(target)]))
  }

  private createEngine ({ name, pool }: PlannedTarget): EngineCore {
    const services = this.shape.services.filter(service => service.pool === pool.name)
    return EngineCore.create({
      clock: this.options.clock,
      random: this.random,
      targetName: name,
      models: services.flatMap(({ runs }) => runs === undefined ? [] : [runs]),
      enforcesFences: pool.isFencingEnforced,
      weightSource: this.weightStore,
      ...this.options.engine
    })
  }

  private createPlainService ({ name }: PlannedTarget): PlainServiceCore {
    const { clock, plainService } = this.options
    return PlainServiceCore.create({ clock, random: this.random, targetName: name, ...plainService })
  }
}

function createListedEntry ({ name, url, availabilityZone, region }: DeployedTarget): ListedEntry {
  return { id: name, role: 'target', state: 'live', url, availabilityZone, region }
}
