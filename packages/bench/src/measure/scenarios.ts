import { DEPLOYMENTS, type Deployment, type DeploymentName, type MeasuredService } from './deployments.js'

/** A disturbance at one moment of a run. */
export type FaultKind = 'slowEngine' | 'killEngine' | 'reclaimEngine' | 'stopZone' | 'runPause' | 'splitFleet'

/** A disturbance and its time, counted from the first arrival. */
export interface Fault {
  readonly atMs: number
  readonly kind: FaultKind
  /** How long it lasts; absent for good. */
  readonly durationMs?: number
  /** Which engine, instance or availability zone. */
  readonly index: number
}

/** A workspace that sends more for a while. */
export interface Burst {
  readonly workspace: number
  readonly factor: number
  readonly fromMs: number
  readonly toMs: number
}

/** Parts of a run. */
export interface MeasuredSpan {
  /** Time before answers are counted. */
  readonly warmUpMs: number
  /** Time in which the counted requests arrive. */
  readonly countedMs: number
  /** Time after that in which their answers may end; arrivals go on. */
  readonly drainMs: number
}

/** What one run consists of. */
export interface Scenario {
  readonly deployment: Deployment
  readonly services: readonly MeasuredService[]
  /** Arrivals as a share of the capacity. */
  readonly load: number
  readonly faults: readonly Fault[]
  readonly burst?: Burst
  readonly loadLagMs: number
  readonly eventLossRate: number
  readonly span: MeasuredSpan
}

const SPAN: MeasuredSpan = { warmUpMs: 30_000, countedMs: 60_000, drainMs: 30_000 }

/** Answers of tens of thousands of tokens take minutes, so the load takes longer to become steady. */
const LONG_SPAN: MeasuredSpan = { warmUpMs: 180_000, countedMs: 60_000, drainMs: 60_000 }

const FAULT_MS = SPAN.warmUpMs + 15_000
const LOAD_LAG_MS = 500
const LATE_LOAD_LAG_MS = 5000
const RECLAIM_REPEAT_MS = 5000

function createScenario (name: DeploymentName, load: number, extra: Partial<Scenario> = {}): Scenario {
  const deployment = DEPLOYMENTS[name]
  return { deployment, services: deployment.services, load, faults: [], loadLagMs: LOAD_LAG_MS, eventLossRate: 0, span: SPAN, ...extra }
}

function createFault (kind: FaultKind, index: number, durationMs?: number, afterMs = 0): Fault {
  return { atMs: FAULT_MS + afterMs, kind, index, durationMs }
}

/** From a few tokens to tens of thousands. */
const HEAVY_TAIL_SERVICES: readonly MeasuredService[] = DEPLOYMENTS.association.services.map(service =>
  service.name === 'itinerary'
    ? { ...service, deadlineMs: 1_800_000, output: { meanTokens: 500, sigma: 1.5, maxTokens: 20_000 } }
    : service)

/** Scenarios by name. Faults come at a load that leaves the rest of the fleet at about 95% of its capacity. */
export const SCENARIOS: Readonly<Record<string, Scenario>> = {
  'steady-60': createScenario('association', 0.6),
  'steady-80': createScenario('association', 0.8),
  'steady-95': createScenario('association', 0.95),
  'steady-120': createScenario('association', 1.2),
  'heavy-tail': createScenario('association', 0.95, { services: HEAVY_TAIL_SERVICES, span: LONG_SPAN }),
  burst: createScenario('association', 0.75, { burst: { workspace: 5, factor: 10, fromMs: FAULT_MS, toMs: FAULT_MS + 20_000 } }),
  'slow-target': createScenario('association', 0.8, { faults: [createFault('slowEngine', 2)] }),
  'target-killed': createScenario('association', 0.85, { faults: [createFault('killEngine', 3)] }),
  'target-reclaimed': createScenario('association', 0.77, {
    faults: [createFault('reclaimEngine', 1), createFault('reclaimEngine', 4, undefined, RECLAIM_REPEAT_MS)]
  }),
  'zone-lost': createScenario('association', 0.66, { faults: [createFault('stopZone', 1)] }),
  'cache-events-lost': createScenario('association', 0.95, { eventLossRate: 0.3 }),
  'load-lag': createScenario('association', 0.95, { loadLagMs: LATE_LOAD_LAG_MS }),
  'instance-paused': createScenario('association', 0.9, {
    faults: [createFault('runPause', 0, 5000), createFault('runPause', 3, 8000, 10_000)]
  }),
  split: createScenario('association', 0.95, { faults: [createFault('splitFleet', 0, 30_000)] }),
  mixed: createScenario('loVerde', 0.95)
}
