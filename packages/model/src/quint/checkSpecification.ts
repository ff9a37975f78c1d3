import { type CheckResult } from '../explore/checkModels.js'
import { type Model } from '../explore/Model.js'
import { compareTrace } from './compareTrace.js'
import { runQuint } from './runQuint.js'

/** Options of {@link checkSpecification}. */
export interface SpecificationCheckOptions {
  readonly seed: number
  /** Maximum number of random traces. */
  readonly maxSamples: number
  /** Maximum number of steps of a trace. */
  readonly maxSteps: number
  /** Number of traces that are compared with the model. */
  readonly comparedTraceCount: number
}

/**
 * Simulates the Quint specification of a model, checks its invariants and compares some of its traces with the model.
 * @param model - The model. The specification has the same name.
 * @param options - Seed and limits of the simulation.
 */
export async function checkSpecification<S> (model: Model<S>, options: SpecificationCheckOptions): Promise<CheckResult> {
  const { seed, maxSamples, maxSteps, comparedTraceCount } = options
  const invariants = Object.keys(model.invariants)
  const run = await runQuint({ name: model.name, invariants, seed, maxSamples, maxSteps, traceCount: comparedTraceCount })
  if (!run.passed) return { passed: false, summary: `${model.name}.qnt, seed ${seed}: ${run.output}` }
  const traces = run.traces.map(trace => compareTrace(model, trace))
  const difference = traces.find(trace => trace.difference !== undefined)?.difference
  const matchedStepCount = traces.reduce((sum, trace) => sum + trace.stepCount, 0)
  const actions = new Set(traces.flatMap(trace => trace.stepNames.map(name => name.split(' ')[0])))
  const header = `${model.name}.qnt: ${maxSamples} random traces of up to ${maxSteps} steps, seed ${seed}; `
  const finding = difference ?? `the model reproduces ${matchedStepCount} steps of ${traces.length} traces, ${actions.size} actions`
  return { passed: difference === undefined && traces.length > 0, summary: `${header}${finding}` }
}
