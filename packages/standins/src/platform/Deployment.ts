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
import { DEPLOYMENT_SPECS, type DeploymentName, type DeploymentSpec, type PoolSpec } from './DeploymentSpec.js'

/** Options of a deployment. */
export interface DeploymentOptions {
  readonly clock: Clock
  /** Random number generator; if absent, one with seed 1. */
  readonly random?: Random
  /** Name of a predefined specification, or a specification; `spas` if absent. */
  readonly spec?: DeploymentName | DeploymentSpec
  /** Options of all engines. */
  readonly engine?: Partial<EngineOptions>
  /** Options of all plain services. */
  readonly plainService?: Partial<PlainServiceCoreOptions>
  /** Maximum number of calls to the configuration service per second. */
  readonly readsPerSecond?: number
  /** Delay of changes of the instance list, in milliseconds. */
  readonly listLagMs?: number
  /** Maximum number of fetches from the weight store per minute. */
  readonly fetchesPerMinute?: number
}

/** Target of a deployment that has no URL yet. */
export type PlannedTarget = Omit<DeployedTarget, 'url'>

/** Platform and all targets of one deployment within this process, without HTTP servers. */
export class Deployment {
  /**
   * Creates a deployment that has not published any records.
   * @param options - Options of the deployment.
   */
  static create (options: DeploymentOptions): Deployment {
    return new Deployment(options)
  }

  readonly spec: DeploymentSpec
  readonly configuration: ConfigurationCore
  readonly instanceList: InstanceListCore
  readonly weightStore: WeightStoreCore
  readonly engines: ReadonlyMap<string, EngineCore>
  readonly plainServices: ReadonlyMap<string, PlainServiceCore>
  private readonly targets: readonly PlannedTarget[]
  private readonly random: Random

  /** @internal */
  private constructor (private readonly options: DeploymentOptions) {
    const { clock, spec: specOrName = 'spas', readsPerSecond, listLagMs, fetchesPerMinute } = options
    this.spec = typeof specOrName === 'string' ? DEPLOYMENT_SPECS[specOrName] : specOrName
    this.random = options.random ?? SeededRandom.create(1)
    this.configuration = ConfigurationCore.create({ clock, readsPerSecond })
    this.instanceList = InstanceListCore.create({ clock, lagMs: listLagMs })
    this.weightStore = WeightStoreCore.create({ clock, fetchesPerMinute })
    this.targets = this.spec.pools.flatMap(pool => this.listPoolTargets(pool))
    this.engines = this.createCores('engine', target => this.createEngine(target))
    this.plainServices = this.createCores('plain', target => this.createPlainService(target))
  }

  /** Returns the targets, grouped by pool. */
  listTargets (): readonly PlannedTarget[] {
    return this.targets
  }

  /**
   * Adds the targets to the instance list and publishes the records of the deployment.
   * @param getUrl - Returns the URL of a target by its name.
   * @returns The revision of the records, or an error message if a record is too large.
   */
  publish (getUrl: (target: string) => string): Result<number, string> {
    const deployedTargets = this.targets.map(target => ({ ...target, url: getUrl(target.name) }))
    this.instanceList.setEntries(deployedTargets.map(createListedEntry))
    return this.configuration.publish(createRecordValues(this.spec, deployedTargets))
  }

  /**
   * Marks a target as leaving in its published state and in the instance list.
   * @param target - Name of the target.
   */
  setLeaving (target: string): void {
    this.engines.get(target)?.setLeaving()
    this.plainServices.get(target)?.setLeaving()
    this.instanceList.setState(target, 'leaving')
  }

  private listPoolTargets (pool: PoolSpec): PlannedTarget[] {
    const { availabilityZones, region } = this.spec
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
    const services = this.spec.services.filter(service => service.pool === pool.name)
    return EngineCore.create({
      clock: this.options.clock,
      random: this.random,
      targetName: name,
      models: services.flatMap(({ runs }) => runs === undefined ? [] : [runs]),
      isFencingEnforced: pool.isFencingEnforced,
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
