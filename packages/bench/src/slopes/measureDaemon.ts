import { mkdtemp, rm } from 'node:fs/promises'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { Caller } from '@fescuespoke/caller'
import { type MetricsReading } from '@fescuespoke/schema'
import { type DeploymentSpec, type Platform, startPlatform } from '@fescuespoke/standins'
import { request } from 'undici'
import { DaemonProcess } from '../demo/DaemonProcess.js'
import { fitLine, type LinearFit, type DataPoint } from './LinearFit.js'

/** Numbers of one-token requests, and total numbers of tokens of the concurrent answers. */
const REQUEST_COUNTS = [200, 400, 800, 1600]
const TOKEN_COUNTS = [2000, 4000, 8000, 16_000]

/** Numbers of targets that one instance observes. */
const TARGET_COUNTS = [4, 8, 16, 32]

const IDLE_MS = 5000
const CONCURRENT_ANSWERS = 10

/** A platform and one daemon that relays requests to its targets. */
interface DaemonEnvironment {
  readonly platform: Platform
  readonly daemon: DaemonProcess
}

/** Resources that a daemon has used since it started, and its current resident memory. */
interface ResourceUsage {
  readonly cpuMs: number
  readonly controlBytes: number
  readonly residentBytes: number
}

/** Measures a daemon in a separate process: the cost of requests and tokens, and of observing targets while idle. */
export async function measureDaemon (): Promise<LinearFit[]> {
  const workFits = await runWithDaemon(4, async environment => [
    await measureWorkCpu(environment, 'requestCpu', 'request of one token', REQUEST_COUNTS, async (caller, size) => await generate(caller, size, 1)),
    await measureWorkCpu(environment, 'tokenCpu', 'token', TOKEN_COUNTS, async (caller, size) => await generate(caller, CONCURRENT_ANSWERS, size / CONCURRENT_ANSWERS))
  ])
  return [...workFits, ...await measureIdle()]
}

async function measureWorkCpu (
  environment: DaemonEnvironment, name: string, per: string, sizes: readonly number[], runWork: (caller: Caller, size: number) => Promise<void>
): Promise<LinearFit> {
  const caller = Caller.create({ bootstrapUrls: [environment.daemon.addresses.url], workspace: 'w' })
  await runWork(caller, sizes[0] ?? 0)
  const points: DataPoint[] = []
  for (const size of sizes) {
    const before = await fetchUsage(environment.daemon)
    await runWork(caller, size)
    const after = await fetchUsage(environment.daemon)
    points.push({ size, value: after.cpuMs - before.cpuMs })
  }
  await caller.close()
  return fitLine({ name, unit: 'milliseconds', per, points })
}

async function generate (caller: Caller, answerCount: number, tokensPerAnswer: number): Promise<void> {
  let remaining = answerCount
  const runNext = async (): Promise<void> => {
    while (remaining-- > 0) {
      const { outcome } = await caller.generate({ service: 's', prompt: String(tokensPerAnswer) }).wait()
      if (outcome !== 'complete') throw new Error(`a measured generation ended with outcome ${outcome}`)
    }
  }
  await Promise.all(Array.from({ length: CONCURRENT_ANSWERS }, runNext))
}

async function measureIdle (): Promise<LinearFit[]> {
  const usages: Array<{ readonly size: number, readonly usage: ResourceUsage }> = []
  for (const size of TARGET_COUNTS) {
    usages.push(await runWithDaemon(size, async ({ daemon }) => {
      await waitMs(IDLE_MS)
      const before = await fetchUsage(daemon)
      await waitMs(IDLE_MS)
      const after = await fetchUsage(daemon)
      const seconds = IDLE_MS / 1000
      return {
        size,
        usage: {
          cpuMs: (after.cpuMs - before.cpuMs) / seconds,
          controlBytes: (after.controlBytes - before.controlBytes) / seconds,
          residentBytes: after.residentBytes
        }
      }
    }))
  }
  const fitField = (name: string, unit: string, field: keyof ResourceUsage): LinearFit =>
    fitLine({ name, unit, per: 'observed target', points: usages.map(({ size, usage }) => ({ size, value: usage[field] })) })
  return [
    fitField('idleCpu', 'milliseconds a second', 'cpuMs'),
    fitField('idleControl', 'bytes a second', 'controlBytes'),
    fitField('idleResident', 'bytes', 'residentBytes')
  ]
}

async function runWithDaemon<T> (engineCount: number, measure: (environment: DaemonEnvironment) => Promise<T>): Promise<T> {
  const folder = await mkdtemp(join(tmpdir(), 'fescuespoke-'))
  const platform = await startPlatform({
    spec: createDeploymentSpec(engineCount),
    engine: { computeOutputTokens: ({ prompt }) => Number(prompt), stepBaseMs: 1, stepSequenceMs: 0, capacityTokens: 1_000_000 }
  })
  const daemon = await startDaemon(platform, folder)
  try {
    return await measure({ platform, daemon })
  } finally {
    daemon.sendSignal('SIGKILL')
    await daemon.waitForExit()
    await platform.close()
    await rm(folder, { recursive: true })
  }
}

async function startDaemon (platform: Platform, folder: string): Promise<DaemonProcess> {
  const daemon = await DaemonProcess.start({
    folder,
    settings: {
      instance: { id: 'entry-1', availabilityZone: 'a', region: 'r', fleet: 'slopes', fleetKey: 'key of the slopes' },
      platform: { configurationUrl: platform.configuration.url, instanceListUrl: platform.instanceList.url },
      requests: { maxRequests: 100_000 },
      scheduling: { targetsPerInstance: 64, maxPollsPerSecond: 1000 }
    }
  })
  platform.deployment.instanceList.setEntries([{
    id: 'entry-1', role: 'entry', state: 'live', url: daemon.addresses.url, peerAddress: daemon.addresses.peerAddress, availabilityZone: 'a', region: 'r'
  }])
  while ((await request(`${daemon.addresses.operatorUrl}/health`)).statusCode !== 200) await waitMs(20)
  return daemon
}

function createDeploymentSpec (engineCount: number): DeploymentSpec {
  return {
    region: 'r',
    availabilityZones: ['a'],
    pools: [{ name: 'p', kind: 'engine', targets: engineCount, schemaVersion: 2 }],
    services: [{ name: 's', pool: 'p', schemaVersion: 2, runs: { model: 'm' }, priority: 'normal', idempotent: true, delivery: 'stream', deadlineMs: 600_000 }],
    workspaces: [{ name: 'w', weight: 1, schemaVersion: 2 }]
  }
}

async function fetchUsage ({ addresses }: DaemonProcess): Promise<ResourceUsage> {
  const response = await request(`${addresses.operatorUrl}/v1/metrics`)
  const { metrics } = await response.body.json() as MetricsReading
  const sum = (name: string): number =>
    metrics.filter(metric => metric.name === name).flatMap(metric => metric.series).reduce((total, series) => total + (series.value ?? 0), 0)
  return { cpuMs: sum('processorTime'), controlBytes: sum('controlBytes'), residentBytes: sum('residentBytes') }
}

async function waitMs (durationMs: number): Promise<void> {
  await new Promise(resolve => setTimeout(resolve, durationMs))
}
