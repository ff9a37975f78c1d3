import { DEPLOYMENTS, type SimulatedDeployment, type SimulatedDeploymentName, type ServiceWorkload } from './deployments.js'

/** Kind of an injected fault. */
export type FaultKind = 'slowEngine' | 'killEngine' | 'reclaimEngine' | 'stopAvailabilityZone' | 'pauseInstance' | 'partitionFleet'

/** An injected fault. */
export interface Fault {
  /** Time from the start of the run. */
  readonly atMs: number
  readonly kind: FaultKind
  /** Duration of the fault; absent if it is permanent. */
  readonly durationMs?: number
  /** Index of the engine, instance or availability zone. */
  readonly index: number
}

/** Burst of requests of one workspace. */
export interface Burst {
  readonly workspaceIndex: number
  readonly factor: number
  readonly fromMs: number
  readonly toMs: number
}

/** Phases of a run, in order. */
export interface RunPhases {
  /** Duration of the warm-up, whose requests are not counted. */
  readonly warmUpMs: number
  /** Duration of the measurement window, in which the counted requests arrive. */
  readonly measuredMs: number
  /** Time after the window in which counted answers may end; requests continue to arrive. */
  readonly drainMs: number
}

/** A scenario that policies are measured in. */
export interface Scenario {
  readonly deployment: SimulatedDeployment
  readonly services: readonly ServiceWorkload[]
  /** Request rate as a share of the capacity. */
  readonly load: number
  readonly faults: readonly Fault[]
  readonly burst?: Burst
  readonly loadLagMs: number
  readonly eventLossRate: number
  readonly phases: RunPhases
}

const DEFAULT_PHASES: RunPhases = { warmUpMs: 30_000, measuredMs: 60_000, drainMs: 30_000 }

/** Answers of tens of thousands of tokens take minutes, so it takes longer until the load is steady. */
const LONG_PHASES: RunPhases = { warmUpMs: 180_000, measuredMs: 60_000, drainMs: 60_000 }

const FAULT_START_MS = DEFAULT_PHASES.warmUpMs + 15_000
const LOAD_LAG_MS = 500
const LONG_LOAD_LAG_MS = 5000
const SECOND_RECLAIM_DELAY_MS = 5000

function createScenario (name: SimulatedDeploymentName, load: number, overrides: Partial<Scenario> = {}): Scenario {
  const deployment = DEPLOYMENTS[name]
  return { deployment, services: deployment.services, load, faults: [], loadLagMs: LOAD_LAG_MS, eventLossRate: 0, phases: DEFAULT_PHASES, ...overrides }
}

function createFault (kind: FaultKind, index: number, durationMs?: number, delayMs = 0): Fault {
  return { atMs: FAULT_START_MS + delayMs, kind, index, durationMs }
}

/** Services with output lengths from a few tokens to tens of thousands. */
const HEAVY_TAIL_SERVICES: readonly ServiceWorkload[] = DEPLOYMENTS.association.services.map(service =>
  service.name === 'itinerary'
    ? { ...service, deadlineMs: 1_800_000, outputLength: { meanTokens: 500, sigma: 1.5, maxTokens: 20_000 } }
    : service)

/** Scenarios by name. With a fault, the load leaves the remaining fleet at about 95% of its capacity. */
export const SCENARIOS: Readonly<Record<string, Scenario>> = {
  'steady-60': createScenario('association', 0.6),
  'steady-80': createScenario('association', 0.8),
  'steady-95': createScenario('association', 0.95),
  'steady-120': createScenario('association', 1.2),
  'heavy-tail': createScenario('association', 0.95, { services: HEAVY_TAIL_SERVICES, phases: LONG_PHASES }),
  burst: createScenario('association', 0.75, { burst: { workspaceIndex: 5, factor: 10, fromMs: FAULT_START_MS, toMs: FAULT_START_MS + 20_000 } }),
  'slow-target': createScenario('association', 0.8, { faults: [createFault('slowEngine', 2)] }),
  'target-killed': createScenario('association', 0.85, { faults: [createFault('killEngine', 3)] }),
  'target-reclaimed': createScenario('association', 0.77, {
    faults: [createFault('reclaimEngine', 1), createFault('reclaimEngine', 4, undefined, SECOND_RECLAIM_DELAY_MS)]
  }),
  'zone-lost': createScenario('association', 0.66, { faults: [createFault('stopAvailabilityZone', 1)] }),
  'cache-events-lost': createScenario('association', 0.95, { eventLossRate: 0.3 }),
  'load-lag': createScenario('association', 0.95, { loadLagMs: LONG_LOAD_LAG_MS }),
  'instance-paused': createScenario('association', 0.9, {
    faults: [createFault('pauseInstance', 0, 5000), createFault('pauseInstance', 3, 8000, 10_000)]
  }),
  split: createScenario('association', 0.95, { faults: [createFault('partitionFleet', 0, 30_000)] }),
  mixed: createScenario('loVerde', 0.95)
}
