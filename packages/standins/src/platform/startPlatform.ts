import { type Clock, SystemClock } from '@fescuespoke/common'
import { ConfigurationServer } from '../configuration/ConfigurationServer.js'
import { EngineServer } from '../engine/EngineServer.js'
import { InstanceListServer } from '../instances/InstanceListServer.js'
import { PlainServiceServer } from '../service/PlainServiceServer.js'
import { WeightStoreServer } from '../weights/WeightStoreServer.js'
import { Deployment, type DeploymentOptions } from './Deployment.js'

/** Options of a platform. */
export interface PlatformOptions extends Omit<DeploymentOptions, 'clock'> {
  /** Clock of all components; if absent, the system clock. */
  readonly clock?: Clock
}

/** Deployment with listening HTTP servers for all its components. */
export interface Platform {
  readonly deployment: Deployment
  readonly configuration: ConfigurationServer
  readonly instanceList: InstanceListServer
  readonly weightStore: WeightStoreServer
  /** Engines by target name. */
  readonly engines: ReadonlyMap<string, EngineServer>
  /** Plain services by target name. */
  readonly plainServices: ReadonlyMap<string, PlainServiceServer>
  /** Closes all ports and connections. */
  close(): Promise<void>
}

/**
 * Starts the platform and all targets of a deployment on ports chosen by the system and publishes the records.
 * @param options - Options of the platform.
 */
export async function startPlatform (options: PlatformOptions = {}): Promise<Platform> {
  const clock = options.clock ?? SystemClock.create()
  const deployment = Deployment.create({ ...options, clock })
  const configuration = await ConfigurationServer.create({ core: deployment.configuration, clock })
  const instanceList = await InstanceListServer.create({ core: deployment.instanceList, clock })
  const weightStore = await WeightStoreServer.create({ core: deployment.weightStore, clock })
  const engines = await startServers(deployment.engines, async core => await EngineServer.create({ core, clock }))
  const plainServices = await startServers(deployment.plainServices, async core => await PlainServiceServer.create({ core, clock }))
  const targets = new Map<string, EngineServer | PlainServiceServer>([...engines, ...plainServices])
  deployment.publish(target => targets.get(target)?.url ?? '')
  const close = async (): Promise<void> => {
    await Promise.all([configuration, instanceList, weightStore, ...targets.values()].map(async server => await server.close()))
  }
  return { deployment, configuration, instanceList, weightStore, engines, plainServices, close }
}

async function startServers<C, S> (cores: ReadonlyMap<string, C>, start: (core: C) => Promise<S>): Promise<Map<string, S>> {
  const servers = new Map<string, S>()
  for (const [name, core] of cores) servers.set(name, await start(core))
  return servers
}
