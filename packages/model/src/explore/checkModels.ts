import { exploreModel } from './exploreModel.js'
import { type Model } from './Model.js'

/** Result of one check, with a line for people. */
export interface CheckResult {
  readonly passed: boolean
  readonly line: string
}

/**
 * Checks every reachable state of a model against its invariants.
 * @param model - The model.
 */
export function checkModel<S> (model: Model<S>): CheckResult {
  const { states, transitions, depth, violation } = exploreModel(model)
  const found = violation === undefined
    ? `${Object.keys(model.invariants).length} invariants hold`
    : `${violation.invariant} is broken by: ${violation.trace.join('; ')}`
  return { passed: violation === undefined, line: `${model.name}: ${states} states, ${transitions} transitions, depth ${depth}: ${found}` }
}

/**
 * Checks that an invariant breaks for each mutant of a model.
 * @param model - The model.
 */
export function checkMutants<S> (model: Model<S>): CheckResult[] {
  return model.mutants.map(({ name, removed }) => {
    const { states, violation } = exploreModel(model, { removed })
    const found = violation === undefined
      ? 'NOT CAUGHT'
      : `caught by ${violation.invariant} at depth ${violation.trace.length}: ${violation.trace.join('; ')}`
    return { passed: violation !== undefined, line: `${model.name} without ${name}: ${states} states, ${found}` }
  })
}
