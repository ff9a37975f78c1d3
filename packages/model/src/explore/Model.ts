/** One transition from a state. */
export interface Step<S> {
  /** Name of the action, followed by its parameters. */
  readonly name: string
  /** State after the transition. */
  readonly next: S
}

/** A mutant: a model with some of its guards removed. */
export interface Mutant {
  readonly name: string
  /** Guards to remove; more than one where each of them alone is enough to uphold the invariants. */
  readonly removedGuards: readonly string[]
}

/** A finite-state model of a part of the protocol. Its states are plain data. */
export interface Model<S> {
  readonly name: string
  /** Names of the guards that the transitions check. */
  readonly guards: readonly string[]
  readonly mutants: readonly Mutant[]
  /** Predicates that must hold in every reachable state, by name. */
  readonly invariants: Readonly<Record<string, (state: S) => boolean>>
  /** Returns the initial states. */
  listInitialStates(): readonly S[]
  /**
   * Returns the transitions that are enabled in a state.
   * @param state - The state.
   * @param guards - Names of the active guards.
   */
  listSteps(state: S, guards: ReadonlySet<string>): ReadonlyArray<Step<S>>
}
