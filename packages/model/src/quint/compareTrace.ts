import { type Model, type Step } from '../explore/Model.js'
import { encodeCanonically } from '../explore/createCanonicalSet.js'

/** Result of comparing a trace of a specification with a model. */
export interface ComparedTrace {
  /** Number of steps that the model reproduces. */
  readonly stepCount: number
  /** Names of the model's steps, with their parameters. */
  readonly stepNames: readonly string[]
  /** Description of the first step that the model does not have; `undefined` when the model reproduces the whole trace. */
  readonly difference: string | undefined
}

/**
 * Compares a trace of a specification with a model. Steps that do not change the state are skipped.
 * @param model - The model.
 * @param trace - States of the trace.
 */
export function compareTrace<S> (model: Model<S>, trace: readonly unknown[]): ComparedTrace {
  const guards = new Set(model.guards)
  const stepNames: string[] = []
  const initial = model.listInitialStates().find(other => encodeCanonically(other) === encodeCanonically(trace[0]))
  if (initial === undefined) return { stepCount: 0, stepNames, difference: `no initial state ${encodeCanonically(trace[0])}` }
  let state: S = initial
  for (const expectedState of trace.slice(1)) {
    const encodedExpectedState = encodeCanonically(expectedState)
    if (encodeCanonically(state) === encodedExpectedState) continue
    const step: Step<S> | undefined = model.listSteps(state, guards).find(({ next }) => encodeCanonically(next) === encodedExpectedState)
    if (step === undefined) return { stepCount: stepNames.length, stepNames, difference: `no step from ${encodeCanonically(state)} to ${encodedExpectedState}` }
    stepNames.push(step.name)
    state = step.next
  }
  return { stepCount: stepNames.length, stepNames, difference: undefined }
}
