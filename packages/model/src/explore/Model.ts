/** One transition from a state. */
export interface Step<S> {
  /** Name of the action, with its parameters. */
  readonly name: string
  readonly next: S
}

/** A mutant: the model without some of its guards. */
export interface Mutant {
  readonly name: string
  /** Guards that are removed; more than one where each alone suffices. */
  readonly removed: readonly string[]
}

/** A model of a part of the protocol with states that are plain data. */
export interface Model<S> {
  readonly name: string
  /** Names of the guards that the transitions ask for. */
  readonly guards: readonly string[]
  readonly mutants: readonly Mutant[]
  /** What must hold in every state, by name. */
  readonly invariants: Readonly<Record<string, (state: S) => boolean>>
  /** Lists the states that a trace may begin with. */
  listInitial(): readonly S[]
  /**
   * Lists the transitions from a state.
   * @param state - The state.
   * @param guards - Guards that are in force.
   */
  listSteps(state: S, guards: ReadonlySet<string>): ReadonlyArray<Step<S>>
}
