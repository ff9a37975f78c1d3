import { type Model } from './Model.js'
import { StateEncoder } from './StateEncoder.js'

/** A violated invariant and the trace that leads to the violating state. */
export interface Violation {
  readonly invariant: string
  /** Names of the steps from an initial state. */
  readonly trace: readonly string[]
}

/** Result of an exploration. */
export interface Exploration {
  /** Number of distinct reachable states. */
  readonly states: number
  readonly transitions: number
  /** Maximum over all states of the length of the shortest trace to the state. */
  readonly depth: number
  /** Sorted names of the actions that occurred, without parameters. */
  readonly actions: readonly string[]
  /** The first violation found, which has the shortest trace; `undefined` when every invariant holds. */
  readonly violation: Violation | undefined
}

/** Options of an exploration. */
export interface ExploreOptions {
  /** Guards to remove. */
  readonly removedGuards?: readonly string[]
  /** Maximum number of states. The exploration throws when the model has more. */
  readonly maxStates?: number
}

interface Visit {
  readonly parent: number
  readonly step: string
  readonly depth: number
}

const DEFAULT_MAX_STATES = 5_000_000

/**
 * Explores the reachable states of a model breadth-first, and stops at the first violation of an invariant.
 * @param model - The model.
 * @param options - Guards to remove and the maximum number of states.
 */
export function exploreModel<S> (model: Model<S>, options: ExploreOptions = {}): Exploration {
  const { removedGuards = [], maxStates = DEFAULT_MAX_STATES } = options
  const guards = new Set(model.guards.filter(guard => !removedGuards.includes(guard)))
  const search = new BreadthFirstSearch(model, maxStates)
  for (const state of model.listInitialStates()) search.addState(state, { parent: -1, step: 'init', depth: 0 })
  while (search.hasUnexpandedStates()) search.expandNext(guards)
  return search.getResult()
}

class BreadthFirstSearch<S> {
  private readonly visitedStates = new Set<string>()
  private readonly encoder = StateEncoder.create()
  private readonly visits: Visit[] = []
  private readonly actions = new Set<string>()
  private queue: Array<{ readonly state: S, readonly visitIndex: number }> = []
  private nextIndex = 0
  private transitions = 0
  private violation: Violation | undefined

  constructor (private readonly model: Model<S>, private readonly maxStates: number) {}

  addState (state: S, visit: Visit): void {
    const key = this.encoder.encodeState(state)
    if (this.visitedStates.has(key)) return
    if (this.visitedStates.size >= this.maxStates) throw new Error(`model ${this.model.name} has more than ${this.maxStates} states`)
    this.visitedStates.add(key)
    this.visits.push(visit)
    const index = this.visits.length - 1
    const violatedInvariant = findViolatedInvariant(this.model, state)
    if (violatedInvariant !== undefined) this.violation ??= { invariant: violatedInvariant, trace: this.buildTrace(index) }
    this.queue.push({ state, visitIndex: index })
  }

  hasUnexpandedStates (): boolean {
    return this.violation === undefined && this.nextIndex < this.queue.length
  }

  expandNext (guards: ReadonlySet<string>): void {
    const { state, visitIndex: index } = this.queue[this.nextIndex++] as { state: S, visitIndex: number }
    const depth = (this.visits[index] as Visit).depth + 1
    for (const step of this.model.listSteps(state, guards)) {
      this.transitions++
      this.actions.add(step.name.split(' ')[0] as string)
      this.addState(step.next, { parent: index, step: step.name, depth })
    }
    this.pruneQueue()
  }

  getResult (): Exploration {
    return {
      states: this.visitedStates.size,
      transitions: this.transitions,
      depth: this.visits.at(-1)?.depth ?? 0,
      actions: [...this.actions].sort(),
      violation: this.violation
    }
  }

  /** Removes expanded states from the queue to free memory. */
  private pruneQueue (): void {
    if (this.nextIndex < 100_000) return
    this.queue = this.queue.slice(this.nextIndex)
    this.nextIndex = 0
  }

  private buildTrace (index: number): string[] {
    const trace: string[] = []
    for (let visit = this.visits[index]; visit !== undefined && visit.parent >= 0; visit = this.visits[visit.parent]) {
      trace.unshift(visit.step)
    }
    return trace
  }
}

/**
 * Returns the name of the first invariant that a state violates, or `undefined` when all hold.
 * @param model - The model.
 * @param state - The state.
 */
export function findViolatedInvariant<S> (model: Model<S>, state: S): string | undefined {
  return Object.keys(model.invariants).find(name => !(model.invariants[name] as (state: S) => boolean)(state))
}
