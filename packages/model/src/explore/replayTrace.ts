import { findBroken } from './exploreModel.js'
import { type Model } from './Model.js'

/** What came of a trace. */
export interface ReplayedTrace<S> {
  /** States from the initial one to the last that was reached. */
  readonly states: readonly S[]
  /** First step that the model does not allow; nothing when all were taken. */
  readonly refused: string | undefined
  /** Invariant that the last state breaks. */
  readonly broken: string | undefined
}

/** Options of replaying a trace. */
export interface ReplayOptions<S> {
  readonly model: Model<S>
  readonly initial: S
  /** Names of the steps. */
  readonly trace: readonly string[]
  /** Guards that are removed. */
  readonly removed?: readonly string[]
}

/**
 * Takes the steps of a trace one after another.
 * @param options - The model and the trace.
 */
export function replayTrace<S> (options: ReplayOptions<S>): ReplayedTrace<S> {
  const { model, trace, removed = [] } = options
  const guards = new Set(model.guards.filter(guard => !removed.includes(guard)))
  const states = [options.initial]
  let refused: string | undefined
  for (const name of trace) {
    const step = model.listSteps(states.at(-1) as S, guards).find(other => other.name === name)
    refused ??= step === undefined ? name : undefined
    if (step === undefined) break
    states.push(step.next)
  }
  return { states, refused, broken: findBroken(model, states.at(-1) as S) }
}
