import { SeededRandom, type Random } from '@fescuespoke/common'
import { type Priority } from '@fescuespoke/schema'

/** Shape of the lengths of one service's outputs: log-normal. */
export interface OutputShape {
  readonly meanTokens: number
  /** Standard deviation of the logarithm. */
  readonly sigma: number
  readonly maxTokens: number
}

/** One service of a deployment. */
export interface MeasuredService {
  readonly name: string
  readonly kind: 'generation' | 'call'
  readonly priority: Priority
  readonly deadlineMs: number
  /** Share of all requests. */
  readonly share: number
  readonly promptTokens: number
  /** Length of the prompt prefix that a workspace's prompts share; 0 for none. */
  readonly prefixTokens: number
  /** Different prefixes of each workspace. */
  readonly prefixes: number
  readonly output: OutputShape
}

/** Figures of the engines of a deployment. */
export interface EngineFigures {
  readonly capacityTokens: number
  readonly maxSequences: number
  readonly stepBaseMs: number
  readonly stepSequenceMs: number
  readonly prefillTokenMs: number
  readonly prefixCacheTokens: number
}

/** One deployment: its machines, services and workspaces. */
export interface Deployment {
  readonly engines: number
  readonly plainTargets: number
  readonly instances: number
  readonly availabilityZones: number
  /** One-way time between availability zones. */
  readonly latencyMs: number
  readonly engine: EngineFigures
  readonly services: readonly MeasuredService[]
  /** Share of each workspace in the requests; also its weight. */
  readonly workspaceShares: readonly number[]
}

/** Name of a deployment. */
export type DeploymentName = 'association' | 'loVerde'

const ENGINE: EngineFigures = {
  capacityTokens: 32_768,
  maxSequences: 64,
  stepBaseMs: 18,
  stepSequenceMs: 0.35,
  prefillTokenMs: 0.02,
  prefixCacheTokens: 8192
}

const WORKSPACE_SHARES = [0.28, 0.2, 0.12, 0.09, 0.08, 0.07, 0.06, 0.05, 0.03, 0.02]

/** The two deployments at their sizes of today. */
export const DEPLOYMENTS: Record<DeploymentName, Deployment> = {
  association: {
    engines: 10,
    plainTargets: 0,
    instances: 8,
    availabilityZones: 3,
    latencyMs: 1,
    engine: ENGINE,
    workspaceShares: WORKSPACE_SHARES,
    services: [
      { name: 'itinerary', kind: 'generation', priority: 'normal', deadlineMs: 120_000, share: 0.6, promptTokens: 500, prefixTokens: 256, prefixes: 6, output: { meanTokens: 400, sigma: 0.9, maxTokens: 8000 } },
      { name: 'classification', kind: 'generation', priority: 'low', deadlineMs: 60_000, share: 0.15, promptTokens: 300, prefixTokens: 128, prefixes: 1, output: { meanTokens: 40, sigma: 0.5, maxTokens: 400 } },
      { name: 'confirmation', kind: 'generation', priority: 'high', deadlineMs: 15_000, share: 0.25, promptTokens: 150, prefixTokens: 64, prefixes: 2, output: { meanTokens: 40, sigma: 0.4, maxTokens: 200 } }
    ]
  },
  loVerde: {
    engines: 6,
    plainTargets: 3,
    instances: 6,
    availabilityZones: 3,
    latencyMs: 1.5,
    engine: ENGINE,
    workspaceShares: WORKSPACE_SHARES,
    services: [
      { name: 'lease', kind: 'generation', priority: 'normal', deadlineMs: 180_000, share: 0.25, promptTokens: 700, prefixTokens: 384, prefixes: 6, output: { meanTokens: 800, sigma: 0.8, maxTokens: 8000 } },
      { name: 'dispute', kind: 'generation', priority: 'normal', deadlineMs: 120_000, share: 0.15, promptTokens: 600, prefixTokens: 256, prefixes: 3, output: { meanTokens: 250, sigma: 0.7, maxTokens: 4000 } },
      { name: 'gate', kind: 'generation', priority: 'high', deadlineMs: 5000, share: 0.35, promptTokens: 60, prefixTokens: 32, prefixes: 1, output: { meanTokens: 12, sigma: 0.3, maxTokens: 48 } },
      { name: 'barrier', kind: 'call', priority: 'high', deadlineMs: 3000, share: 0.25, promptTokens: 0, prefixTokens: 0, prefixes: 1, output: { meanTokens: 0, sigma: 0, maxTokens: 1 } }
    ]
  }
}

