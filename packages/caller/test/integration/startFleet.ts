import { Instance, parseSettings } from '@fescuespoke/daemon'
import { type DeploymentSpec, type Platform, startPlatform } from '@fescuespoke/standins'
import { type Dispatcher } from 'undici'
import { Caller } from '../../src/index.js'
import { CallerProxy } from './CallerProxy.js'

/** Number of tokens in each generation. */
export const OUTPUT_TOKENS = 120

const DEPLOYMENT_SPEC: DeploymentSpec = {
  region: 'r',
  availabilityZones: ['z1', 'z2', 'z3'],
  pools: [
    { name: 'engines', kind: 'engine', targets: 2, schemaVersion: 2 },
    { name: 'gates', kind: 'plain', targets: 1, schemaVersion: 1 }
  ],
  services: [
    { name: 'draft', pool: 'engines', schemaVersion: 2, runs: { model: 'm' }, priority: 'normal', idempotent: true, delivery: 'stream', deadlineMs: 60_000 },
    { name: 'gate', pool: 'gates', schemaVersion: 1, priority: 'high', idempotent: false, delivery: 'whole', deadlineMs: 10_000 }
  ],
  workspaces: [{ name: 'garage-1', weight: 1, schemaVersion: 2 }]
}

/** Instances of one fleet with their platform and a caller. */
export interface Fleet {
  readonly platform: Platform
  readonly instances: readonly Instance[]
  /** Proxy between the caller and the instances. */
  readonly proxy: CallerProxy
  readonly caller: Caller
  /** Returns the instance that owns a request, given the id of the request. */
  readonly findOwner: (request: string) => Instance
  readonly stop: () => Promise<void>
}

/** Starts three instances, one in each availability zone. */
export async function startFleet (): Promise<Fleet> {
  const platform = await startPlatform({ spec: DEPLOYMENT_SPEC, engine: { stepBaseMs: 4, computeOutputTokens: () => OUTPUT_TOKENS } })
  const instances = DEPLOYMENT_SPEC.availabilityZones.map((zone, index) => createInstance(platform, `i${index + 1}`, zone))
  for (const instance of instances) await instance.start()
  platform.deployment.instanceList.setEntries(instances.map((instance, index) => ({
    id: `i${index + 1}`,
    role: 'entry',
    state: 'live',
    url: instance.getUrl(),
    peerAddress: instance.getPeerAddress(),
    availabilityZone: DEPLOYMENT_SPEC.availabilityZones[index],
    region: DEPLOYMENT_SPEC.region
  })))
  for (const instance of instances) await instance.waitUntilReady()
  const bootstrapUrls = instances.map(instance => instance.getUrl())
  const proxy = CallerProxy.create()
  const createDispatcher = (): Dispatcher => proxy.createDispatcher()
  const caller = Caller.create({ bootstrapUrls, workspace: 'garage-1', silenceMs: 300, createDispatcher })
  const stop = async (): Promise<void> => {
    await caller.close()
    await proxy.stop()
    for (const instance of instances) await instance.stop()
    await platform.close()
  }
  const findOwner = (request: string): Instance => instances[Number(request.charAt(1)) - 1] as Instance
  return { platform, instances, proxy, caller, findOwner, stop }
}

function createInstance (platform: Platform, id: string, availabilityZone: string): Instance {
  const settings = parseSettings([
    '[instance]',
    `id = ${id}`,
    `availabilityZone = ${availabilityZone}`,
    'region = r',
    'fleet = test',
    'fleetKey = 0123456789abcdef',
    '[platform]',
    `configurationUrl = ${platform.configuration.url}`,
    `instanceListUrl = ${platform.instanceList.url}`,
    '[requests]',
    'addressValidityMs = 100',
    'heartbeatMs = 50',
    'drainMs = 0'
  ].join('\n'))
  if (settings.isErr) throw new Error(settings.error.join('; '))
  return Instance.create({ settings: settings.value })
}
