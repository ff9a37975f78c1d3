import { mkdtemp, rm } from 'node:fs/promises'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { type InstanceStatus } from '@fescuespoke/schema'
import { type DeploymentName, type Platform, startPlatform } from '@fescuespoke/standins'
import { request } from 'undici'
import { DaemonProcess } from './DaemonProcess.js'
import { LoadGenerator, parseAnswerTokens } from './LoadGenerator.js'
import { ResultChecker, type DemoCounts } from './ResultChecker.js'

/** Number of daemons, which are distributed evenly over the availability zones. */
const DAEMON_COUNT = 6

/** Time between two injected failures. */
const STEP_INTERVAL_MS = 1500

/** Maximum time to wait until a revision is in force at every running instance. */
const PROPAGATION_TIMEOUT_MS = 30_000

/** Result of one demo. */
export interface DemoResult extends DemoCounts {
  /** Time until an amended record was in force at every running instance, in seconds. */
  readonly configurationSeconds: number
  /** Descriptions of the violations. */
  readonly violations: readonly string[]
}

/** Platform and daemons of a demo. */
interface DemoContext {
  readonly platform: Platform
  readonly daemons: readonly DaemonProcess[]
}

/**
 * Runs a deployment with real daemons under load, injects failures of daemons and targets and checks the results.
 * @param deploymentName - Name of the deployment.
 */
export async function runDemo (deploymentName: DeploymentName): Promise<DemoResult> {
  const folder = await mkdtemp(join(tmpdir(), 'fescuespoke-'))
  const platform = await startPlatform({ spec: deploymentName, engine: { computeOutputTokens: spec => parseAnswerTokens(spec.prompt) } })
  const daemons = await startDaemons(platform, folder)
  try {
    return await runSteps({ platform, daemons })
  } finally {
    for (const daemon of daemons) daemon.sendSignal('SIGKILL')
    await Promise.all(daemons.map(async daemon => await daemon.waitForExit()))
    await platform.close()
    await rm(folder, { recursive: true })
  }
}

async function startDaemons (platform: Platform, folder: string): Promise<DaemonProcess[]> {
  const { availabilityZones, region } = platform.deployment.spec
  const daemons = await Promise.all(Array.from({ length: DAEMON_COUNT }, async (_, index) => await DaemonProcess.start({
    folder,
    settings: {
      instance: {
        id: `entry-${index + 1}`,
        availabilityZone: availabilityZones[index % availabilityZones.length],
        region,
        fleet: 'demo',
        fleetKey: 'key of the demo fleet'
      },
      platform: { configurationUrl: platform.configuration.url, instanceListUrl: platform.instanceList.url },
      requests: { addressValidityMs: 1000 }
    }
  })))
  platform.deployment.instanceList.setEntries(daemons.map(({ name, addresses }, index) => ({
    id: name,
    role: 'entry',
    state: 'live',
    url: addresses.url,
    peerAddress: addresses.peerAddress,
    availabilityZone: availabilityZones[index % availabilityZones.length],
    region
  })))
  await Promise.all(daemons.map(waitUntilReady))
  return daemons
}

async function runSteps (context: DemoContext): Promise<DemoResult> {
  const resultChecker = ResultChecker.create()
  const { platform, daemons } = context
  const bootstrapUrls = daemons.map(({ addresses }) => addresses.url)
  const loadGenerator = LoadGenerator.start({ spec: platform.deployment.spec, bootstrapUrls, resultChecker, seed: 1, concurrentRequestsPerWorkspace: 4 })
  for (const step of FAILURE_STEPS) {
    await waitMs(STEP_INTERVAL_MS)
    await step(context)
  }
  const configurationSeconds = await measurePropagationSeconds(context)
  await loadGenerator.stop()
  const counts = resultChecker.computeCounts(listExecutedCalls(platform))
  return { ...counts, configurationSeconds, violations: resultChecker.listViolations() }
}

/** Injected failures, in order. */
const FAILURE_STEPS: ReadonlyArray<(context: DemoContext) => Promise<void>> = [
  async ({ daemons }) => daemons[0]?.sendSignal('SIGKILL'),
  async ({ daemons }) => {
    daemons[1]?.sendSignal('SIGSTOP')
    await waitMs(2 * STEP_INTERVAL_MS)
    daemons[1]?.sendSignal('SIGCONT')
  },
  async ({ platform }) => await [...platform.engines.values()][0]?.kill(),
  async ({ platform }) => platform.deployment.setLeaving([...platform.engines.keys()][1] ?? ''),
  async ({ platform, daemons }) => {
    platform.deployment.instanceList.setState(daemons[2]?.name ?? '', 'leaving')
    daemons[2]?.sendSignal('SIGTERM')
    await daemons[2]?.waitForExit()
  }
]

/** Amends a record and returns the seconds until every running daemon has accepted the revision, or the timeout. */
async function measurePropagationSeconds ({ platform, daemons }: DemoContext): Promise<number> {
  const revision = platform.deployment.configuration.setValue('demo/added', JSON.stringify({
    schemaVersion: 2,
    kind: 'workspace',
    name: 'added',
    weight: 1
  }))
  const startMs = performance.now()
  const runningDaemons = daemons.filter(daemon => daemon.isRunning())
  const expectedRevision = revision.unwrapOr(0)
  while (performance.now() - startMs < PROPAGATION_TIMEOUT_MS) {
    const instanceStatuses = await Promise.all(runningDaemons.map(fetchStatus))
    if (instanceStatuses.every(status => status.revision >= expectedRevision)) return Math.round(performance.now() - startMs) / 1000
    await waitMs(20)
  }
  return PROPAGATION_TIMEOUT_MS / 1000
}

async function waitUntilReady (daemon: DaemonProcess): Promise<void> {
  while ((await fetchStatus(daemon)).phase !== 'ready') await waitMs(20)
}

async function fetchStatus ({ addresses }: DaemonProcess): Promise<InstanceStatus> {
  const response = await request(`${addresses.operatorUrl}/v1/status`)
  return await response.body.json() as InstanceStatus
}

function listExecutedCalls (platform: Platform): string[] {
  const services = [...platform.deployment.plainServices.values()]
  return services.flatMap(service => service.listCalls().map(({ body }) => (body as { name: string }).name))
}

async function waitMs (durationMs: number): Promise<void> {
  await new Promise(resolve => setTimeout(resolve, durationMs))
}
