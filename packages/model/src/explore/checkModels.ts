import { exploreModel } from './exploreModel.js'
import { type Model } from './Model.js'

/** Result of one check. */
export interface CheckResult {
  readonly passed: boolean
  /** One-line description of the result. */
  readonly summary: string
}

/**
 * Checks the invariants of a model in every reachable state.
 * @param model - The model.
 */
export function checkModel<S> (model: Model<S>): CheckResult {
  const { states, transitions, depth, violation } = exploreModel(model)
  const finding = violation === undefined
    ? `${Object.keys(model.invariants).length} invariants hold`
    : `${violation.invariant} is violated by: ${violation.trace.join('; ')}`
  return { passed: violation === undefined, summary: `${model.name}: ${states} states, ${transitions} transitions, depth ${depth}: ${finding}` }
}

/**
 * Checks that each mutant of a model violates an invariant.
 * @param model - The model.
 */
export function checkMutants<S> (model: Model<S>): CheckResult[] {
  return model.mutants.map(({ name, removedGuards }) => {
    const { states, violation } = exploreModel(model, { removedGuards })
    const finding = violation === undefined
      ? 'NOT CAUGHT'
      : `caught by ${violation.invariant} at depth ${violation.trace.length}: ${violation.trace.join('; ')}`
    return { passed: violation !== undefined, summary: `${model.name} without ${name}: ${states} states, ${finding}` }
  })
}
