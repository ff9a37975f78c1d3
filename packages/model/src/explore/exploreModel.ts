import { type Model } from './Model.js'
import { StateEncoder } from './StateEncoder.js'

/** A state that breaks an invariant, and the way to it. */
export interface Violation {
  readonly invariant: string
  /** Names of the steps from an initial state. */
  readonly trace: readonly string[]
}

/** What an exploration found. */
export interface Exploration {
  /** Number of different states. */
  readonly states: number
  readonly transitions: number
  /** Length of the longest of the shortest ways to a state. */
  readonly depth: number
  /** Names of the actions that were taken, without parameters. */
  readonly actions: readonly string[]
  /** The first violation found, which has the shortest trace; nothing when every invariant holds. */
  readonly violation: Violation | undefined
}

/** Options of an exploration. */
export interface ExploreOptions {
  /** Guards that are removed. */
  readonly removed?: readonly string[]
  /** Number of states after which the exploration is given up. */
  readonly maxStates?: number
}

interface Visit {
  readonly parent: number
  readonly step: string
  readonly depth: number
}

const DEFAULT_MAX_STATES = 5_000_000

/**
 * Explores every reachable state of a model, breadth first, until an invariant breaks.
 * @param model - The model.
 * @param options - Guards to remove and bounds.
 */
export function exploreModel<S> (model: Model<S>, options: ExploreOptions = {}): Exploration {
  const { removed = [], maxStates = DEFAULT_MAX_STATES } = options
  const guards = new Set(model.guards.filter(guard => !removed.includes(guard)))
  const search = new Search(model, maxStates)
  for (const state of model.listInitial()) search.add(state, { parent: -1, step: 'init', depth: 0 })
  while (search.hasWork()) search.expandNext(guards)
  return search.getResult()
}

class Search<S> {
  private readonly known = new Set<string>()
  private readonly encoder = StateEncoder.create()
  private readonly visits: Visit[] = []
  private readonly actions = new Set<string>()
  private queue: Array<{ readonly state: S, readonly visit: number }> = []
  private next = 0
  private transitions = 0
  private violation: Violation | undefined

  constructor (private readonly model: Model<S>, private readonly maxStates: number) {}

  add (state: S, visit: Visit): void {
    const key = this.encoder.encodeState(state)
    if (this.known.has(key)) return
    if (this.known.size >= this.maxStates) throw new Error(`model ${this.model.name} has more than ${this.maxStates} states`)
    this.known.add(key)
    this.visits.push(visit)
    const index = this.visits.length - 1
    const broken = findBroken(this.model, state)
    if (broken !== undefined) this.violation ??= { invariant: broken, trace: this.listTrace(index) }
    this.queue.push({ state, visit: index })
  }

  hasWork (): boolean {
    return this.violation === undefined && this.next < this.queue.length
  }

  expandNext (guards: ReadonlySet<string>): void {
    const { state, visit } = this.queue[this.next++] as { state: S, visit: number }
    const depth = (this.visits[visit] as Visit).depth + 1
    for (const step of this.model.listSteps(state, guards)) {
      this.transitions++
      this.actions.add(step.name.split(' ')[0] as string)
      this.add(step.next, { parent: visit, step: step.name, depth })
    }
    this.pruneQueue()
  }

  getResult (): Exploration {
    return {
      states: this.known.size,
      transitions: this.transitions,
      depth: this.visits.at(-1)?.depth ?? 0,
      actions: [...this.actions].sort(),
      violation: this.violation
    }
  }

  /** Frees the states that have been expanded. */
  private pruneQueue (): void {
    if (this.next < 100_000) return
    this.queue = this.queue.slice(this.next)
    this.next = 0
  }

  private listTrace (index: number): string[] {
    const trace: string[] = []
    for (let visit = this.visits[index]; visit !== undefined && visit.parent >= 0; visit = this.visits[visit.parent]) {
      trace.unshift(visit.step)
    }
    return trace
  }
}

/**
 * Finds an invariant that a state breaks.
 * @param model - The model.
 * @param state - The state.
 */
export function findBroken<S> (model: Model<S>, state: S): string | undefined {
  return Object.keys(model.invariants).find(name => !(model.invariants[name] as (state: S) => boolean)(state))
}
