import { pickIndex, type Random } from '@fescuespoke/common'
import { sampleOutputLength, type ServiceWorkload } from './deployments.js'
import { type Burst, type Scenario } from './scenarios.js'

/** One request of a run. All policies receive the same requests. */
export interface Arrival {
  readonly id: string
  readonly atMs: number
  readonly workspaceIndex: number
  readonly service: ServiceWorkload
  readonly promptTokens: number
  /** Length of the answer, which is not visible to the policies. */
  readonly outputTokens: number
  /** Index of the prompt prefix among those of the workspace. */
  readonly prefixIndex: number
  /** Index of the sending caller among those of the workspace. */
  readonly callerIndex: number
}

/** Number of callers of each workspace. */
export const CALLERS_PER_WORKSPACE = 4

const MS_PER_SECOND = 1000

/** Prompt lengths are uniformly distributed from 0.6 to 1.4 of the mean length. */
const MIN_PROMPT_SHARE = 0.6
const PROMPT_SHARE_RANGE = 0.8

/**
 * Generates the arrivals of a run as a Poisson process and picks a workspace, a service and lengths for each arrival.
 * @param scenario - The scenario.
 * @param requestsPerSecond - Mean rate outside a burst.
 * @param random - Source of random numbers.
 */
export function generateArrivals (scenario: Scenario, requestsPerSecond: number, random: Random): Arrival[] {
  const arrivals: Arrival[] = []
  const { warmUpMs, measuredMs, drainMs } = scenario.phases
  const endMs = warmUpMs + measuredMs + drainMs
  const burstFactor = scenario.burst?.factor ?? 1
  const peakShares = scenario.deployment.workspaceShares.map((share, workspaceIndex) => workspaceIndex === scenario.burst?.workspaceIndex ? share * burstFactor : share)
  const peakRatePerMs = requestsPerSecond * computeSum(peakShares) / MS_PER_SECOND
  for (let atMs = sampleInterarrivalMs(random, peakRatePerMs); atMs < endMs; atMs += sampleInterarrivalMs(random, peakRatePerMs)) {
    const workspaceIndex = sampleIndexByShare(peakShares, random)
    const isKept = random.nextFloat() * burstFactor < computeRateFactor(scenario.burst, workspaceIndex, atMs, burstFactor)
    const arrival = createArrival(scenario, arrivals.length, atMs, workspaceIndex, random)
    if (isKept) arrivals.push(arrival)
  }
  return arrivals
}

/**
 * Computes the rate factor of a workspace at a time, for thinning: arrivals of the workspace with the burst are
 * generated at its peak rate, and most of those outside the burst are dropped.
 */
function computeRateFactor (burst: Burst | undefined, workspaceIndex: number, atMs: number, burstFactor: number): number {
  if (burst === undefined || workspaceIndex !== burst.workspaceIndex) return burstFactor
  return atMs >= burst.fromMs && atMs < burst.toMs ? burstFactor : 1
}

function createArrival (scenario: Scenario, index: number, atMs: number, workspaceIndex: number, random: Random): Arrival {
  const shares = scenario.services.map(service => service.share)
  const service = scenario.services[sampleIndexByShare(shares, random)] as ServiceWorkload
  const promptShare = MIN_PROMPT_SHARE + PROMPT_SHARE_RANGE * random.nextFloat()
  return {
    id: `r${index}`,
    atMs,
    workspaceIndex,
    service,
    promptTokens: Math.max(service.prefixTokens + 1, Math.round(service.promptTokens * promptShare)),
    prefixIndex: pickIndex(random, service.prefixesPerWorkspace),
    outputTokens: sampleOutputLength(service.outputLength, random),
    callerIndex: pickIndex(random, CALLERS_PER_WORKSPACE)
  }
}

function sampleInterarrivalMs (random: Random, ratePerMs: number): number {
  return -Math.log(1 - random.nextFloat()) / ratePerMs
}

function sampleIndexByShare (shares: readonly number[], random: Random): number {
  let remaining = random.nextFloat() * computeSum(shares)
  for (const [index, share] of shares.entries()) {
    remaining -= share
    if (remaining < 0) return index
  }
  return shares.length - 1
}

function computeSum (values: readonly number[]): number {
  return values.reduce((sum, value) => sum + value, 0)
}