/** What a deployment can serve. */
export interface Capacity {
  /** Requests of all services a second. */
  readonly requestsPerSecond: number
  /** Sequences that one engine holds at that rate. */
  readonly sequences: number
}

/** Share of the memory that the mean use may take at full capacity. */
const FULL_MEMORY_SHARE = 0.95

const MILLISECONDS = 1000

/** Draws for the means of one service's outputs, and their seed. */
const DRAWS = 20_000
const DRAW_SEED = 1

/** Means of one service's outputs. */
interface OutputMeans {
  readonly tokens: number
  readonly squares: number
}

/**
 * Computes the rate that the engines can serve in the long run, from the means of the work: the batch is bounded by
 * the largest batch, by the step within the token interval, and by the mean memory of a sequence beside the prefixes,
 * which sequences share.
 * @param deployment - The deployment.
 * @param services - Its services.
 * @param tokenIntervalMs - Longest decode step.
 */
export function computeCapacity (deployment: Deployment, services: readonly MeasuredService[], tokenIntervalMs: number): Capacity {
  const { engine } = deployment
  const generations = services.filter(service => service.kind === 'generation')
  const total = computeSum(services, service => service.share)
  const means = new Map(generations.map(service => [service, estimateMeans(service)]))
  const read = (service: MeasuredService): OutputMeans => means.get(service) as OutputMeans
  const steps = computeSum(generations, service => service.share * read(service).tokens) / total
  const prefill = computeSum(generations, service => service.share * service.promptTokens) / total
  const held = computeSum(generations, service => service.share * computeHeldTokens(service, read(service))) / total
  const prefixes = computeSum(generations, service => service.prefixTokens * service.prefixes) * deployment.workspaceShares.length
  const byMemory = (engine.capacityTokens * FULL_MEMORY_SHARE - Math.min(prefixes, engine.prefixCacheTokens)) / (held / steps)
  const byStep = (tokenIntervalMs - engine.stepBaseMs) / engine.stepSequenceMs
  const sequences = Math.floor(Math.min(engine.maxSequences, byMemory, byStep))
  const stepMs = engine.stepBaseMs + engine.stepSequenceMs * sequences
  const engineMs = steps * stepMs / sequences + prefill * engine.prefillTokenMs
  return { requestsPerSecond: deployment.engines * MILLISECONDS / engineMs, sequences }
}

/** Computes memory times steps of one answer, beside its prefix: the mean of L·prompt + L²/2. */
function computeHeldTokens (service: MeasuredService, means: OutputMeans): number {
  return means.tokens * (service.promptTokens - service.prefixTokens) + means.squares / 2
}

function estimateMeans (service: MeasuredService): OutputMeans {
  const random = SeededRandom.create(DRAW_SEED)
  const lengths = Array.from({ length: DRAWS }, () => pickOutputLength(service.output, random))
  return { tokens: computeSum(lengths, length => length) / DRAWS, squares: computeSum(lengths, length => length ** 2) / DRAWS }
}

/**
 * Draws the length of one output.
 * @param shape - Shape of the lengths.
 * @param random - Source of random numbers.
 */
export function pickOutputLength (shape: OutputShape, random: Random): number {
  const { meanTokens, sigma, maxTokens } = shape
  const normal = Math.sqrt(-2 * Math.log(1 - random.nextFloat())) * Math.cos(2 * Math.PI * random.nextFloat())
  const tokens = meanTokens * Math.exp(sigma * normal - sigma ** 2 / 2)
  return Math.max(1, Math.min(maxTokens, Math.round(tokens)))
}

function computeSum<T> (items: readonly T[], read: (item: T) => number): number {
  return items.reduce((sum, item) => sum + read(item), 0)
}
