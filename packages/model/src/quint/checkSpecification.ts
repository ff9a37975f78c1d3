import { type CheckResult } from '../explore/checkModels.js'
import { type Model } from '../explore/Model.js'
import { compareTrace } from './compareTraces.js'
import { runQuint } from './runQuint.js'

/** Numbers of a check of a specification. */
export interface SpecificationLimits {
  readonly seed: number
  /** Number of random traces. */
  readonly samples: number
  /** Most steps of a trace. */
  readonly steps: number
  /** Number of traces that the model has to take as well. */
  readonly compared: number
}

/**
 * Runs the specification of a model, and takes some of its traces in the model.
 * @param model - The model, whose name is that of the specification.
 * @param limits - Numbers of the check.
 */
export async function checkSpecification<S> (model: Model<S>, limits: SpecificationLimits): Promise<CheckResult> {
  const { seed, samples, steps, compared } = limits
  const invariants = Object.keys(model.invariants)
  const run = await runQuint({ name: model.name, invariants, seed, samples, steps, traces: compared })
  if (!run.passed) return { passed: false, line: `${model.name}.qnt, seed ${seed}: ${run.output}` }
  const traces = run.traces.map(trace => compareTrace(model, trace))
  const difference = traces.find(trace => trace.difference !== undefined)?.difference
  const taken = traces.reduce((sum, trace) => sum + trace.steps, 0)
  const actions = new Set(traces.flatMap(trace => trace.names.map(name => name.split(' ')[0])))
  const text = `${model.name}.qnt: ${samples} random traces of up to ${steps} steps, seed ${seed}; `
  const found = difference ?? `the model takes ${taken} steps of ${traces.length} traces, ${actions.size} actions`
  return { passed: difference === undefined && traces.length > 0, line: `${text}${found}` }
}
