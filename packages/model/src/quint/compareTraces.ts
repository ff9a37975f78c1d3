import { type Model, type Step } from '../explore/Model.js'
import { encodeSorted } from '../explore/createSet.js'

/** How a trace of a specification compares with a model. */
export interface ComparedTrace {
  /** Steps that the model takes as well. */
  readonly steps: number
  /** Names of the model's steps. */
  readonly names: readonly string[]
  /** The first step that the model does not take. */
  readonly difference: string | undefined
}

/**
 * Takes the steps of a specification's trace in a model; steps that change nothing are left out.
 * @param model - The model.
 * @param trace - States of the trace.
 */
export function compareTrace<S> (model: Model<S>, trace: readonly unknown[]): ComparedTrace {
  const guards = new Set(model.guards)
  const names: string[] = []
  const initial = model.listInitial().find(other => encodeSorted(other) === encodeSorted(trace[0]))
  if (initial === undefined) return { steps: 0, names, difference: `no initial state ${encodeSorted(trace[0])}` }
  let state: S = initial
  for (const wanted of trace.slice(1)) {
    const text = encodeSorted(wanted)
    if (encodeSorted(state) === text) continue
    const step: Step<S> | undefined = model.listSteps(state, guards).find(({ next }) => encodeSorted(next) === text)
    if (step === undefined) return { steps: names.length, names, difference: `no step from ${encodeSorted(state)} to ${text}` }
    names.push(step.name)
    state = step.next
  }
  return { steps: names.length, names, difference: undefined }
}
