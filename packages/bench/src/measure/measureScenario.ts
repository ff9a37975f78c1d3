import { SeededRandom } from '@fescuespoke/common'
import { type PolicyMeasurement } from './AnswerStatistics.js'
import { generateArrivals } from './arrivals.js'
import { computeCapacity } from './deployments.js'
import { measurePolicy } from './measurePolicy.js'
import { SCENARIOS, type RunPhases } from './scenarios.js'

/** Maximum duration of a decode step that admission plans for. */
export const TOKEN_INTERVAL_MS = 43

/** Options of a measurement. */
export interface MeasureScenarioOptions {
  /** Name of the scenario. */
  readonly scenario: string
  /** Seed of the arrivals and of all random numbers. */
  readonly seed: number
  /** Names of the policies. */
  readonly policies: readonly string[]
  /** Phases of the run; defaults to those of the scenario. */
  readonly phases?: RunPhases
}

/** Measurements of several policies on the same arrivals. */
export interface ScenarioMeasurement {
  readonly scenario: string
  readonly seed: number
  readonly rows: readonly PolicyMeasurement[]
}

/**
 * Measures policies on the same arrivals of a scenario.
 * @param options - Options of the measurement.
 */
export async function measureScenario (options: MeasureScenarioOptions): Promise<ScenarioMeasurement> {
  const definition = SCENARIOS[options.scenario]
  if (definition === undefined) throw new Error(`unknown scenario ${options.scenario}`)
  const { seed, policies } = options
  const scenario = { ...definition, phases: options.phases ?? definition.phases }
  const capacity = computeCapacity(scenario.deployment, scenario.services, TOKEN_INTERVAL_MS)
  const arrivals = generateArrivals(scenario, capacity.requestsPerSecond * scenario.load, SeededRandom.create(seed))
  const rows: PolicyMeasurement[] = []
  for (const policy of policies) {
    rows.push(await measurePolicy({ scenario, policy, seed, arrivals, capacity, tokenIntervalMs: TOKEN_INTERVAL_MS }))
  }
  return { scenario: options.scenario, seed, rows }
}
