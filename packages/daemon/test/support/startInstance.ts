import { createValidator, type Settings } from '@fescuespoke/schema'
import { type DeploymentSpec, type Platform, startPlatform } from '@fescuespoke/standins'
import { Instance } from '../../src/index.js'

const DEPLOYMENT_SPEC: DeploymentSpec = {
  region: 'r',
  availabilityZones: ['a'],
  pools: [
    { name: 'engines', kind: 'engine', targets: 2, schemaVersion: 2 },
    { name: 'plain', kind: 'plain', targets: 1, schemaVersion: 1 }
  ],
  services: [
    { name: 'streamed', pool: 'engines', schemaVersion: 2, runs: { model: 'm' }, priority: 'normal', idempotent: true, delivery: 'stream', deadlineMs: 60_000 },
    { name: 'charge', pool: 'plain', schemaVersion: 1, priority: 'high', idempotent: false, delivery: 'whole', deadlineMs: 20_000 }
  ],
  workspaces: [{ name: 'w', weight: 1, schemaVersion: 2 }]
}

const checkSettings = createValidator<Settings>('settings', 'Settings')

/** Running instances and their platform. */
export interface RunningFleet {
  readonly platform: Platform
  readonly instances: readonly Instance[]
  close(): Promise<void>
}

/** Starts a small platform and instances that listen on free ports. */
export async function startFleet (count: number, requests: Partial<Settings['requests']> = {}): Promise<RunningFleet> {
  const platform = await startPlatform({ spec: DEPLOYMENT_SPEC, engine: { computeOutputTokens: ({ prompt }) => Number(prompt) } })
  const instances = Array.from({ length: count }, (_, index) => Instance.create({ settings: createSettings(platform, `i${index + 1}`, requests) }))
  for (const instance of instances) (await instance.start()).unwrapOrElse(error => { throw new Error(error) })
  platform.deployment.instanceList.setEntries(instances.map((instance, index) => ({
    id: `i${index + 1}`, role: 'entry', state: 'live', url: instance.getUrl(), peerAddress: instance.getPeerAddress(), availabilityZone: 'a', region: 'r'
  })))
  await Promise.all(instances.map(async instance => await instance.waitUntilReady()))
  const close = async (): Promise<void> => {
    await Promise.all(instances.map(async instance => await instance.stop()))
    await platform.close()
  }
  return { platform, instances, close }
}

function createSettings (platform: Platform, id: string, requests: Partial<Settings['requests']>): Settings {
  const checked = checkSettings({
    instance: { id, availabilityZone: 'a', region: 'r', fleet: 'test', fleetKey: 'key of the test fleet' },
    platform: { configurationUrl: platform.configuration.url, instanceListUrl: platform.instanceList.url },
    requests: { addressValidityMs: 100, heartbeatMs: 100, maxBodyBytes: 2048, ...requests },
    peers: {},
    scheduling: {},
    log: {}
  })
  return checked.unwrapOrElse(problems => { throw new Error(JSON.stringify(problems)) })
}
