import { findViolatedInvariant } from './exploreModel.js'
import { type Model } from './Model.js'

/** Result of replaying a trace. */
export interface ReplayedTrace<S> {
  /** States from the initial state to the last state reached. */
  readonly states: readonly S[]
  /** First step that is not enabled in the model; `undefined` when the whole trace was replayed. */
  readonly rejectedStep: string | undefined
  /** Invariant that the last state violates; `undefined` when all hold. */
  readonly violatedInvariant: string | undefined
}

/** Options of replaying a trace. */
export interface ReplayOptions<S> {
  readonly model: Model<S>
  readonly initial: S
  /** Names of the steps, with their parameters. */
  readonly trace: readonly string[]
  /** Guards to remove. */
  readonly removedGuards?: readonly string[]
}

/**
 * Replays a trace in a model, up to the first step that is not enabled.
 * @param options - The model, the initial state and the trace.
 */
export function replayTrace<S> (options: ReplayOptions<S>): ReplayedTrace<S> {
  const { model, trace, removedGuards = [] } = options
  const guards = new Set(model.guards.filter(guard => !removedGuards.includes(guard)))
  const states = [options.initial]
  let rejectedStep: string | undefined
  for (const name of trace) {
    const step = model.listSteps(states.at(-1) as S, guards).find(other => other.name === name)
    rejectedStep ??= step === undefined ? name : undefined
    if (step === undefined) break
    states.push(step.next)
  }
  return { states, rejectedStep, violatedInvariant: findViolatedInvariant(model, states.at(-1) as S) }
}
