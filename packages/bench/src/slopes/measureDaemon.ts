import { mkdtemp, rm } from 'node:fs/promises'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { Caller } from '@fescuespoke/caller'
import { type MetricsReading } from '@fescuespoke/schema'
import { type DeploymentShape, type Platform, startPlatform } from '@fescuespoke/standins'
import { request } from 'undici'
import { DaemonProcess } from '../demo/DaemonProcess.js'
import { fitSlope, type Slope, type SlopeValue } from './Slope.js'

/** Numbers of requests of one token each, and of tokens in one answer. */
const REQUEST_COUNTS = [200, 400, 800, 1600]
const TOKEN_COUNTS = [2000, 4000, 8000, 16_000]

/** Numbers of targets that one instance observes. */
const TARGET_COUNTS = [4, 8, 16, 32]

const IDLE_MS = 5000
const PARALLEL_ANSWERS = 10

/** One daemon before a platform. */
interface Stage {
  readonly platform: Platform
  readonly daemon: DaemonProcess
}

/** What a daemon has used since it started. */
interface Usage {
  readonly cpuMs: number
  readonly controlBytes: number
  readonly residentBytes: number
}

/** Measures one daemon in a process of its own: relaying, requests, and the cost of observing targets while idle. */
export async function measureDaemon (): Promise<Slope[]> {
  const work = await withStage(4, async stage => [
    await measureWork(stage, 'requestCpu', 'request of one token', REQUEST_COUNTS, async (caller, size) => await generate(caller, size, 1)),
    await measureWork(stage, 'tokenCpu', 'token', TOKEN_COUNTS, async (caller, size) => await generate(caller, PARALLEL_ANSWERS, size / PARALLEL_ANSWERS))
  ])
  return [...work, ...await measureIdle()]
}

async function measureWork (
  stage: Stage, name: string, per: string, sizes: readonly number[], run: (caller: Caller, size: number) => Promise<void>
): Promise<Slope> {
  const caller = Caller.create({ bootstrapUrls: [stage.daemon.addresses.url], workspace: 'w' })
  await run(caller, sizes[0] ?? 0)
  const points: SlopeValue[] = []
  for (const size of sizes) {
    const before = await readUsage(stage.daemon)
    await run(caller, size)
    const after = await readUsage(stage.daemon)
    points.push({ size, value: after.cpuMs - before.cpuMs })
  }
  await caller.close()
  return fitSlope({ name, unit: 'milliseconds', per, points })
}

async function generate (caller: Caller, answers: number, tokens: number): Promise<void> {
  let left = answers
  const runNext = async (): Promise<void> => {
    while (left-- > 0) {
      const { outcome } = await caller.generate({ service: 's', prompt: String(tokens) }).wait()
      if (outcome !== 'complete') throw new Error(`an answer of the measurement ended as ${outcome}`)
    }
  }
  await Promise.all(Array.from({ length: PARALLEL_ANSWERS }, runNext))
}

async function measureIdle (): Promise<Slope[]> {
  const usages: Array<{ readonly size: number, readonly usage: Usage }> = []
  for (const size of TARGET_COUNTS) {
    usages.push(await withStage(size, async ({ daemon }) => {
      await waitMs(IDLE_MS)
      const before = await readUsage(daemon)
      await waitMs(IDLE_MS)
      const after = await readUsage(daemon)
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
  const createSlope = (name: string, unit: string, field: keyof Usage): Slope =>
    fitSlope({ name, unit, per: 'observed target', points: usages.map(({ size, usage }) => ({ size, value: usage[field] })) })
  return [
    createSlope('idleCpu', 'milliseconds a second', 'cpuMs'),
    createSlope('idleControl', 'bytes a second', 'controlBytes'),
    createSlope('idleResident', 'bytes', 'residentBytes')
  ]
}

async function withStage<T> (engines: number, run: (stage: Stage) => Promise<T>): Promise<T> {
  const folder = await mkdtemp(join(tmpdir(), 'fescuespoke-'))
  const platform = await startPlatform({
    shape: createShape(engines),
    engine: { computeOutputTokens: ({ prompt }) => Number(prompt), stepBaseMs: 1, stepSequenceMs: 0, capacityTokens: 1_000_000 }
  })
  const daemon = await startDaemon(platform, folder)
  try {
    return await run({ platform, daemon })
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
      platform: { configurationUrl: platform.configuration.url, instanceListUrl: platform.instances.url },
      requests: { maxRequests: 100_000 },
      scheduling: { targetsPerInstance: 64, maxPollsPerSecond: 1000 }
    }
  })
  platform.deployment.instances.setEntries([{
    id: 'entry-1', role: 'entry', state: 'live', url: daemon.addresses.url, peerAddress: daemon.addresses.peerAddress, availabilityZone: 'a', region: 'r'
  }])
  while ((await request(`${daemon.addresses.operatorUrl}/health`)).statusCode !== 200) await waitMs(20)
  return daemon
}

function createShape (engines: number): DeploymentShape {
  return {
    region: 'r',
    availabilityZones: ['a'],
    pools: [{ name: 'p', kind: 'engine', targets: engines, schemaVersion: 2 }],
    services: [{ name: 's', pool: 'p', schemaVersion: 2, runs: { model: 'm' }, priority: 'normal', idempotent: true, delivery: 'stream', deadlineMs: 600_000 }],
    workspaces: [{ name: 'w', weight: 1, schemaVersion: 2 }]
  }
}

async function readUsage ({ addresses }: DaemonProcess): Promise<Usage> {
  const response = await request(`${addresses.operatorUrl}/v1/metrics`)
  const { metrics } = await response.body.json() as MetricsReading
  const sum = (name: string): number =>
    metrics.filter(metric => metric.name === name).flatMap(metric => metric.series).reduce((total, series) => total + (series.value ?? 0), 0)
  return { cpuMs: sum('processorTime'), controlBytes: sum('controlBytes'), residentBytes: sum('residentBytes') }
}

async function waitMs (durationMs: number): Promise<void> {
  await new Promise(resolve => setTimeout(resolve, durationMs))
}
